#pragma once

#include "Base/clock.h"
#include "Wire/messages.h"

#include <cstdint>
#include <deque>

namespace sagesaddle {

/// \brief Estimates the load and the speed of one upstream.
///
/// The load is the requests that this entry has in flight plus those of others by the last report. The weight
/// of a report decays with its age. After a failure the upstream gets no requests for a backoff time of 100
/// ms, which doubles with each further failure, up to 10 s. Then one request at a time probes it.
///
/// Performs no I/O and reads no clock; not thread-safe.
class upstream_load {
public:
    /// \brief A request was sent to the upstream.
    /// \param tokens estimated tokens of the request; the same number goes to onDone() or onDeadlinePassed()
    void onSent(double tokens, monotonic_time now);

    /// \brief A request has ended: it was answered or rejected.
    /// \param failed the upstream broke off its answer or returned an error of its own
    void onDone(double tokens, bool failed, monotonic_time now);

    /// \brief The deadline of a request passed before its answer was complete.
    ///
    /// This counts as a failure only if the upstream has answered no request since this one was sent.
    void onDeadlinePassed(double tokens, monotonic_time sentAt, monotonic_time now);

    /// \brief A load report arrived; it is ignored where a newer one is known.
    void onReport(const load_report& report, monotonic_time now);

    /// \brief The upstream can be reached again. A backoff ends, and the upstream is probed at once.
    void onLinkUp(monotonic_time now);

    /// \return the requests that the upstream runs or queues, including those of others as last reported.
    double requests(monotonic_time now) const;

    /// \return the mean time to answer a request in seconds, weighted by tokens: the token-seconds in flight
    ///     over the tokens answered; 0 where unknown.
    double meanSeconds(monotonic_time now) const;

    /// \return whether the upstream may be sent a request now.
    ///
    /// After a failure it may once the backoff has ended, and only while this entry has no request in flight
    /// on it.
    bool available(monotonic_time now) const;

    /// \return the end of the backoff, when the upstream may be probed.
    monotonic_time backoffUntil() const { return m_backoffUntil; }

    /// \return the part of the upstream's recent answers that failed, from 0 to 1.
    double failureRatio() const { return m_failureRatio; }

    std::uint32_t ownRequests() const { return m_ownRequests; }

private:
    void accumulateTokenSeconds(monotonic_time now);
    void removeOwnRequest(double tokens, monotonic_time now);
    std::uint32_t countSentSince(monotonic_time since) const;

    /// Of the requests of this entry in flight.
    double m_ownTokens { 0 };
    std::uint32_t m_ownRequests { 0 };
    std::deque<monotonic_time> m_recentSends;

    double m_othersRequests { 0 };
    /// When the upstream made the last report.
    monotonic_time m_reportedAt;

    /// Token-seconds in flight and tokens answered; older answers weigh less in both.
    double m_tokenSeconds { 0 };
    double m_answeredTokens { 0 };
    monotonic_time m_accumulatedUntil;

    double m_failureRatio { 0 };
    std::uint32_t m_consecutiveFailures { 0 };
    monotonic_time m_lastAnswer;
    monotonic_time m_backoffUntil;
};

} // namespace sagesaddle
