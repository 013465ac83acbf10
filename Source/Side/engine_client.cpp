#include "Side/engine_client.h"

#include "Base/http_status.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagesaddle {

namespace {

using nlohmann::json;

constexpr milliseconds controlTimeout { 1000 };

resident_state parseState(const std::string& text)
{
    if (text == "loading")
        return resident_state::Loading;
    if (text == "loaded")
        return resident_state::Loaded;
    if (text == "unloading")
        return resident_state::Unloading;
    throw std::invalid_argument("the engine's report contains a model in the unknown state \"" + text + "\"");
}

json makeOrderDocument(const engine_order& order)
{
    return { { "order_id", order.id }, { "fence", order.fence },
        { "action", order.action == order_action::Load ? "load" : "unload" }, { "model", order.model },
        { "memory_mb", order.memoryMb } };
}

} // namespace

engine_report parseEngineReport(const std::string& text)
{
    const json document = json::parse(text);
    engine_report report;
    report.sequence = document.at("sequence").get<std::uint64_t>();
    report.age = milliseconds(document.at("age_ms").get<std::uint32_t>());
    report.totalMb = document.at("memory_total_mb").get<std::uint64_t>();
    report.usedMb = document.at("memory_used_mb").get<std::uint64_t>();
    for (const json& model : document.at("models")) {
        report.models[model.at("name").get<std::string>()] = { model.at("memory_mb").get<std::uint64_t>(),
            parseState(model.at("state").get<std::string>()) };
    }
    for (const json& order : document.at("recent_orders")) {
        report.orders[order.at("order_id").get<std::string>()]
            = order.at("outcome") == "running" ? order_outcome::Running : order_outcome::Settled;
    }
    return report;
}

http_response engine_client::get(const std::string& target)
{
    http_request request;
    request.server = m_target;
    request.target = target;
    request.timeout = controlTimeout;
    http_response response = m_client.send(request);
    if (response.status != statusOk)
        throw std::runtime_error("the engine answered with status " + std::to_string(response.status)
            + " instead of 200 to GET " + target);
    return response;
}

engine_report engine_client::fetchReport()
{
    return parseEngineReport(get("/control/report").body);
}

cache_events engine_client::fetchCacheEvents(std::uint64_t from)
{
    const json document = json::parse(get("/control/cache-events?from=" + std::to_string(from)).body);
    cache_events events;
    events.nextSequence = document.at("next").get<std::uint64_t>();
    for (const json& event : document.at("events")) {
        const auto prefix = event.at("prefix").get<std::uint64_t>();
        (event.at("kind") == "added" ? events.added : events.evicted).push_back(prefix);
    }
    return events;
}

order_answer engine_client::sendOrder(const engine_order& order, const std::function<bool()>& mayStillSend)
{
    http_request request;
    request.method = "POST";
    request.server = m_target;
    request.target = "/control/orders";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = makeOrderDocument(order).dump();
    request.timeout = controlTimeout;
    request.mayStillSend = mayStillSend;
    try {
        const http_response response = m_client.send(request);
        if (response.status == statusAccepted)
            return { order_reply::Accepted, json::parse(response.body).at("sequence").get<std::uint64_t>() };
        if (response.status == statusConflict)
            return { order_reply::Fenced, 0 };
        if (response.status == statusInsufficientStorage)
            return { order_reply::NoMemory, 0 };
    } catch (const std::exception&) {
        // The engine may have accepted the order although no valid answer arrived.
    }
    return { order_reply::Lost, 0 };
}

} // namespace sagesaddle
