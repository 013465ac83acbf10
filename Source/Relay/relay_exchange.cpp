#include "Relay/relay_exchange.h"

#include "Base/overloaded.h"
#include "Relay/caller_connection.h"
#include "Relay/relay.h"
#include "caller_wire.h"

#include <algorithm>
#include <stdexcept>

namespace sagesaddle {

namespace {

// Answers that are not streams are held back up to this size, so that a break shows as a refusal.
constexpr std::size_t maxHeldBytes = 262144;
// Time that an upstream has to accept a connection; one way is a few milliseconds.
constexpr milliseconds connectTimeout { 300 };
// Least time left with which a request is still worth sending.
constexpr milliseconds leastTimeToSend { 20 };
// Part of the caller's deadline that the way back takes.
constexpr milliseconds wayBack { 20 };
// Another gateway takes the connection by then.
constexpr milliseconds drainingRetryAfter { 100 };
constexpr int misdirected = 421;
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
    , m_deadline(owner.loop(), [this] { onDeadline(); })
    , m_connecting(owner.loop(), [this] { onConnectTimeout(); })
{
}

milliseconds relay_exchange::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(m_endsAt - monotonicNow());
}

void relay_exchange::start(const http_head& head, std::string body)
{
    m_owner.onArrival();
    m_table = m_owner.table();
    try {
        m_request = platform::readRequest(head);
    } catch (const std::invalid_argument& error) {
        m_owner.logBadRequest(error.what());
        refuse(refusal_reason::BadRequest);
        return;
    }
    m_request.body = std::move(body);
    if (m_owner.isRejectingRequests()) {
        refuse(refusal_reason::Draining, drainingRetryAfter);
        return;
    }
    if (!resolve())
        return;
    milliseconds limit = m_route->timeout.count() > 0 ? m_route->timeout : milliseconds(60000);
    if (m_request.deadline)
        limit = std::min(limit, std::max(*m_request.deadline - wayBack, milliseconds(1)));
    m_endsAt = m_arrivedAt + limit;
    m_deadline.start(m_endsAt - monotonicNow());
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
    int rank = m_route->rank;
    m_tokens = 1;
    if (!m_route->isOpen && !m_table->config().teams.empty()) {
        const team_config* team = m_request.key ? m_table->findTeam(*m_request.key) : nullptr;
        if (team == nullptr) {
            refuse(refusal_reason::UnknownKey);
            return false;
        }
        m_team = team->name;
        rank = team->rank.value_or(rank);
        if (team->countsTokens)
            m_tokens = m_request.promptTokens ? *m_request.promptTokens + m_request.maxAnswerTokens
                                              : team->plainTokens;
        m_hasCredit = team->ratePerSecond <= 0;
    } else {
        m_hasCredit = true;
    }
    // Teams go before routes; three ranks of routes fit between two ranks of teams.
    m_urgency = std::clamp(rank * 3 + std::min(m_route->rank, 2), 0, 9);
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
    if (m_team.empty())
        return true;
    if (!m_owner.mayUseKeys()) {
        refuse(refusal_reason::KeysNotProven, m_owner.fallbackRetryAfter());
        return false;
    }
    const route_table_ptr newest = m_owner.table();
    if (newest == m_table)
        return true;
    const team_config* team = newest->findTeam(*m_request.key);
    if (team == nullptr || team->name != m_team) {
        refuse(refusal_reason::UnknownKey);
        return false;
    }
    return true;
}

void relay_exchange::place()
{
    if (m_over || m_link)
        return;
    if (m_owner.table() != m_table && m_sends == 0) {
        m_table = m_owner.table();
        const bool hadCredit = m_hasCredit;
        if (!resolve())
            return;
        m_hasCredit = m_hasCredit || hadCredit;
    }
    if (!isStillAllowed())
        return;
    if (timeLeft() < leastTimeToSend) {
        onDeadline();
        return;
    }
    if (!m_hasCredit) {
        if (!m_asksCredit) {
            m_asksCredit = true;
            m_owner.requestCredit(shared_from_this());
        }
        return;
    }
    std::visit(
        overloaded { [this](const relay_send& value) { send(value.target, value.forecastMilliseconds); },
            [this](const relay_wait&) { m_owner.addWaiting(shared_from_this()); },
            [this](const relay_refuse& value) { refuse(value.reason, value.retryAfter); } },
        m_owner.chooseUpstream(*this, m_tried));
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

void relay_exchange::send(const upstream_state_ptr& target, double forecast)
{
    m_upstream = target;
    m_link = target->pool.acquire(m_wasDroppedEarly);
    m_linkWasIdle = m_link->isConnected();
    const double prompt = m_request.promptTokens.value_or(0);
    m_aheadTokens = prompt;
    m_memoryTokens = prompt
        + (m_request.expectedAnswerTokens > 0 ? m_request.expectedAnswerTokens
                                              : m_request.maxAnswerTokens / 2.0);
    m_aheadAtSend = target->tokensAhead + target->foreign.tokensAhead;
    target->inFlight += 1;
    target->tokensAhead += m_aheadTokens;
    target->memoryTokens += m_memoryTokens;
    target->requests.insert(this);
    m_counted = true;
    m_dispatchedAt = monotonicNow();
    m_answerBegun = false;
    m_firstByteCame = false;
    m_isForeignAnswer = false;
    m_uselessBytes = 0;
    m_held.clear();
    m_owner.recordSend(*this, *target, forecast, m_sends);
    const auto self = weak_from_this();
    const auto guarded = [self](auto action) {
        return [self, action](auto&&... arguments) {
            if (const auto alive = self.lock(); alive && !alive->m_over)
                action(*alive, std::forward<decltype(arguments)>(arguments)...);
        };
    };
    m_link->attach({ guarded([](relay_exchange& it) { it.transmit(); }),
        guarded([](relay_exchange& it, http_head head) { it.onHead(std::move(head)); }),
        guarded([](relay_exchange& it, std::string_view bytes) { it.onBody(bytes); }),
        guarded([](relay_exchange& it) { it.onAnswerEnd(); }),
        guarded([](relay_exchange& it) { it.onBroken(); }) });
    if (m_link->isConnected())
        transmit();
    else
        m_connecting.start(connectTimeout);
}

void relay_exchange::transmit()
{
    m_connecting.stop();
    // The process may have stood still since the request was placed.
    if (!isStillAllowed())
        return;
    if (!m_upstream->isOpen(monotonicNow())) {
        leaveUpstream(true);
        place();
        return;
    }
    const milliseconds left = timeLeft();
    if (left < leastTimeToSend) {
        onDeadline();
        return;
    }
    upstream_request_metadata terms;
    terms.deadline = left;
    terms.instance = m_upstream->entry.id;
    terms.team = m_team;
    if (m_route->isStream())
        terms.urgency = m_urgency;
    if (m_delivering)
        terms.lastEventId = m_events.lastEventId();
    m_mayHaveRun = true;
    ++m_sends;
    m_transmittedAt = monotonicNow();
    m_tried.insert(m_upstream->entry.id);
    m_link->write(platform::writeRequest(m_request, terms));
}

void relay_exchange::countFirstByte()
{
    if (m_firstByteCame)
        return;
    m_firstByteCame = true;
    const monotonic_time now = monotonicNow();
    m_upstream->failures = 0;
    m_upstream->suspectUntil = {};
    m_upstream->tokensAhead -= m_aheadTokens;
    if (isSuccess(m_answer.status))
        m_owner.recordFirstByte(*this, *m_upstream, secondsBetween(m_dispatchedAt, now), m_aheadAtSend);
    m_aheadTokens = 0;
}

void relay_exchange::noteBytes()
{
    const monotonic_time now = monotonicNow();
    if (m_timeToFirstByte == monotonic_span::zero())
        m_timeToFirstByte = now - m_arrivedAt;
    else
        m_longestGap = std::max(m_longestGap, now - m_lastBytesAt);
    m_lastBytesAt = now;
}

void relay_exchange::onHead(http_head head)
{
    m_owner.recordActivity(*m_upstream);
    const upstream_answer_metadata terms = platform::readAnswer(head);
    m_owner.applyAnswerMetadata(m_upstream, terms);
    const bool declines = terms.isNotRun || head.status == misdirected;
    const bool isOurs = terms.requestId == m_request.id || (terms.requestId.empty() && declines);
    m_isForeignAnswer = !isOurs;
    if (m_isForeignAnswer) {
        m_owner.logMismatchedAnswer(*this, *m_upstream);
        return;
    }
    m_answer = std::move(head);
    m_isSigned = terms.isSigned;
    m_answerBegun = true;
    if (declines)
        m_mayHaveRun = false;
}

std::vector<http_field> relay_exchange::answerFields() const
{
    std::vector<http_field> fields;
    for (const auto& field : m_answer.fields) {
        if (!isHopField(field.name) && !sameName(field.name, "Content-Length"))
            fields.push_back(field);
    }
    return fields;
}

void relay_exchange::deliverStart()
{
    m_delivering = true;
    const std::string first = m_route->isResumable ? m_events.feed(m_held) : std::move(m_held);
    m_held.clear();
    m_caller->beginChunkedAnswer(m_answer.status, answerFields(), first);
}

void relay_exchange::onBody(std::string_view bytes)
{
    const bool isSound = !m_isForeignAnswer && isSuccess(m_answer.status) && m_isSigned;
    if (!isSound) {
        m_uselessBytes += bytes.size();
        if (m_uselessBytes > maxHeldBytes) {
            onEndlessAnswer();
            return;
        }
    }
    if (m_isForeignAnswer)
        return;
    noteBytes();
    m_owner.recordActivity(*m_upstream);
    if (m_delivering) {
        if (!isSound)
            return;
        if (m_route->isResumable) {
            const std::string whole = m_events.feed(bytes);
            if (!whole.empty())
                m_caller->sendBody(whole);
        } else {
            m_caller->sendBody(bytes);
        }
        countFirstByte();
        return;
    }
    if (m_held.size() + bytes.size() <= maxHeldBytes || !isSound)
        m_held.append(bytes.substr(0, maxHeldBytes));
    else {
        m_held.append(bytes);
        deliverStart();
        return;
    }
    if (m_route->isStream() && isSound) {
        countFirstByte();
        deliverStart();
    }
}

void relay_exchange::onAnswerEnd()
{
    if (m_isForeignAnswer) {
        // The answer to this request may still follow on the connection.
        m_isForeignAnswer = false;
        return;
    }
    const auto self = shared_from_this();
    countFirstByte();
    const bool declines = !m_mayHaveRun;
    const int status = m_answer.status;
    if (declines) {
        if (status == misdirected)
            m_owner.onMisdirected(m_upstream);
        leaveUpstream(true);
        if (status >= 400 && status < firstServerError && status != misdirected && status != 429) {
            refuse(refusal_reason::BadRequest);
            return;
        }
        retryOr(refusal_reason::DeclinedByUpstream);
        return;
    }
    if (isSuccess(status) && !m_isSigned) {
        m_owner.recordAnswer(*this, *m_upstream, false);
        leaveUpstream(false);
        retryOr(refusal_reason::UpstreamGarbled);
        return;
    }
    if (m_delivering && !isSuccess(status)) {
        leaveUpstream(true);
        retryOr(refusal_reason::UpstreamBroke);
        return;
    }
    if (!m_delivering && status >= firstServerError && mayRetry() && m_owner.tryRetry(m_service)) {
        m_owner.recordFailure(*m_upstream, false);
        leaveUpstream(true);
        place();
        return;
    }
    if (m_delivering && m_events.hasPartial()) {
        leaveUpstream(true);
        retryOr(refusal_reason::UpstreamGarbled);
        return;
    }
    m_owner.recordAnswer(*this, *m_upstream, status < firstServerError);
    leaveUpstream(true);
    logEnd("answered", status);
    caller_connection* const caller = m_caller;
    finish();
    if (m_delivering) {
        caller->endBody();
        return;
    }
    caller->sendAnswer(status, answerFields(), m_held);
}

void relay_exchange::onBroken()
{
    const auto self = shared_from_this();
    m_connecting.stop();
    m_owner.recordFailure(*m_upstream, !m_firstByteCame);
    if (!m_mayHaveRun) {
        // Nothing was sent: the connection was not made.
        m_tried.insert(m_upstream->entry.id);
        leaveUpstream(false);
        place();
        return;
    }
    // It may just have closed a connection that was idle: where no other can take the request, it is asked
    // once more, on a new connection.
    if (m_linkWasIdle && !m_firstByteCame && !std::exchange(m_wasDroppedEarly, true))
        m_tried.erase(m_upstream->entry.id);
    leaveUpstream(false);
    retryOr(refusal_reason::UpstreamBroke);
}

void relay_exchange::onEndlessAnswer()
{
    const auto self = shared_from_this();
    m_owner.recordFailure(*m_upstream, !m_firstByteCame);
    leaveUpstream(false);
    retryOr(refusal_reason::UpstreamGarbled);
}

void relay_exchange::onUpstreamSilent()
{
    const bool canGoOn = !m_delivering || !m_events.lastEventId().empty();
    if (m_over || !m_link || !m_mayHaveRun || !m_route->isIdempotent() || !canGoOn || !mayRetry()
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
    if (m_sends >= std::max(m_route->maxAttempts, m_mayHaveRun ? 1 : 2))
        return false;
    return (!m_mayHaveRun || m_route->isIdempotent()) && timeLeft() > leastTimeToSend * 2;
}

void relay_exchange::retryOr(refusal_reason reason)
{
    const bool canGoOn = !m_delivering || (m_route->isResumable && !m_events.lastEventId().empty());
    if (canGoOn && mayRetry() && m_owner.tryRetry(m_service)) {
        m_events.dropPartial();
        place();
        return;
    }
    refuse(reason, m_owner.declinedRetryAfter(*this));
}

void relay_exchange::leaveUpstream(bool keepLink)
{
    m_connecting.stop();
    if (m_counted) {
        m_upstream->inFlight -= 1;
        m_upstream->requests.erase(this);
        m_upstream->tokensAhead -= m_aheadTokens;
        m_upstream->memoryTokens -= m_memoryTokens;
        m_aheadTokens = 0;
        m_counted = false;
    }
    if (!m_link)
        return;
    const auto link = std::move(m_link);
    m_link.reset();
    if (keepLink)
        m_upstream->pool.release(link);
    else
        link->close();
    m_owner.schedulePlacement();
}

void relay_exchange::onDeadline()
{
    if (m_over)
        return;
    const auto self = shared_from_this();
    refuse(m_mayHaveRun ? refusal_reason::NoAnswerInTime : refusal_reason::NotSentInTime);
}

void relay_exchange::refuse(refusal_reason reason, std::optional<milliseconds> retryAfter)
{
    if (m_over)
        return;
    const auto self = shared_from_this();
    refusal_response told = refusalOf(reason);
    if (told.isNotRun && m_mayHaveRun)
        told = refusalOf(refusal_reason::UpstreamBroke);
    if (told.isNotRun && m_isCharged)
        m_owner.refund(m_team, m_tokens);
    leaveUpstream(false);
    logEnd(told.name, told.status);
    m_owner.recordRefusal(*this, reason);
    caller_connection* const caller = m_caller;
    finish();
    if (m_delivering) {
        caller->abortAnswer();
        return;
    }
    std::vector<http_field> fields { { "Content-Type", "application/problem+json" } };
    if (!m_request.id.empty())
        fields.push_back({ std::string(platform::requestIdField()), m_request.id });
    if (retryAfter) {
        // Seconds with a fraction, as callers of the platform take them.
        std::string text = std::to_string(static_cast<double>(retryAfter->count()) / 1000.0);
        fields.push_back({ "Retry-After", text.substr(0, text.find('.') + 3) });
    }
    std::string body = R"({"type":"about:blank","reason":")";
    body.append(told.name).append(R"(","verdict":")");
    body.append(told.isNotRun ? "not_run" : "may_have_run").append("\"}");
    caller->sendAnswer(told.status, fields, body);
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

void relay_exchange::pauseUpstream(bool isHeld)
{
    if (m_link)
        m_link->pauseReading(isHeld);
}

void relay_exchange::logEnd(std::string_view outcome, int status)
{
    m_owner.recordEnd(*this, outcome, status, m_sends, m_upstream.get());
}

void relay_exchange::finish()
{
    m_over = true;
    m_deadline.stop();
    m_connecting.stop();
    m_owner.removeWaiting(*this);
}

} // namespace sagesaddle
