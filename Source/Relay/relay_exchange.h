#pragma once

#include "Fleet/route_table.h"
#include "Loop/timer.h"
#include "Relay/event_boundary.h"
#include "Relay/event_splitter.h"
#include "Relay/refusal_reason.h"
#include "Relay/relay_request.h"
#include "Relay/upstream_state.h"

namespace sagesaddle {

class caller_connection;
class relay;
struct send_decision;

/// \brief Outcome of a request for credit of a team.
enum class credit_outcome {
    Granted,
    /// The team has used up its rate limit.
    OverLimit,
    /// Nobody who knows how much the team has used answered in time.
    Unknown,
};

/// \brief One request from its arrival to the end of its answer.
///
/// A request is sent again only if its route lets it run twice (see route_config::mayRunTwice()) or if it
/// certainly did not run. Its refusal has the verdict `not_run` only if none of its bytes were sent, or every
/// upstream that got them declined the request.
class relay_exchange : public std::enable_shared_from_this<relay_exchange> {
public:
    /// \param arrivedAt when the request's head had arrived
    relay_exchange(relay& owner, caller_connection& caller, monotonic_time arrivedAt);

    relay_exchange(const relay_exchange&) = delete;
    relay_exchange& operator=(const relay_exchange&) = delete;

    /// \brief Checks the request and places it or refuses it.
    /// \param refusedBefore why the request was refused when its head had arrived, so that its body was not
    /// kept
    void start(const http_head& head, std::string body, std::optional<refusal_reason> refusedBefore);

    /// \return the body of the request and the part of the answer that is not delivered, in bytes.
    std::size_t heldBytes() const { return (m_body ? m_body->size() : 0) + m_buffered.size(); }
    /// \return whether an upstream may have run the request, or its answer has begun.
    bool mayHaveBegun() const { return mayHaveRun() || m_isDelivering; }

    /// \brief Tries to place the request on an upstream.
    ///
    /// Called again for a waiting request when a change may allow to place it.
    void place();

    /// \brief Ends the exchange and its work at the upstream, because the caller closed its connection.
    void onCallerDisconnected();

    /// \brief Pauses or resumes reading from the upstream, as the caller's connection fills or drains.
    void pauseUpstream(bool isPaused);

    /// \brief Retries a request that may run twice elsewhere, because its upstream sent nothing for too long.
    void onUpstreamSilent();
    /// \brief Chooses an upstream anew unless the request was sent already, since the chosen one must get no
    /// requests any more.
    void placeAgainIfUnsent();
    /// \return when an upstream was last chosen; the bytes may be sent later, once it is connected.
    monotonic_time dispatchedAt() const { return m_dispatchedAt; }
    /// \return when the request's bytes were last sent to an upstream.
    monotonic_time transmittedAt() const { return m_transmittedAt; }
    /// \return time from the request's arrival to the first byte of the answer's body; zero if none came.
    monotonic_duration timeToFirstByte() const { return m_timeToFirstByte; }
    /// \return the longest time between two pieces of the answer's body.
    monotonic_duration longestGap() const { return m_longestGap; }

    /// \return when the current answer's first byte arrived.
    monotonic_time firstByteAt() const { return m_firstByteAt; }
    /// \return bytes of the current answer's body.
    std::size_t answerBytes() const { return m_answerBytes; }

    /// \brief Places or refuses the request, depending on the decision about its credit.
    /// \param retryAfter when the caller should retry if no credit was granted
    void onCreditDecision(credit_outcome outcome, std::optional<milliseconds> retryAfter);

    const relay_request& request() const { return m_request; }
    const route_config& route() const { return *m_route; }
    const std::string& service() const { return m_service; }
    const std::string& team() const { return m_team; }
    /// \return credit that the request costs its team, in tokens.
    double tokens() const { return m_tokens; }
    /// \return 0 for the most urgent requests to 9 for the least.
    int urgency() const { return m_urgency; }
    monotonic_time arrivedAt() const { return m_arrivedAt; }
    bool isOver() const { return m_over; }
    /// \return whether the current answer began some time ago, so that its beginning crashed nothing.
    bool isAnswerUnderWay() const;
    /// \return time until the deadline; negative after it.
    milliseconds timeLeft() const;

    /// \brief Ends the request with a refusal, or aborts its answer if that has begun.
    ///
    /// The verdict `not_run` is replaced if the request may have run.
    void refuse(refusal_reason reason, std::optional<milliseconds> retryAfter = {});

private:
    /// Finds the route, team, cost and service, or refuses the request.
    bool resolve();
    /// Checks the API key against the newest configuration and the prompt against the quarantine, and refuses
    /// the request if either forbids it.
    bool isStillAllowed();
    /// See isStillAllowed().
    bool hasValidKey();
    /// Counts the current answer as one that went on after its beginning, once.
    void countAnswerUnderWay();
    void dispatch(const send_decision& decision);
    void transmit();
    void onHead(http_head head);
    void onBody(std::string_view bytes);
    /// \return whether the current answer consists of server-sent events.
    bool isEventStream() const;
    void onAnswerEnd();
    void onBroken();
    void onConnectTimeout();
    /// Gives up an answer that is no signed success and exceeds the bound for its bytes.
    void onEndlessAnswer();
    void onDeadline();
    /// \return whether the answer should have ended by the deadline, as far as the caller was reading it.
    bool isAnswerOverdue() const;
    /// \return header fields of the upstream's answer that are forwarded to the caller.
    std::vector<http_field> answerFields() const;
    void beginDelivery();
    /// \return whether the current upstream may have run the request.
    bool mayHaveRunHere() const { return m_isSent && !m_isDeclined; }
    /// \return whether any upstream may have run the request.
    bool mayHaveRun() const { return m_mayHaveRunBefore || mayHaveRunHere(); }
    bool mayRetry() const;
    void retryOrRefuse(refusal_reason reason);
    /// Takes the request off its upstream's load.
    /// \param keepConnection whether the connection goes back to the pool instead of being closed
    void leaveUpstream(bool keepConnection);
    /// Called for the first byte of a body and for the end of an answer; only the first call counts.
    void onFirstByte();
    /// Records when a piece of the answer's body arrived.
    void recordBodyTimes();
    void logEnd(std::string_view outcome, int status);
    void finish();

    relay& m_owner;
    caller_connection* m_caller;
    monotonic_time m_arrivedAt;
    monotonic_time m_endsAt {};
    /// The body is in m_body.
    relay_request m_request;
    /// Shared with the connections that the body is being written to.
    std::shared_ptr<const std::string> m_body;
    route_table_ptr m_table;
    const route_config* m_route { nullptr };
    std::string m_service;
    std::string m_team;
    int m_urgency { 5 };
    double m_tokens { 0 };

    timer m_deadlineTimer;
    timer m_connectTimer;
    upstream_state_ptr m_upstream;
    upstream_connection_ptr m_connection;
    /// Ids of upstreams that got the request or could not be reached.
    std::set<std::string> m_tried;
    /// Whether the connection came from the pool, so that the upstream may just have closed it.
    bool m_isConnectionReused { false };
    /// Whether a reused connection ended before any byte of an answer; from then on new connections are used.
    bool m_wasDroppedEarly { false };
    int m_sends { 0 };
    monotonic_time m_dispatchedAt {};
    monotonic_time m_transmittedAt {};
    /// m_transmittedAt on the clock that counts suspension.
    monotonic_time m_sentAt {};
    /// Whether the upstream stated a request limit at dispatch, so that credit was spent.
    bool m_wasLimited { false };
    monotonic_duration m_timeToFirstByte { 0 };
    monotonic_duration m_longestGap { 0 };
    monotonic_time m_lastBytesAt {};
    /// Share of this request in the upstream's tokensAhead.
    double m_aheadTokens { 0 };
    /// Share of this request in the upstream's kvCacheTokens.
    double m_kvCacheTokens { 0 };
    /// The upstream's unread prompt tokens before this request was added.
    double m_aheadAtDispatch { 0 };

    http_head m_answer;
    /// Whether the current answer bears the upstream's signature.
    bool m_isSigned { false };
    /// Bytes of the body that are not delivered yet.
    std::string m_buffered;
    /// Body bytes that the current upstream sent; bounded for answers that are not signed successes.
    std::size_t m_answerBytes { 0 };
    /// Since when reading from the upstream is paused because the caller does not read.
    std::optional<monotonic_time> m_pausedAt;
    event_splitter m_events;
    event_boundary m_boundary;
    /// Whether the current answer bears the id of another request.
    bool m_isMismatched { false };
    bool m_answerBegun { false };
    /// Whether the head of the answer was sent to the caller.
    bool m_isDelivering { false };
    bool m_firstByteCame { false };
    monotonic_time m_firstByteAt {};
    /// Whether the current answer was counted as one that went on after its beginning.
    bool m_isCountedUnderWay { false };
    /// Whether the request is counted in the upstream's load.
    bool m_isCounted { false };
    /// Whether bytes were sent to the current upstream.
    bool m_isSent { false };
    /// Whether the current upstream declined the request.
    bool m_isDeclined { false };
    /// Whether bytes were sent to an earlier upstream that did not decline the request.
    bool m_mayHaveRunBefore { false };
    bool m_hasCredit { false };
    bool m_isCreditRequested { false };
    /// Whether the team was charged for the request.
    bool m_isCharged { false };
    bool m_over { false };
};

using relay_exchange_ptr = std::shared_ptr<relay_exchange>;

} // namespace sagesaddle
