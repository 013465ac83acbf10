#include "Relay/relay_exchange.h"

#include "Base/overloaded.h"
#include "Relay/caller_connection.h"
#include "Relay/refusal_answer.h"
#include "Relay/relay.h"
#include "caller_wire.h"

#include <algorithm>
#include <stdexcept>

namespace sagesaddle {

namespace {

// Answers that are not streams are buffered up to this size, so that a broken one can still be refused.
constexpr std::size_t maxBufferedBytes = 262144;
// Time within which an upstream must accept a connection; the one-way delay is a few milliseconds.
constexpr milliseconds connectTimeout { 300 };
// A request with less time left is not sent.
constexpr milliseconds minTimeToSend { 20 };
// Part of the caller's deadline that is reserved for the answer's way back.
constexpr milliseconds answerReserve { 20 };
// By then another gateway accepts the caller's connection.
constexpr milliseconds drainingRetryAfter { 100 };
// Time without a byte read after which a caller counts as not reading its answer.
constexpr milliseconds callerStallTime { 1000 };
// Time from an answer's first byte from which on the upstream counts as having survived its beginning.
constexpr milliseconds answerBeginning { 250 };
constexpr int statusMisdirected = 421;
constexpr int firstServerError = 500;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

relay_exchange::relay_exchange(relay& owner, caller_connection& caller, monotonic_time arrivedAt)
    : m_owner(owner)
    , m_caller(&caller)
    , m_arrivedAt(arrivedAt)
    , m_deadlineTimer(owner.loop(), [this] { onDeadline(); })
    , m_connectTimer(owner.loop(), [this] { onConnectTimeout(); })
{
}

milliseconds relay_exchange::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(m_endsAt - monotonicNow());
}

void relay_exchange::start(
    const http_head& head, std::string body, std::optional<refusal_reason> refusedBefore)
{
    m_owner.onArrival();
    m_table = m_owner.table();
    try {
        m_request = platform::parseRequestHead(head);
    } catch (const std::invalid_argument& error) {
        m_owner.logBadRequest(error.what());
        refuse(refusal_reason::BadRequest);
        return;
    }
    m_body = std::make_shared<const std::string>(std::move(body));
    if (refusedBefore)
        refuse(*refusedBefore);
    if (m_over || !resolve())
        return;
    milliseconds limit = m_route->timeout.count() > 0 ? m_route->timeout : milliseconds(60000);
    if (m_request.deadline)
        limit = std::min(limit, std::max(*m_request.deadline - answerReserve, milliseconds(1)));
    m_endsAt = m_arrivedAt + limit;
    m_deadlineTimer.start(m_endsAt - monotonicNow());
    m_owner.recordDemand(*this);
    place();
}

bool relay_exchange::resolve()
{
    if (!m_table) {
        refuse(refusal_reason::NoConfiguration);
        return false;
    }
    m_route = m_table->findRoute(m_request.host, m_request.target);
    if (m_route == nullptr) {
        refuse(refusal_reason::UnknownRoute);
        return false;
    }
    int rank = m_route->priorityLevel;
    m_tokens = 1;
    if (!m_route->isPublic && !m_table->config().teams.empty()) {
        const team_config* team = m_request.apiKey ? m_table->findTeam(*m_request.apiKey) : nullptr;
        if (team == nullptr) {
            refuse(refusal_reason::UnknownKey);
            return false;
        }
        m_team = team->name;
        rank = team->priorityLevel.value_or(rank);
        if (team->countsTokens)
            m_tokens = m_request.promptTokens ? *m_request.promptTokens + m_request.maxAnswerTokens
                                              : team->defaultRequestTokens;
        m_hasCredit = team->ratePerSecond <= 0;
    } else {
        m_hasCredit = true;
    }
    // The team's rank decides first; each rank of teams is divided into three by the route's rank.
    m_urgency = std::clamp(rank * 3 + std::min(m_route->priorityLevel, 2), 0, 9);
    const std::string* service = route_table::pickTarget(*m_route, m_owner.randomFraction());
    if (service == nullptr) {
        refuse(refusal_reason::NoUpstream);
        return false;
    }
    m_service = *service;
    return true;
}

bool relay_exchange::isStillAllowed()
{
    if (const auto left = m_owner.quarantineLeft(*this)) {
        refuse(refusal_reason::PromptQuarantined, left);
        return false;
    }
    return hasValidKey();
}

bool relay_exchange::hasValidKey()
{
    if (m_team.empty())
        return true;
    if (!m_owner.mayAcceptApiKeys()) {
        refuse(refusal_reason::KeysNotProven, m_owner.fallbackRetryAfter());
        return false;
    }
    const route_table_ptr newest = m_owner.table();
    if (newest == m_table)
        return true;
    const team_config* team = newest->findTeam(*m_request.apiKey);
    if (team == nullptr || team->name != m_team) {
        refuse(refusal_reason::UnknownKey);
        return false;
    }
    return true;
}

void relay_exchange::place()
{
    if (m_over || m_connection)
        return;
    if (m_owner.table() != m_table && m_sends == 0) {
        m_table = m_owner.table();
        const bool hadCredit = m_hasCredit;
        if (!resolve())
            return;
        m_hasCredit = m_hasCredit || hadCredit;
    }
    if (!mayHaveRun() && !m_owner.mayStart(*this)) {
        refuse(refusal_reason::Draining, drainingRetryAfter);
        return;
    }
    if (!isStillAllowed())
        return;
    if (timeLeft() < minTimeToSend) {
        onDeadline();
        return;
    }
    if (!m_hasCredit) {
        if (!m_isCreditRequested) {
            m_isCreditRequested = true;
            m_owner.requestCredit(shared_from_this());
        }
        return;
    }
    std::visit(
        overloaded { [this](const send_decision& value) { dispatch(value); },
            [this](const wait_decision& value) { m_owner.addWaiting(shared_from_this(), value.recheck); },
            [this](const refuse_decision& value) { refuse(value.reason, value.retryAfter); } },
        m_owner.decideDispatch(*this, m_tried));
}

void relay_exchange::onCreditDecision(credit_outcome outcome, std::optional<milliseconds> retryAfter)
{
    if (m_over)
        return;
    if (outcome != credit_outcome::Granted) {
        refuse(
            outcome == credit_outcome::OverLimit ? refusal_reason::OverLimit : refusal_reason::LimitUnknown,
            retryAfter ? retryAfter : m_owner.fallbackRetryAfter());
        return;
    }
    m_hasCredit = true;
    m_isCharged = true;
    place();
}

void relay_exchange::dispatch(const send_decision& decision)
{
    const upstream_state_ptr target = m_upstream = decision.target;
    m_connection = target->pool.acquire(m_wasDroppedEarly);
    m_isConnectionReused = m_connection->isConnected();
    const double prompt = m_request.promptTokens.value_or(0);
    m_aheadTokens = std::max(0.0, prompt - decision.cachedTokens);
    m_kvCacheTokens = prompt
        + (m_request.expectedAnswerTokens > 0 ? m_request.expectedAnswerTokens
                                              : m_request.maxAnswerTokens / 2.0);
    m_aheadAtDispatch = target->tokensAhead + target->peerLoad.tokensAhead;
    target->inFlight += 1;
    target->tokensAhead += m_aheadTokens;
    target->kvCacheTokens += m_kvCacheTokens;
    target->requests.insert(this);
    m_isCounted = true;
    m_dispatchedAt = monotonicNow();
    m_wasLimited = m_owner.sendCredit().limitInForce(target->entry.id, bootTimeNow()).has_value();
    m_answerBegun = false;
    m_firstByteCame = false;
    m_isCountedUnderWay = false;
    m_mayHaveRunBefore = mayHaveRun();
    m_isSent = false;
    m_isDeclined = false;
    m_boundary.reset();
    m_isMismatched = false;
    m_answerBytes = 0;
    m_pausedAt.reset();
    m_buffered.clear();
    m_owner.recordSend(*this, *target, decision.forecastMilliseconds, m_sends);
    const auto self = weak_from_this();
    const auto guarded = [self](auto action) {
        return [self, action](auto&&... arguments) {
            if (const auto alive = self.lock(); alive && !alive->m_over)
                action(*alive, std::forward<decltype(arguments)>(arguments)...);
        };
    };
    m_connection->attach({ guarded([](relay_exchange& exchange) { exchange.transmit(); }),
        guarded([](relay_exchange& exchange, http_head head) { exchange.onHead(std::move(head)); }),
        guarded([](relay_exchange& exchange, std::string_view bytes) { exchange.onBody(bytes); }),
        guarded([](relay_exchange& exchange) { exchange.onAnswerEnd(); }),
        guarded([](relay_exchange& exchange) { exchange.onBroken(); }) });
    if (m_connection->isConnected())
        transmit();
    else
        m_connectTimer.start(connectTimeout);
}

void relay_exchange::transmit()
{
    m_connectTimer.stop();
    // The process may have been suspended since the request was placed.
    if (!isStillAllowed())
        return;
    // The upstream may have stated a limit since the request was placed.
    const bool mayBeSent = m_owner.mayStillSend(m_upstream->entry, m_wasLimited, m_dispatchedAt);
    if (!m_upstream->isOpen(monotonicNow()) || !mayBeSent) {
        leaveUpstream(true);
        place();
        return;
    }
    const milliseconds left = timeLeft();
    if (left < minTimeToSend) {
        onDeadline();
        return;
    }
    upstream_request_metadata metadata;
    metadata.deadline = left;
    metadata.instance = m_upstream->entry.id;
    metadata.team = m_team;
    if (m_route->isStream())
        metadata.urgency = m_urgency;
    if (m_isDelivering)
        metadata.lastEventId = m_events.lastEventId();
    m_isSent = true;
    ++m_sends;
    m_transmittedAt = monotonicNow();
    m_sentAt = bootTimeNow();
    m_tried.insert(m_upstream->entry.id);
    m_connection->write(platform::formatUpstreamHead(m_request, metadata, m_body->size()));
    m_connection->write(*m_body, m_body);
}

void relay_exchange::onFirstByte()
{
    if (m_firstByteCame)
        return;
    m_firstByteCame = true;
    const monotonic_time now = monotonicNow();
    m_firstByteAt = now;
    m_upstream->failures = 0;
    m_upstream->suspectUntil = {};
    m_upstream->tokensAhead -= m_aheadTokens;
    if (isSuccess(m_answer.status))
        m_owner.recordFirstByte(
            *this, *m_upstream, secondsBetween(m_dispatchedAt, now), m_aheadAtDispatch + m_aheadTokens);
    m_aheadTokens = 0;
}

bool relay_exchange::isAnswerUnderWay() const
{
    return m_firstByteCame && monotonicNow() - m_firstByteAt >= answerBeginning;
}

void relay_exchange::countAnswerUnderWay()
{
    if (!std::exchange(m_isCountedUnderWay, true))
        m_owner.onAnswerUnderWay(*this);
}

void relay_exchange::recordBodyTimes()
{
    const monotonic_time now = monotonicNow();
    if (m_timeToFirstByte == monotonic_duration::zero())
        m_timeToFirstByte = now - m_arrivedAt;
    else
        m_longestGap = std::max(m_longestGap, now - m_lastBytesAt);
    m_lastBytesAt = now;
}

void relay_exchange::onHead(http_head head)
{
    m_owner.recordActivity(*m_upstream);
    const upstream_answer_metadata metadata = platform::parseAnswerHead(head);
    m_owner.applyAnswerMetadata(m_upstream, metadata);
    const bool isDeclined = metadata.isNotRun || head.status == statusMisdirected;
    // A refusal without an id may repeat an earlier one, unless the connection had no earlier request.
    const bool isMatch = metadata.requestId == m_request.id
        || (metadata.requestId.empty() && isDeclined && !m_isConnectionReused);
    m_isMismatched = !isMatch;
    if (m_isMismatched) {
        m_owner.logMismatchedAnswer(*this, *m_upstream);
        return;
    }
    if (metadata.isSigned || isDeclined)
        m_owner.applyRequestLimit(m_upstream->entry.id, metadata, m_sentAt);
    m_answer = std::move(head);
    m_isSigned = metadata.isSigned;
    m_answerBegun = true;
    m_isDeclined = isDeclined;
}

std::vector<http_field> relay_exchange::answerFields() const
{
    std::vector<http_field> fields;
    for (const auto& field : m_answer.fields) {
        if (!isHopByHopField(field.name) && !equalsIgnoringCase(field.name, "Content-Length"))
            fields.push_back(field);
    }
    return fields;
}

void relay_exchange::beginDelivery()
{
    m_isDelivering = true;
    const std::string first = m_route->isResumable ? m_events.feed(m_buffered) : std::move(m_buffered);
    m_buffered.clear();
    m_caller->beginChunkedAnswer(m_answer.status, answerFields(), first);
}

bool relay_exchange::isEventStream() const
{
    const std::string* type = m_answer.find("Content-Type");
    return m_route->isStream() && (type == nullptr || type->starts_with("text/event-stream"));
}

void relay_exchange::onBody(std::string_view bytes)
{
    const bool isSignedSuccess = !m_isMismatched && isSuccess(m_answer.status) && m_isSigned;
    m_answerBytes += bytes.size();
    if (!isSignedSuccess && m_answerBytes > maxBufferedBytes) {
        onEndlessAnswer();
        return;
    }
    if (m_isMismatched)
        return;
    if (isSignedSuccess && isEventStream())
        m_boundary.feed(bytes);
    recordBodyTimes();
    m_owner.recordActivity(*m_upstream);
    if (m_isDelivering) {
        if (!isSignedSuccess)
            return;
        if (m_route->isResumable) {
            const std::string complete = m_events.feed(bytes);
            if (!complete.empty())
                m_caller->sendBody(complete);
        } else {
            m_caller->sendBody(bytes);
        }
        onFirstByte();
        if (isAnswerUnderWay())
            countAnswerUnderWay();
        return;
    }
    if (m_buffered.size() + bytes.size() <= maxBufferedBytes || !isSignedSuccess) {
        m_buffered.append(bytes.substr(0, maxBufferedBytes));
        m_caller->noteHeldBytes();
    } else {
        m_buffered.append(bytes);
        beginDelivery();
        return;
    }
    if (m_route->isStream() && isSignedSuccess) {
        onFirstByte();
        beginDelivery();
    }
}

void relay_exchange::onAnswerEnd()
{
    if (m_isMismatched) {
        // The answer to this request may still follow on the same connection.
        m_isMismatched = false;
        return;
    }
    const auto self = shared_from_this();
    onFirstByte();
    const int status = m_answer.status;
    if (m_isDeclined) {
        if (status == statusMisdirected)
            m_owner.onMisdirected(m_upstream);
        leaveUpstream(true);
        if (status >= 400 && status < firstServerError && status != statusMisdirected && status != 429) {
            refuse(refusal_reason::BadRequest);
            return;
        }
        retryOrRefuse(refusal_reason::DeclinedByUpstream);
        return;
    }
    if (isSuccess(status) && !m_isSigned) {
        m_owner.recordAnswer(*this, *m_upstream, false);
        leaveUpstream(false);
        retryOrRefuse(refusal_reason::UpstreamGarbled);
        return;
    }
    if (m_isDelivering && !isSuccess(status)) {
        leaveUpstream(true);
        retryOrRefuse(refusal_reason::UpstreamBroke);
        return;
    }
    if (!m_isDelivering && status >= firstServerError && mayRetry() && m_owner.tryRetry(m_service)) {
        m_owner.recordFailure(*m_upstream, false);
        leaveUpstream(true);
        place();
        return;
    }
    if (m_isDelivering && (m_boundary.isInside() || m_events.hasPartial())) {
        leaveUpstream(true);
        retryOrRefuse(refusal_reason::UpstreamGarbled);
        return;
    }
    m_owner.recordAnswer(*this, *m_upstream, status < firstServerError);
    if (isSuccess(status))
        countAnswerUnderWay();
    leaveUpstream(true);
    logEnd("answered", status);
    caller_connection* const caller = m_caller;
    finish();
    if (m_isDelivering) {
        caller->endBody();
        return;
    }
    caller->sendAnswer(status, answerFields(), m_buffered);
}

void relay_exchange::onBroken()
{
    const auto self = shared_from_this();
    m_connectTimer.stop();
    m_owner.recordFailure(*m_upstream, !m_firstByteCame);
    if (mayHaveRunHere())
        m_owner.onConnectionBroken(*this, m_upstream, isAnswerUnderWay());
    else {
        // Nothing was sent, or the upstream declined the request: it is placed again without using up a
        // retry.
        m_tried.insert(m_upstream->entry.id);
        leaveUpstream(false);
        place();
        return;
    }
    // The upstream may just have closed an idle connection. Allow it one more try on a new connection,
    // in case no other upstream can take the request.
    if (m_isConnectionReused && !m_firstByteCame && !std::exchange(m_wasDroppedEarly, true))
        m_tried.erase(m_upstream->entry.id);
    leaveUpstream(false);
    retryOrRefuse(refusal_reason::UpstreamBroke);
}

void relay_exchange::onEndlessAnswer()
{
    const auto self = shared_from_this();
    m_owner.recordFailure(*m_upstream, !m_firstByteCame);
    leaveUpstream(false);
    retryOrRefuse(refusal_reason::UpstreamGarbled);
}

void relay_exchange::onUpstreamSilent()
{
    const bool canResume = !m_isDelivering || !m_events.lastEventId().empty();
    if (m_over || !m_connection || !mayHaveRunHere() || !m_route->mayRunTwice() || !canResume || !mayRetry()
        || !m_owner.tryRetry(m_service))
        return;
    const auto self = shared_from_this();
    leaveUpstream(false);
    m_events.dropPartial();
    place();
}

void relay_exchange::onConnectTimeout()
{
    onBroken();
}

bool relay_exchange::mayRetry() const
{
    if (m_sends >= std::max(m_route->maxAttempts, mayHaveRun() ? 1 : 2))
        return false;
    return (!mayHaveRun() || m_route->mayRunTwice()) && timeLeft() > minTimeToSend * 2;
}

void relay_exchange::retryOrRefuse(refusal_reason reason)
{
    const bool canResume = !m_isDelivering || (m_route->isResumable && !m_events.lastEventId().empty());
    if (canResume && mayRetry() && m_owner.tryRetry(m_service)) {
        m_events.dropPartial();
        place();
        return;
    }
    refuse(reason, m_owner.declinedRetryAfter(*this));
}

void relay_exchange::leaveUpstream(bool keepConnection)
{
    m_connectTimer.stop();
    if (m_isCounted) {
        m_upstream->inFlight -= 1;
        m_upstream->requests.erase(this);
        m_upstream->tokensAhead -= m_aheadTokens;
        m_upstream->kvCacheTokens -= m_kvCacheTokens;
        m_aheadTokens = 0;
        m_isCounted = false;
    }
    if (!m_connection)
        return;
    const auto connection = std::move(m_connection);
    m_connection.reset();
    if (keepConnection)
        m_upstream->pool.release(connection, m_owner.maxIdleConnections(*m_upstream));
    else
        connection->close();
    m_owner.schedulePlacement();
}

bool relay_exchange::isAnswerOverdue() const
{
    if (!m_connection || !m_answerBegun)
        return false;
    const bool isCallerStalled = m_pausedAt && monotonicNow() - *m_pausedAt >= callerStallTime;
    // An engine under load may need longer for a stream than the caller waits.
    return !isCallerStalled && (!isEventStream() || m_answerBytes > maxBufferedBytes);
}

void relay_exchange::onDeadline()
{
    if (m_over)
        return;
    const auto self = shared_from_this();
    if (isAnswerOverdue())
        m_owner.recordFailure(*m_upstream, false);
    refuse(mayHaveRun() ? refusal_reason::NoAnswerInTime : refusal_reason::NotSentInTime);
}

void relay_exchange::refuse(refusal_reason reason, std::optional<milliseconds> retryAfter)
{
    if (m_over)
        return;
    const auto self = shared_from_this();
    refusal_response response = refusalOf(reason);
    if (response.isNotRun && mayHaveRun())
        response = refusalOf(refusal_reason::UpstreamBroke);
    if (response.isNotRun && m_isCharged)
        m_owner.refund(m_team, m_tokens);
    leaveUpstream(false);
    logEnd(response.name, response.status);
    m_owner.recordRefusal(*this, reason);
    caller_connection* const caller = m_caller;
    finish();
    if (m_isDelivering) {
        caller->abortAnswer();
        return;
    }
    const refusal_answer answer = refusalAnswer(response, m_request.id, retryAfter);
    caller->sendAnswer(response.status, answer.fields, answer.body);
}

void relay_exchange::onCallerDisconnected()
{
    if (m_over)
        return;
    const auto self = shared_from_this();
    m_caller = nullptr;
    leaveUpstream(false);
    logEnd("caller_left", 0);
    finish();
}

void relay_exchange::pauseUpstream(bool isPaused)
{
    if (!isPaused)
        m_pausedAt.reset();
    else if (!m_pausedAt)
        m_pausedAt = monotonicNow();
    if (m_connection)
        m_connection->pauseReading(isPaused);
}

void relay_exchange::logEnd(std::string_view outcome, int status)
{
    m_owner.recordEnd(*this, outcome, status, m_sends, m_upstream.get());
}

void relay_exchange::finish()
{
    m_over = true;
    m_deadlineTimer.stop();
    m_connectTimer.stop();
    m_owner.removeWaiting(*this);
}

} // namespace sagesaddle
