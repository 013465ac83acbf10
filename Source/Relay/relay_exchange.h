#pragma once

#include "Fleet/route_table.h"
#include "Loop/timer.h"
#include "Relay/event_splitter.h"
#include "Relay/refusal_reason.h"
#include "Relay/relay_request.h"
#include "Relay/upstream_state.h"

namespace sagesaddle {

class caller_connection;
class relay;

/// \brief What became of a request's ask for credit of its team.
enum class credit_outcome {
    Granted,
    /// The team has used its limit.
    OverLimit,
    /// Nobody who knows the team's use answered in time.
    Unknown,
};

/// \brief One request from its arrival to its answer.
///
/// It is sent again only where it may run twice or surely did not run, and its refusal says "not run" only
/// while no byte of it left for an upstream that did not decline it.
class relay_exchange : public std::enable_shared_from_this<relay_exchange> {
public:
    relay_exchange(relay& owner, caller_connection& caller, monotonic_time arrivedAt);

    relay_exchange(const relay_exchange&) = delete;
    relay_exchange& operator=(const relay_exchange&) = delete;

    void start(const http_head& head, std::string body);

    /// Tries to place a waiting request; called when something changed that may let it.
    void place();

    /// The caller closed its connection: the work ends.
    void onCallerDisconnected();

    /// The caller does not read, or reads again.
    void pauseUpstream(bool isHeld);

    /// Its upstream fell silent: what may run again goes elsewhere.
    void onUpstreamSilent();
    monotonic_time dispatchedAt() const { return m_dispatchedAt; }
    /// \return when its bytes last left for an upstream.
    monotonic_time transmittedAt() const { return m_transmittedAt; }
    /// \return from its arrival to the first bytes of the answer's body; zero where none came.
    monotonic_span timeToFirstByte() const { return m_timeToFirstByte; }
    /// \return the longest time between two pieces of the answer's body.
    monotonic_span longestGap() const { return m_longestGap; }

    /// Its ask for credit was settled.
    /// \param retryAfter when to come back, where none was granted
    void onCreditDecision(credit_outcome outcome, std::optional<milliseconds> retryAfter);

    const relay_request& request() const { return m_request; }
    const route_config& route() const { return *m_route; }
    const std::string& service() const { return m_service; }
    const std::string& team() const { return m_team; }
    double tokens() const { return m_tokens; }
    int urgency() const { return m_urgency; }
    monotonic_time arrivedAt() const { return m_arrivedAt; }
    bool isOver() const { return m_over; }
    milliseconds timeLeft() const;

    void refuse(refusal_reason reason, std::optional<milliseconds> retryAfter = {});

private:
    bool resolve();
    bool isStillAllowed();
    void send(const upstream_state_ptr& target, double forecast);
    void transmit();
    void onHead(http_head head);
    void onBody(std::string_view bytes);
    void onAnswerEnd();
    void onBroken();
    void onConnectTimeout();
    /// Bytes that are no use to the caller come without end.
    void onEndlessAnswer();
    void onDeadline();
    /// \return the fields of the upstream's answer that its caller gets.
    std::vector<http_field> answerFields() const;
    void deliverStart();
    bool mayRetry() const;
    void retryOr(refusal_reason reason);
    void leaveUpstream(bool keepLink);
    void countFirstByte();
    /// Notes when a piece of the answer's body came.
    void noteBytes();
    void logEnd(std::string_view outcome, int status);
    void finish();

    relay& m_owner;
    caller_connection* m_caller;
    monotonic_time m_arrivedAt;
    monotonic_time m_endsAt {};
    relay_request m_request;
    route_table_ptr m_table;
    const route_config* m_route { nullptr };
    std::string m_service;
    std::string m_team;
    int m_urgency { 5 };
    double m_tokens { 0 };

    timer m_deadline;
    timer m_connecting;
    upstream_state_ptr m_upstream;
    upstream_connection_ptr m_link;
    std::set<std::string> m_tried;
    /// Whether the connection had stood idle before this request.
    bool m_linkWasIdle { false };
    /// A connection that had been idle ended before any byte of an answer.
    bool m_wasDroppedEarly { false };
    int m_sends { 0 };
    monotonic_time m_dispatchedAt {};
    monotonic_time m_transmittedAt {};
    monotonic_span m_timeToFirstByte { 0 };
    monotonic_span m_longestGap { 0 };
    monotonic_time m_lastBytesAt {};
    double m_aheadTokens { 0 };
    double m_memoryTokens { 0 };
    double m_aheadAtSend { 0 };

    http_head m_answer;
    /// The answer at hand bears the upstream's signature.
    bool m_isSigned { false };
    std::string m_held;
    /// Bytes of bodies that its caller does not get as they are.
    std::size_t m_uselessBytes { 0 };
    event_splitter m_events;
    /// The answer at hand belongs to another request.
    bool m_isForeignAnswer { false };
    bool m_answerBegun { false };
    bool m_delivering { false };
    bool m_firstByteCame { false };
    bool m_counted { false };
    /// Bytes left for an upstream that did not decline them.
    bool m_mayHaveRun { false };
    bool m_hasCredit { false };
    bool m_asksCredit { false };
    /// Its team's credit was taken for it.
    bool m_isCharged { false };
    bool m_over { false };
};

using relay_exchange_ptr = std::shared_ptr<relay_exchange>;

} // namespace sagesaddle
