#include "Gateway/engine_stand_in.h"

#include <algorithm>

namespace sagesaddle {

namespace {

constexpr milliseconds enginePollInterval { 5 };

bool isAdapter(const std::string& name)
{
    return name.find('/') != std::string::npos;
}

} // namespace

std::string eventData(const std::string& requestId, int event)
{
    return "event " + std::to_string(event) + " of " + requestId;
}

engine_stand_in::engine_stand_in(event_loop& loop, settings value, violation_list& violations)
    : coldUntil(monotonicNow() + value.coldTime)
    , server(loop, value.id)
    , m_settings(std::move(value))
    , m_violations(violations)
    , m_timer(loop, [this] { poll(); })
{
    server.onRequest = [this](const scripted_upstream::request& call) { onCall(call); };
    m_timer.start(enginePollInterval);
}

std::size_t engine_stand_in::adapters() const
{
    return static_cast<std::size_t>(std::count_if(held.begin(), held.end(), isAdapter));
}

std::string engine_stand_in::listing() const
{
    nlohmann::json models = nlohmann::json::array();
    for (const auto& name : held) {
        if (!isAdapter(name))
            models.push_back({ { "name", name }, { "version", 1 }, { "adapters", nlohmann::json::array() } });
        else if (!models.empty())
            models.back()["adapters"].push_back(name.substr(name.find('/') + 1));
    }
    return nlohmann::json {
        { "service", m_settings.service }, { "address", formatAddress(server.entry().endpoint) },
        { "zone", m_settings.zone }, { "slots", 8 }, { "state", isDraining ? "draining" : "ready" },
        { "models", models }, { "sequence", orders }, { "born", m_startedAt },
        { "cold-remaining-ms",
            std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(coldUntil - monotonicNow()))
                .count() }
    }.dump();
}

void engine_stand_in::reply(
    tcp_stream* stream, int status, const std::string& body, const std::function<std::string()>& statusText)
{
    writeAnswer(stream,
        "HTTP/1.1 " + (statusText ? statusText() : std::to_string(status))
            + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void engine_stand_in::writeAnswer(tcp_stream* stream, std::string text) const
{
    if (requestLimit)
        text.insert(text.find("\r\n") + 2, "Server-Limit: " + std::to_string(*requestLimit) + "\r\n");
    stream->write(text);
}

void engine_stand_in::onCall(const scripted_upstream::request& call)
{
    const std::string& target = call.head.target;
    allCalls.push_back(monotonicNow());
    if (target.find("/report") != std::string::npos) {
        auto body = nlohmann::json::parse(listing());
        body["busy"] = m_loading.has_value();
        reply(call.stream, 200, body.dump(), reportStatus);
        return;
    }
    if (call.head.find("Key") != nullptr)
        m_violations.push_back(m_settings.id + " saw a key");
    arrivals.emplace_back(monotonicNow(), call.get("Request-Id"));
    if (call.get("Expect-Instance") != m_settings.id) {
        decline(call, 421);
        return;
    }
    if (target.find("/order") != std::string::npos)
        onOrder(call);
    else if (call.head.find("Model") != nullptr && !held.contains(call.get("Model")))
        decline(call, 421);
    else
        run(call);
}

bool engine_stand_in::isCrashing(const http_head& head) const
{
    const std::string* value = head.find("Prompt-Prefix");
    if (value == nullptr)
        return false;
    if (crashingPrompts.contains(*value))
        return true;
    std::string rest = *value;
    // The last part is the request's own.
    for (std::size_t comma = rest.find(','); comma != std::string::npos; comma = rest.find(',')) {
        if (crashingParts.contains(rest.substr(0, std::min(comma, rest.find(':')))))
            return true;
        rest.erase(0, comma + 1);
    }
    return false;
}

void engine_stand_in::crash()
{
    crashes.push_back(monotonicNow());
    m_restartAt = crashes.back() + restartTime;
    m_isCrashDue = false;
    m_loading.reset();
    m_streams.clear();
    server.stopListening();
}

void engine_stand_in::decline(const scripted_upstream::request& call, int status)
{
    writeAnswer(call.stream,
        "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + call.get("Request-Id")
            + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

void engine_stand_in::onOrder(const scripted_upstream::request& call)
{
    const monotonic_time now = monotonicNow();
    const auto body = nlohmann::json::parse(call.body);
    const std::string holder = body.at("holder");
    const std::uint64_t fence = body.at("fencing-token");
    if (!holders.empty() && holders.back().first != holder) {
        if (now - m_lastOrderAt < m_settings.handoverPause)
            m_violations.push_back(
                m_settings.id + " received orders of two holders within the handover pause");
    }
    if (!holders.empty()
        && (fence < holders.back().second
            || (fence == holders.back().second && holders.back().first != holder)))
        m_violations.push_back(m_settings.id + " received fence " + std::to_string(fence) + " from " + holder
            + " after " + std::to_string(holders.back().second));
    holders.emplace_back(holder, fence);
    m_lastOrderAt = now;
    if (m_loading || body.value("expected", orders) != orders) {
        reply(call.stream, 409, "", orderStatus);
        return;
    }
    ++orders;
    const std::string model = body.at("model");
    const std::string adapter = body.value("adapter", "");
    const std::string name = adapter.empty() ? model : model + "/" + adapter;
    if (body.at("operation") == "unload") {
        std::erase_if(
            held, [&](const std::string& item) { return item == name || item.starts_with(name + "/"); });
        reply(call.stream, adapter.empty() ? 202 : 200, "", orderStatus);
        return;
    }
    const std::size_t models = held.size() - adapters();
    if ((adapter.empty() ? models : adapters())
        >= (adapter.empty() ? m_settings.modelPlaces : m_settings.adapterPlaces))
        m_violations.push_back(m_settings.id + " was ordered to load more than it holds: " + name);
    if (adapter.empty())
        m_loading = { now + m_settings.modelLoad, name };
    else
        held.insert(name);
    reply(call.stream, 202, "", orderStatus);
}

void engine_stand_in::run(const scripted_upstream::request& call)
{
    const std::string id = call.get("Request-Id");
    const bool isResumed = call.head.find("Last-Event-Id") != nullptr;
    ++runs[id];
    if (runs[id] > 1 && call.head.target.starts_with("/unsafe/"))
        m_violations.push_back(id + " ran twice at " + m_settings.id);
    const std::string team = call.get("Tenant");
    if (teamOf && team != teamOf(id))
        m_violations.push_back(id + " ran for team '" + team + "'");
    const std::string counts = call.get("Token-Counts");
    const double tokens
        = counts.empty() ? 10 : std::stod(counts) + std::stod(counts.substr(counts.find(',') + 1));
    spent.emplace_back(monotonicNow(), team, tokens);
    if (isCrashing(call.head)) {
        crashingArrivals.push_back(monotonicNow());
        // Not here, since the caller of this function uses the connection.
        m_isCrashDue = true;
        return;
    }
    if (cutAnswers > 0) {
        --cutAnswers;
        server.cut(call.stream);
        return;
    }
    if (!call.head.target.starts_with("/stream/") && !call.head.target.starts_with("/resume/")) {
        writeAnswer(call.stream, scripted_upstream::answer(call, 200, "answer to " + id));
        return;
    }
    writeAnswer(call.stream, scripted_upstream::streamHead(call));
    m_streams.push_back(
        { call.stream, id, isResumed ? std::stoi(call.get("Last-Event-Id")) + 1 : 1, monotonicNow() });
}

void engine_stand_in::poll()
{
    m_timer.start(enginePollInterval);
    const monotonic_time now = monotonicNow();
    if (m_isCrashDue)
        crash();
    if (m_restartAt && now >= *m_restartAt) {
        m_restartAt.reset();
        ++m_startedAt;
        server.listen();
        if (onRestarted)
            onRestarted();
    }
    if (m_loading && now >= m_loading->first)
        held.insert(std::exchange(m_loading, std::nullopt)->second);
    std::erase_if(m_streams, [&](stream_run& run) {
        if (!server.isOpen(run.stream))
            return true;
        if (now < run.at)
            return false;
        if (run.next > m_settings.events) {
            run.stream->write(std::string(lastChunk));
            return true;
        }
        run.stream->write(scripted_upstream::event(run.next, eventData(run.id, run.next)));
        ++run.next;
        run.at = now + m_settings.eventPause;
        return false;
    });
}

} // namespace sagesaddle
