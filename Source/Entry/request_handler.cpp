#include "Entry/request_handler.h"

#include "Base/scope_guard.h"
#include "Entry/caller_answer.h"
#include "Entry/overload_monitor.h"
#include "Watch/log.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view modelsPath = "/v1/models";
/// Time after which a refusal by the entry itself suggests a retry, which may reach another entry.
constexpr std::uint32_t retryDelayMs = 1000;
constexpr std::size_t maxRequestIdLength = 128;

std::string firstHeader(const http_call& call, std::string_view name)
{
    const auto values = call.header(name);
    return values.empty() ? std::string() : values.front();
}

std::string requestIdFor(const http_call& call, const trace_context& trace)
{
    std::string requestId = firstHeader(call, "X-Request-Id");
    const bool plain = std::all_of(requestId.begin(), requestId.end(),
        [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
    if (!requestId.empty() && requestId.size() <= maxRequestIdLength && plain)
        return requestId;
    return trace.traceId + "-" + trace.spanId;
}

std::string modelList(const fleet_state& state)
{
    nlohmann::ordered_json data = nlohmann::ordered_json::array();
    for (const auto& [name, model] : state.models)
        data.push_back(
            { { "id", name }, { "object", "model" }, { "created", 0 }, { "owned_by", "sagesaddle" } });
    return nlohmann::ordered_json { { "object", "list" }, { "data", data } }.dump();
}

refusal makeRefusal(const rate_decision& decision)
{
    refusal why { .status = statusOfReason(decision.reason, verdict::NotRun),
        .reason = decision.reason,
        .detail = "the request does not fit the team's rate now",
        .runVerdict = verdict::NotRun,
        .retryAfterMs = decision.retryAfterMs };
    if (decision.reason == "request_over_burst")
        why.detail = "the request may use more tokens than the team's burst; ask for a shorter answer";
    if (decision.reason == "rate_holder_away")
        why.detail = "the entry that holds the team's rate cannot be reached";
    return why;
}

void respondHealth(http_call& call, bool good)
{
    call.respond(good ? 200 : 503, { { "Content-Type", "text/plain" } }, good ? "ok\n" : "not ready\n");
}

} // namespace

// Data of one call while it is handled.
struct request_handler::request_context {
    request_context(http_call& incoming, std::size_t maxHeldBytes)
        : call(incoming)
        , caller(parseTraceparent(firstHeader(incoming, "traceparent")))
        , trace(caller ? childOf(*caller) : startTrace())
        , answer(incoming, trace, maxHeldBytes)
        , startedAt(monotonicNow())
    {
        record.traceId = trace.traceId;
        record.began = std::chrono::system_clock::now();
    }

    http_call& call;
    std::optional<trace_context> caller;
    trace_context trace;
    caller_answer answer;
    monotonic_time startedAt;
    decision_record record;
    std::optional<std::string> secret;
};

request_handler::request_handler(const entry_settings& settings, services dependencies)
    : m_settings(settings)
    , m_services(std::move(dependencies))
{
}

void request_handler::handle(http_call& call)
{
    if (call.path() == "/healthz" || call.path() == "/readyz")
        return respondHealth(call, call.path() == "/healthz" || m_services.isReady());
    ++m_inFlight;
    const scope_guard leaveGuard([this] { --m_inFlight; });
    request_context current(call, m_settings.limits.maxHeldAnswerBytes);
    const auto refuse = [&](const refusal& why) {
        current.record.reason = why.reason;
        current.record.runVerdict = laterVerdict(current.record.runVerdict, why.runVerdict);
        current.answer.refuse(why);
    };
    try {
        serve(current);
    } catch (const request_refused& refused) {
        refuse(refused.why());
    } catch (const std::exception& error) {
        writeLog(log_level::Error, "handling a request failed; answering with status 500",
            { { "trace_id", current.trace.traceId }, { "error", error.what() } });
        refuse({ .status = 500,
            .reason = "internal",
            .detail = "the entry failed; tell the operators the trace id",
            .runVerdict = current.record.runVerdict });
    }
    finish(current);
}

fleet_state_ptr request_handler::requireFreshState() const
{
    fleet_state_ptr state = m_services.state();
    if (state && m_services.freshnessAt(monotonicNow()).isFresh)
        return state;
    throw request_refused({ .status = 503,
        .reason = "state_not_fresh",
        .detail = "this entry cannot tell whether its configuration is the newest; try another or later",
        .runVerdict = verdict::NotRun,
        .retryAfterMs = retryDelayMs });
}

std::string request_handler::authenticateTeam(request_context& current, const fleet_state& state) const
{
    current.record.team = authenticate(state, current.secret).team;
    return current.record.team;
}

std::string request_handler::readBody(request_context& current)
{
    std::string body;
    const body_failure failure
        = current.call.readBody(body, m_settings.limits.maxBodyBytes, m_settings.bodyTimeout);
    if (failure == body_failure::None)
        return body;
    current.call.closeAfterResponse();
    if (failure == body_failure::TooLarge)
        throw request_refused({ .status = 413,
            .reason = "body_too_large",
            .detail
            = "the body is longer than " + std::to_string(m_settings.limits.maxBodyBytes) + " bytes" });
    throw request_refused({ .status = 408,
        .reason = "body_incomplete",
        .detail
        = "the body did not come whole within " + std::to_string(m_settings.bodyTimeout.count()) + " ms" });
}

void request_handler::serve(request_context& current)
{
    if (m_services.isRejecting())
        throw request_refused({ .status = 503,
            .reason = "entry_leaving",
            .detail = "this entry is leaving; try another",
            .runVerdict = verdict::NotRun,
            .retryAfterMs = retryDelayMs });
    if (current.call.isOverloaded())
        throw request_refused({ .status = 503,
            .reason = "entry_overloaded",
            .detail = "nearly all of this entry's connections are taken; try another or later",
            .runVerdict = verdict::NotRun,
            .retryAfterMs = retryDelayMs });
    try {
        checkHeaders(current.call.headers());
        current.secret = bearerSecret(current.call.headers());
    } catch (const request_refused&) {
        current.call.closeAfterResponse();
        throw;
    }
    const fleet_state_ptr state = requireFreshState();
    const std::string path = current.call.path();
    if (path == modelsPath)
        return serveModels(current);
    if (path == chatPath)
        return dispatch(current, readChat(current));
    const route* found = findRoute(*state, path);
    if (!found)
        throw request_refused(
            { .status = 404, .reason = "unknown_route", .detail = "no route leads from this path" });
    dispatch(current, readService(current, *found));
}

void request_handler::serveModels(request_context& current)
{
    const fleet_state_ptr state = requireFreshState();
    authenticateTeam(current, *state);
    if (current.call.method() != "GET")
        throw request_refused(
            { .status = 405, .reason = "bad_method", .detail = std::string(modelsPath) + " takes GET" });
    current.record.runVerdict = verdict::Answered;
    current.record.status = 200;
    current.call.respond(200, { { "Content-Type", "application/json" } }, modelList(*state));
}

caller_request request_handler::readChat(request_context& current)
{
    const auto& limits = m_settings.limits;
    const auto& headers = current.call.headers();
    // Authenticated before the body is read, and again afterwards, since the state may have changed
    // meanwhile.
    authenticateTeam(current, *requireFreshState());
    if (current.call.method() != "POST")
        throw request_refused(
            { .status = 405, .reason = "bad_method", .detail = std::string(chatPath) + " takes POST" });
    chat_body chat = parseChatBody(readBody(current), limits);
    const fleet_state_ptr state = requireFreshState();
    caller_request request;
    request.team = authenticateTeam(current, *state);
    request.method = "POST";
    request.target = chatPath;
    request.headers = forwardedHeaders(headers);
    request.model = current.record.model = chat.model;
    if (!state->models.contains(chat.model))
        throw request_refused({ .status = 404,
            .reason = "unknown_model",
            .detail = "there is no such model; " + std::string(modelsPath) + " lists those there are" });
    request.body = std::move(chat.body);
    request.stream = chat.stream;
    request.tokens = chat.tokens;
    request.prefixes = std::move(chat.prefixes);
    request.priority = requestedPriority(headers, state->teams.at(request.team).defaultPriority);
    request.timeout = requestedTimeout(headers,
        request.priority == priority::Batch ? limits.batchTimeout : limits.interactiveTimeout,
        limits.maxTimeout);
    request.idempotencyKey = requestedIdempotencyKey(headers);
    return request;
}

caller_request request_handler::readService(request_context& current, const route& found)
{
    const auto& headers = current.call.headers();
    const std::string prefix = found.pathPrefix;
    if (!found.open)
        authenticateTeam(current, *requireFreshState()); // before the body is read, and again afterwards
    std::string body = readBody(current);
    const fleet_state_ptr state = requireFreshState();
    const auto record = state->routes.find(prefix);
    if (record == state->routes.end())
        throw request_refused(
            { .status = 404, .reason = "unknown_route", .detail = "no route leads from this path" });
    const route& currentRoute = record->second;
    caller_request request;
    priority defaultPriority = priority::Interactive;
    if (!currentRoute.open) {
        request.team = authenticateTeam(current, *state);
        defaultPriority = state->teams.at(request.team).defaultPriority;
    }
    const std::string query = current.call.query();
    request.method = current.call.method();
    request.target = current.call.path() + (query.empty() ? "" : "?" + query);
    request.headers = forwardedHeaders(headers);
    request.service = current.record.service = currentRoute.service;
    request.body = std::move(body);
    request.tokens = m_settings.limits.serviceCallTokens;
    request.priority = requestedPriority(headers, defaultPriority);
    request.timeout
        = requestedTimeout(headers, milliseconds(currentRoute.deadlineMs), m_settings.limits.maxTimeout);
    request.idempotent = currentRoute.idempotent;
    request.idempotencyKey = requestedIdempotencyKey(headers);
    return request;
}

void request_handler::dispatch(request_context& current, const caller_request& incoming)
{
    if (incoming.stream && !current.call.acceptsChunks())
        throw request_refused(
            { .status = 400, .reason = "http_version", .detail = "a stream needs HTTP/1.1; send it so" });
    caller_request request = incoming;
    request.headers.push_back({ "X-Request-Id", requestIdFor(current.call, current.trace) });
    const monotonic_time deadline = current.startedAt + request.timeout;
    // Checked before the rate is charged, so that a request that no upstream can take costs the team nothing.
    if (const auto why = m_services.requestDispatcher.checkAvailability(request, deadline))
        throw request_refused(*why);
    if (!request.team.empty()) {
        const rate_decision decision = m_services.admit(request.team, request.tokens, deadline);
        if (!decision.admitted)
            throw request_refused(makeRefusal(decision));
        // If the process was suspended before the charge, the credit that was charged may have expired
        // meanwhile.
        static_cast<void>(requireFreshState());
        current.record.steps.push_back(
            "charged " + std::to_string(static_cast<std::uint64_t>(request.tokens)) + " tokens");
    }
    dispatch_context context { request, current.trace, deadline, current.answer, current.record };
    // Recorded also if dispatching throws: the request may have been sent by then.
    const scope_guard verdictGuard([&] { current.record.runVerdict = context.verdicts.current(); });
    const dispatch_outcome outcome = m_services.requestDispatcher.run(context);
    if (const auto* why = std::get_if<refusal>(&outcome))
        throw request_refused(*why);
    if (std::holds_alternative<caller_gone>(outcome)) {
        current.record.reason = "caller_gone";
        current.call.abandon();
    }
}

void request_handler::finish(request_context& current)
{
    decision_record& record = current.record;
    if (current.answer.status() != 0)
        record.status = current.answer.status();
    record.took = std::chrono::duration_cast<milliseconds>(monotonicNow() - current.startedAt);
    const std::string team = record.team.empty() ? "none" : record.team;
    m_services.metrics.add("sagesaddle_requests_total", "Requests of callers, by team and verdict.",
        { { "team", team }, { "verdict", std::string(nameOf(record.runVerdict)) } });
    if (record.reason.empty()) {
        m_services.metrics.observeSeconds("sagesaddle_request_seconds",
            "Time from a request's head to the end of its answer.",
            std::chrono::duration<double>(monotonicNow() - current.startedAt).count());
    } else {
        m_services.metrics.add("sagesaddle_refusals_total", "Requests not answered whole, by team and cause.",
            { { "team", team }, { "cause", record.reason } });
        if (isOverload(record.reason))
            m_services.overloadMonitor.onRefused(team, record.reason, monotonicNow());
    }
    const std::vector<log_field> fields { { "trace_id", record.traceId }, { "team", team },
        { "model", record.model }, { "service", record.service }, { "status", record.status },
        { "verdict", nameOf(record.runVerdict) }, { "reason", record.reason },
        { "took_ms", record.took.count() } };
    writeLog(log_level::Debug, "request", fields);
    m_services.spans.record({ .context = current.trace,
        .parentSpanId = current.caller ? current.caller->spanId : std::string(),
        .name = "request",
        .kind = span_kind::Server,
        .start = record.began,
        .end = std::chrono::system_clock::now(),
        .failed = !record.reason.empty(),
        .attributes = fields });
    m_services.decisions.add(std::move(record));
}

} // namespace sagesaddle
