#include "Gateway/platform_fixture.h"

#include "Support/free_port.h"

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

nlohmann::json routeOf(const std::string& prefix, const std::string& type, const std::string& service,
    bool isResumable, milliseconds objective)
{
    return { { "name", prefix }, { "hostname", "h" }, { "path-prefix", prefix }, { "route-type", type },
        { "timeout-ms", 8000 }, { "target-latency-ms", objective.count() }, { "priority", 1 },
        { "service", service }, { "max-attempts", isResumable || type == "safe" ? 2 : 1 },
        { "resumable", isResumable } };
}

} // namespace

platform_fixture::gateway_process::gateway_process(event_loop& loop, const address& store)
    : callers(testing::freeAddress())
    , readiness(testing::freeAddress())
    , peers(testing::freeAddress())
    , storeProxy(loop, store)
{
}

platform_fixture::platform_fixture(unsigned seed)
    : store(loop, seed)
{
    // As in the programs: a write to a closed connection fails with an error instead of a signal.
    std::signal(SIGPIPE, SIG_IGN);
}

platform_fixture::~platform_fixture() = default;

platform_fixture::gateway_process& platform_fixture::addGateway()
{
    gateways.emplace_back(loop, store.where());
    auto& added = gateways.back();
    added.name = "g" + std::to_string(gateways.size());
    added.settings = m_folder.path() / (added.name + ".toml");
    added.output = m_folder.path() / (added.name + ".log");
    testing::writeFile(added.settings,
        "[process]\nname = \"" + added.name + "\"\nzone = \"z\"\n[listen]\ncallers = \""
            + formatAddress(added.callers) + "\"\nreadiness = \"" + formatAddress(added.readiness)
            + "\"\npeers = \"" + formatAddress(added.peers) + "\"\n[store]\naddress = \""
            + formatAddress(added.storeProxy.where())
            + "\"\n[bounds]\ngrace_s = " + std::to_string(static_cast<double>(grace.count()) / 1000)
            + "\nrevoke_ms = " + std::to_string(revocation.count())
            + "\nlease_ms = " + std::to_string(handoverPause.count()) + "\n" + moreSettings);
    start(added);
    return added;
}

void platform_fixture::start(gateway_process& target)
{
    target.process = std::make_unique<testing::child_process>(
        std::vector<std::string> {
            SAGESADDLE_BIN "/sagesaddle-gateway", "--config=" + target.settings.string() },
        target.output);
}

engine_stand_in& platform_fixture::addEngine(engine_stand_in::settings value, std::set<std::string> held)
{
    value.handoverPause = handoverPause;
    value.events = streamEvents;
    engines.emplace_back(loop, std::move(value), violations);
    engines.back().held = std::move(held);
    publishListing(engines.back());
    return engines.back();
}

void platform_fixture::publishListing(const engine_stand_in& engine)
{
    store.put("keyed.servers", engine.id(), engine.listing());
}

void platform_fixture::configure(const std::vector<std::string>& keysOfAtelier, double rate, int moreRoutes)
{
    nlohmann::json models = nlohmann::json::array();
    for (const char* name : { "m1", "m2", "m3" })
        models.push_back({ { "name", name }, { "weights-mb", 100 }, { "load-time-s", 0.3 }, { "adapters", 3 },
            { "adapter-mb", 1 } });
    const nlohmann::json engine { { "slots", 8 }, { "kv-capacity", 100000 }, { "weights-mb", 206 },
        { "adapter-slots", 2 }, { "loads-per-s", 5 }, { "models", models } };
    nlohmann::json routes { routeOf("/safe/", "safe", "ledger", false, objective),
        routeOf("/unsafe/", "unsafe", "ledger", false, objective),
        routeOf("/stream/", "streaming", "desk", false, objective),
        routeOf("/resume/", "streaming", "desk", true, objective) };
    for (int index = 0; index < moreRoutes; ++index)
        routes.push_back(routeOf("/more/" + std::to_string(index) + "/", "safe", "ledger", false, objective));
    nlohmann::json config { { "version", m_version += 3 }, { "routes", routes },
        { "services",
            { { { "name", "desk" }, { "engine", engine } },
                { { "name", "ledger" }, { "cold-per-s", coldPerSecond }, { "cold-start-s", 3 } } } },
        { "tenants",
            { { { "name", "atelier" }, { "api-keys", keysOfAtelier }, { "unit", "tokens" },
                  { "plain-tokens", 10 }, { "rate-per-s", rate }, { "burst", rate } },
                { { "name", "dealers" }, { "api-keys", { "key-9" } } } } } };
    if (maxBodyBytes > 0)
        config["limits"] = { { "max-body-bytes", maxBodyBytes } };
    store.put("keyed.op", "config", config.dump());
}

platform_fixture::attempt& platform_fixture::send(
    const gateway_process& to, const std::string& path, const std::string& key, const std::string& fields)
{
    attempts.emplace_back();
    auto& added = attempts.back();
    added.id = "r" + std::to_string(++m_nextId);
    added.path = path;
    added.key = key;
    added.sentAt = monotonicNow();
    added.caller = std::make_unique<scripted_caller>(loop, to.callers.port);
    added.caller->send("POST " + path + added.id + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + added.id
        + "\r\nKey: " + key + "\r\nConnection: close\r\nDeadline-Ms: 6000\r\n" + fields
        + "Content-Length: 4\r\n\r\nbody");
    return added;
}

int platform_fixture::readiness(const gateway_process& target)
{
    scripted_caller caller(loop, target.readiness.port);
    caller.send("GET /sagesaddle/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    loopUntil(loop, [&] { return caller.status() != 0 || caller.isClosed(); });
    return caller.status();
}

bool platform_fixture::waitReady(const gateway_process& target)
{
    return loopUntil(loop, [&] { return readiness(target) == 200; });
}

bool platform_fixture::isWhole(const attempt& checked)
{
    const std::string& text = checked.caller->text();
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    const std::size_t length = text.find("Content-Length: ");
    if (length != std::string::npos && length < head)
        return text.size() - head - 4 >= std::stoul(text.substr(length + 16));
    return text.ends_with(lastChunk);
}

bool platform_fixture::waitEnd(const attempt& checked)
{
    const bool hasEnded = loopUntil(loop, [&] { return isWhole(checked) || checked.caller->isClosed(); });
    // A test that repeats a request until its answer changes would use up the descriptors on a fast machine.
    if (hasEnded)
        checked.caller->leave();
    return hasEnded;
}

int platform_fixture::runsOf(const std::string& id) const
{
    int runs = 0;
    for (const auto& engine : engines) {
        const auto found = engine.runs.find(id);
        runs += found == engine.runs.end() ? 0 : found->second;
    }
    return runs;
}

void platform_fixture::audit(const attempt& checked)
{
    const int status = checked.caller->status();
    const int runs = runsOf(checked.id);
    const bool isOnce = checked.path == "/unsafe/" || checked.path == "/stream/";
    if (isOnce && runs > 1)
        violations.push_back(checked.id + " of " + checked.path + " ran " + std::to_string(runs) + " times");
    if (checked.caller->has("\"not_run\"") && runs > 0)
        violations.push_back(checked.id + " was answered not_run, but ran");
    if (status != 200 || !isWhole(checked))
        return;
    if (checked.path != "/stream/" && checked.path != "/resume/") {
        if (!checked.caller->has("answer to " + checked.id))
            violations.push_back(checked.id + " got the answer to another request");
        return;
    }
    std::size_t at = 0;
    for (int event = 1; event <= streamEvents; ++event) {
        at = checked.caller->text().find(eventData(checked.id, event), at);
        if (at == std::string::npos) {
            violations.push_back(checked.id + " lacks event " + std::to_string(event)
                + " in order, though the stream looks complete");
            return;
        }
    }
    if (checked.caller->text().find(eventData(checked.id, 1), at) != std::string::npos)
        violations.push_back(checked.id + " got an event twice");
}

std::string platform_fixture::outputOf(const gateway_process& target) const
{
    return testing::readFile(target.output);
}

} // namespace sagesaddle
