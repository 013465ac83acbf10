#include "Entry/admin_handler.h"

#include "Record/json_text.h"
#include "Record/log_record.h"
#include "Watch/log.h"

#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

using nlohmann::ordered_json;

constexpr std::string_view traceParameter = "trace=";

std::int64_t millisecondsBetween(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

ordered_json overloadToJson(const admin_status& status)
{
    ordered_json overloads = ordered_json::array();
    std::int64_t longest = 0;
    for (const auto& teamOverload : status.overloads) {
        const std::int64_t age = millisecondsBetween(teamOverload.startedAt, status.now);
        longest = std::max(longest, age);
        overloads.push_back({ { "team", teamOverload.team }, { "cause", teamOverload.cause },
            { "refusals", teamOverload.refusals }, { "since_ms", age } });
    }
    ordered_json overload { { "active", !status.overloads.empty() } };
    if (!status.overloads.empty())
        overload["since_ms"] = longest;
    overload["by"] = overloads;
    return overload;
}

ordered_json upstreamToJson(const admin_status& status, const upstream& record)
{
    ordered_json value { { "name", record.name },
        { "kind", record.kind == upstream_kind::Engine ? "engine" : "service" }, { "zone", record.zone },
        { "leaving", record.leaving } };
    const auto connection = status.sideConnections.find(record.name);
    value["link_up"] = connection != status.sideConnections.end() && connection->second;
    const auto found = status.loadReports.find(record.name);
    if (found == status.loadReports.end())
        return value;
    const load_report& load = found->second;
    value["load"] = { { "queued", load.queued }, { "running", load.running }, { "slots", load.slots },
        { "free_memory_mb", load.freeMemoryMb }, { "report_age_ms", load.reportAgeMs },
        { "wait_ms", load.waitMs }, { "draining", load.draining },
        { "resident_models", load.residentModels } };
    return value;
}

ordered_json planToJson(const fleet_state& state)
{
    ordered_json plan { { "holder", nullptr }, { "copies", ordered_json::array() } };
    if (const auto lease = state.leases.find(plannerDuty); lease != state.leases.end()) {
        plan["holder"] = lease->second.holder;
        plan["fence"] = lease->second.fence;
    }
    for (const auto& [key, copy] : state.plan)
        plan["copies"].push_back(
            { { "model", copy.model }, { "upstream", copy.upstream }, { "pinned", copy.pinned } });
    return plan;
}

void respondJson(http_call& call, std::uint16_t status, const std::string& text)
{
    call.respond(status, { { "Content-Type", "application/json" } }, text);
}

} // namespace

std::string formatAdminStatus(const admin_status& status)
{
    ordered_json value { { "name", status.name }, { "ready", status.ready }, { "draining", status.draining },
        { "fresh", status.stateFreshness.isFresh }, { "fresh_age_ms", status.stateFreshness.age.count() },
        { "log_away", status.stateFreshness.isLogUnreachable },
        { "offset", status.state ? status.state->nextOffset : 0 },
        { "revision", status.state ? status.state->revision : 0 }, { "in_flight", status.inFlight },
        { "overload", overloadToJson(status) }, { "teams", ordered_json::array() },
        { "upstreams", ordered_json::array() }, { "peers", ordered_json::array() } };
    if (status.state) {
        value["planner"] = planToJson(*status.state);
        for (const auto& [name, record] : status.state->teams)
            value["teams"].push_back({ { "name", name }, { "rate_tokens_per_s", record.rateTokensPerSecond },
                { "burst_tokens", record.burstTokens } });
        for (const auto& [name, record] : status.state->upstreams)
            value["upstreams"].push_back(upstreamToJson(status, record));
    }
    for (const auto& [name, up] : status.peerConnections)
        value["peers"].push_back({ { "name", name }, { "link_up", up } });
    return formatJsonText(value);
}

std::string formatDecisions(const std::vector<decision_record>& decisions)
{
    ordered_json list = ordered_json::array();
    for (const auto& record : decisions)
        list.push_back({ { "trace_id", record.traceId }, { "began", formatWallTime(record.began) },
            { "team", record.team }, { "model", record.model }, { "service", record.service },
            { "steps", record.steps }, { "status", record.status }, { "verdict", nameOf(record.runVerdict) },
            { "reason", record.reason }, { "took_ms", record.took.count() } });
    return formatJsonText({ { "decisions", list } });
}

admin_handler::admin_handler(
    std::function<admin_status()> status, const decision_log& decisions, std::function<std::string()> metrics)
    : m_status(std::move(status))
    , m_decisions(decisions)
    , m_metrics(std::move(metrics))
{
}

void admin_handler::handle(http_call& call) const
{
    const std::string path = call.path();
    if (call.method() != "GET")
        return respondJson(call, 405, R"({"detail":"this listener takes GET only"})");
    if (path == "/healthz")
        return call.respond(200, { { "Content-Type", "text/plain" } }, "ok\n");
    if (path == "/readyz") {
        const bool ready = m_status().ready;
        return call.respond(
            ready ? 200 : 503, { { "Content-Type", "text/plain" } }, ready ? "ok\n" : "not ready\n");
    }
    if (path == "/metrics")
        return call.respond(200, { { "Content-Type", metric_registry::contentType } }, m_metrics());
    if (path == "/admin/status")
        return respondJson(call, 200, formatAdminStatus(m_status()));
    const std::string query = call.query();
    if (path == "/admin/explain" && query.starts_with(traceParameter)) {
        const auto found = m_decisions.find(query.substr(traceParameter.size()));
        return respondJson(call, found.empty() ? 404 : 200, formatDecisions(found));
    }
    respondJson(call, 404,
        R"({"detail":"there is /healthz, /readyz, /metrics, /admin/status and /admin/explain?trace=ID"})");
}

} // namespace sagesaddle
