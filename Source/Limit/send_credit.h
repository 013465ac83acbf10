#pragma once

#include "Fleet/upstream_limit.h"
#include "Limit/cold_limits.h"
#include "Limit/credit_cache.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A gateway's knowledge of the request limits of upstreams, and its credit for sending requests under
/// them. No I/O and no clock; not thread-safe.
///
/// A limit is stated by the upstream in its answers, or holds because the upstream is cold. Where both exist,
/// credit is spent as for a cold one, and the coordinator debits both.
///
/// An upstream with a limit gets a request only for credit from the coordinator, which grants no more than
/// the limit to all gateways together. Times are of the clock that counts suspension, so that a process that
/// was stopped spends no credit from before.
class send_credit {
public:
    /// \param creditLifetime time for which granted credit may be spent
    explicit send_credit(milliseconds creditLifetime);

    /// Applies what an answer of the upstream says. An answer without a limit ends the limit only if its
    /// request was sent after the limit was known; an older request may have been answered before.
    /// \return whether the limit changed, which should be reported
    bool onAnswer(const upstream_limit& limit, monotonic_time sentAt, monotonic_time now);
    /// Applies what the coordinator says.
    /// \return whether the limit changed
    bool onTold(const upstream_limit& limit, monotonic_time now);
    /// Applies the list of upstreams: a limit ends with the process that stated it. Limits of upstreams that
    /// are not listed are kept for a while, in case the list shows the same process again.
    /// \param startedAt start of each listed upstream's process, by id
    void onUpstreams(const std::map<std::string, std::int64_t>& startedAt, monotonic_time now);

    /// Replaces the limits of cold upstreams. Credit for an upstream that was cold before is kept.
    /// \param limits with times on the clock of the other calls
    void setColdLimits(const std::vector<cold_limit>& limits, monotonic_time now);

    /// \return the limit that an upstream states, in requests a second; nothing if it states none.
    std::optional<double> limitOf(const std::string& upstream) const;
    /// \return whether the upstream is cold and has a limit for that reason.
    bool isCold(const std::string& upstream, monotonic_time now) const;
    /// \return the lowest limit of an upstream in requests a second; nothing if it has none.
    std::optional<double> limitInForce(const std::string& upstream, monotonic_time now) const;
    /// \return whether a request may be sent now; always true without a limit.
    bool hasCredit(const std::string& upstream, monotonic_time now);
    /// Spends the credit for one request.
    /// \return whether it may be sent
    bool trySpend(const std::string& upstream, monotonic_time now);
    /// Notes that credit is wanted, to be asked for with the next report.
    /// \param isWaitedFor whether a request waits for it
    void request(const std::string& upstream, bool isWaitedFor);
    /// \return the time until credit may be available again, if the coordinator refused it; otherwise zero.
    milliseconds refusedFor(const std::string& upstream, monotonic_time now) const;

    /// \return whether something should be reported without delay.
    bool hasUrgentReport() const;
    /// \return what the next report has to say; counts as asked until answered.
    std::vector<send_credit_request> takeRequests(monotonic_time now);
    /// Applies the coordinator's answer to a request for credit.
    /// \param askedAt when the lifetime of the credit starts
    void onGrant(const std::string& upstream, double requests, milliseconds retryAfter,
        monotonic_time askedAt, monotonic_time now);
    /// Forgets that reports are unanswered, which may be lost: credit is requested again, and all limits are
    /// news to the next coordinator.
    void onReportsLost();

    /// See credit_cache.
    void setGatewayCount(unsigned count);
    void setFallbackActive(bool isActive, monotonic_time now);

private:
    struct limit_state {
        std::optional<double> requestsPerSecond;
        monotonic_time knownSince {};
        std::int64_t startedAt { 0 };
        /// Since when the upstream is not listed.
        std::optional<monotonic_time> unlistedSince;
        bool isNews { false };
        bool isWaitedFor { false };
        bool isWanted { false };
        /// Whether credit was asked for in a report without an answer yet.
        bool isAsked { false };
        monotonic_time refusedUntil {};
    };

    /// \return whether the limit changed enough to matter.
    bool set(const upstream_limit& limit, monotonic_time now);
    void updateAccounts(monotonic_time now);

    std::map<std::string, limit_state> m_limits;
    /// \return the credit from which requests to the upstream are sent.
    credit_cache& creditOf(const std::string& upstream, monotonic_time now);
    const cold_limit* coldLimitOf(const std::string& upstream, monotonic_time now) const;

    std::map<std::string, std::int64_t> m_startedAt;
    std::map<std::string, cold_limit> m_cold;
    credit_cache m_credit;
    /// Credit for cold upstreams.
    credit_cache m_coldCredit;
};

} // namespace sagesaddle
