#include "Gateway/platform_checks.h"

#include <csignal>

using namespace sagesaddle;

namespace {

const std::string adapterFields = "Model: m1/a3\r\nToken-Counts: 100,20\r\n";
const std::string modelFields = "Model: m1\r\nToken-Counts: 100,20\r\n";

} // namespace

TEST_CASE("gateway: the whole path serves each kind of request, streams event by event")
{
    platform_fixture fixture;
    startPlatform(fixture, 2);
    for (const auto& gateway : fixture.gateways) {
        for (const char* path : { "/safe/", "/unsafe/" }) {
            const auto& attempt = fixture.send(gateway, path);
            REQUIRE(fixture.waitEnd(attempt));
            CHECK(attempt.caller->status() == 200);
        }
        for (const char* path : { "/stream/", "/resume/" }) {
            const auto& attempt = fixture.send(gateway, path, "key-1", modelFields);
            REQUIRE(fixture.waitEnd(attempt));
            CHECK(attempt.caller->status() == 200);
            CHECK(platform_fixture::isWhole(attempt));
        }
    }
    checkNoViolations(fixture);
}

TEST_CASE("gateway: an adapter that no engine holds is loaded by the coordinator for any gateway's caller")
{
    platform_fixture fixture;
    startPlatform(fixture, 2);
    for (const auto& gateway : fixture.gateways) {
        const auto served = [&] {
            const auto& attempt = fixture.send(gateway, "/resume/", "key-1", adapterFields);
            return fixture.waitEnd(attempt) && attempt.caller->status() == 200;
        };
        CHECK(loopUntil(fixture.loop, served));
    }
    std::set<std::string> holders;
    for (const auto& engine : fixture.engines) {
        for (const auto& [holder, fence] : engine.holders)
            holders.insert(holder);
    }
    CHECK(holders.size() == 1);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: SIGTERM ends readiness at once, lets streams finish and ends the process")
{
    platform_fixture fixture;
    startPlatform(fixture, 1, 60);
    auto& gateway = fixture.gateways.at(0);
    const auto& stream = fixture.send(gateway, "/stream/", "key-1", modelFields);
    REQUIRE(loopUntil(fixture.loop, [&] { return stream.caller->has("event 1 "); }));
    gateway.process->terminate();
    CHECK(loopUntil(fixture.loop, [&] { return fixture.readiness(gateway) == 503; }));
    REQUIRE(fixture.waitEnd(stream));
    CHECK(platform_fixture::isWhole(stream));
    CHECK(loopUntil(fixture.loop, [&] { return !gateway.process->isRunning(); }));
    CHECK(gateway.process->waitFor(milliseconds(0)) == 0);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: after the coordinator is killed another gives orders, later than the lease and with a "
          "higher fence")
{
    platform_fixture fixture;
    startPlatform(fixture, 2);
    const auto holder = [&]() -> platform_fixture::gateway_process* {
        for (auto& gateway : fixture.gateways) {
            if (fixture.outputOf(gateway).find("duty_taken") != std::string::npos)
                return &gateway;
        }
        return nullptr;
    };
    REQUIRE(loopUntil(fixture.loop, [&] { return holder() != nullptr; }));
    auto& first = *holder();
    auto& second = &first == &fixture.gateways.at(0) ? fixture.gateways.at(1) : fixture.gateways.at(0);
    REQUIRE(loopUntil(fixture.loop, [&] { return !fixture.engines.at(0).holders.empty(); }));
    first.process->kill();
    // The model m1 is left on one engine only; the next coordinator has to load its adapter.
    fixture.engines.at(0).held = { "m2", "m3" };
    fixture.publishListing(fixture.engines.at(0));
    CHECK(loopUntil(
        fixture.loop, [&] { return fixture.outputOf(second).find("duty_taken") != std::string::npos; }));
    CHECK(loopUntil(fixture.loop, [&] {
        fixture.send(second, "/resume/", "key-1", adapterFields);
        loopFor(fixture.loop, milliseconds(200));
        for (const auto& engine : fixture.engines) {
            if (!engine.holders.empty() && engine.holders.back().first == second.name)
                return true;
        }
        return false;
    }));
    checkNoViolations(fixture);
}

TEST_CASE("gateway: a withdrawn key stops, and while the store is silent all keys stop within the bound")
{
    platform_fixture fixture;
    startPlatform(fixture, 1);
    auto& gateway = fixture.gateways.at(0);
    fixture.configure({ "key-2" });
    const auto statusWith = [&](const std::string& key) {
        const auto& attempt = fixture.send(gateway, "/safe/", key);
        return fixture.waitEnd(attempt) ? attempt.caller->status() : 0;
    };
    CHECK(loopUntil(fixture.loop, [&] { return statusWith("key-1") == 401; }));
    CHECK(statusWith("key-2") == 200);
    gateway.storeProxy.setMode(fault_proxy::behaviour::Silent);
    const monotonic_time silentAt = monotonicNow();
    CHECK(statusWith("key-2") == 200);
    // Bounds the number of connections that a fast machine opens until the keys stop.
    REQUIRE(loopUntil(fixture.loop, [&] {
        loopFor(fixture.loop, milliseconds(10));
        return statusWith("key-2") == 503;
    }));
    CHECK(monotonicNow() - silentAt <= platform_fixture::revocationBound);
    gateway.storeProxy.setMode(fault_proxy::behaviour::Passing);
    CHECK(loopUntil(fixture.loop, [&] { return statusWith("key-2") == 200; }));
    checkNoViolations(fixture);
}

TEST_CASE(
    "gateway: of configurations in quick succession the newest is soon in force, with all of its routes")
{
    constexpr int versions = 12;
    constexpr int routes = 500;
    platform_fixture fixture;
    startPlatform(fixture, 2);
    for (int version = 2; version <= versions; ++version) {
        fixture.configure({ "new-" + std::to_string(version) }, 1e6, version * routes / versions);
        loopFor(fixture.loop, milliseconds(20));
    }
    const monotonic_time written = monotonicNow();
    const std::string newest = "new-" + std::to_string(versions);
    for (const auto& gateway : fixture.gateways) {
        const auto statusOf = [&](const std::string& path, const std::string& key) {
            const auto& attempt = fixture.send(gateway, path, key);
            return fixture.waitEnd(attempt) ? attempt.caller->status() : 0;
        };
        CHECK(loopUntil(fixture.loop, [&] { return statusOf("/safe/", newest) == 200; }));
        CHECK(monotonicNow() - written <= platform_fixture::revocationBound);
        for (const int route : { 0, routes / 2, routes - 1 })
            CHECK(statusOf("/more/" + std::to_string(route) + "/", newest) == 200);
        for (int version = 2; version < versions; ++version)
            CHECK(statusOf("/safe/", "new-" + std::to_string(version)) == 401);
    }
    checkNoViolations(fixture);
}

TEST_CASE("gateway: a gateway cut off from the store serves while the coordinator confirms the configuration")
{
    platform_fixture fixture;
    startPlatform(fixture, 2);
    auto& coordinating = fixture.outputOf(fixture.gateways.at(0)).find("duty_taken") != std::string::npos
        ? fixture.gateways.at(0)
        : fixture.gateways.at(1);
    auto& cut = &coordinating == &fixture.gateways.at(0) ? fixture.gateways.at(1) : fixture.gateways.at(0);
    loopFor(fixture.loop, milliseconds(500));
    cut.storeProxy.setMode(fault_proxy::behaviour::Silent);
    loopFor(fixture.loop, platform_fixture::revocationBound + milliseconds(500));
    const auto& served = fixture.send(cut, "/safe/");
    REQUIRE(fixture.waitEnd(served));
    CHECK(served.caller->status() == 200);
    // The cut-off gateway cannot read a newer configuration, so what it knows is not confirmed any more.
    fixture.configure({ "key-2" });
    loopFor(fixture.loop, platform_fixture::revocationBound);
    const auto& refused = fixture.send(cut, "/safe/", "key-1");
    REQUIRE(fixture.waitEnd(refused));
    CHECK(refused.caller->status() == 503);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: a hot team keeps to its limit over all gateways, whichever it reaches")
{
    platform_fixture fixture;
    startPlatform(fixture, 2);
    constexpr double rate = 400;
    fixture.configure({ "key-1" }, rate);
    loopFor(fixture.loop, milliseconds(500));
    const monotonic_time begin = monotonicNow();
    int refused = 0;
    // Ten tokens for each request, three times the rate in all.
    for (int round = 0; round < 40; ++round) {
        for (int call = 0; call < 6; ++call)
            fixture.send(fixture.gateways.at(static_cast<std::size_t>(call % 2)), "/safe/");
        loopFor(fixture.loop, milliseconds(50));
    }
    for (const auto& attempt : fixture.attempts) {
        if (attempt.path != "/safe/")
            continue;
        REQUIRE(fixture.waitEnd(attempt));
        refused += attempt.caller->status() == 429 ? 1 : 0;
    }
    const double elapsed = secondsBetween(begin, monotonicNow());
    double tokens = 0;
    for (const auto& [at, team, amount] : fixture.engines.at(2).spent)
        tokens += at >= begin ? amount : 0;
    CHECK(tokens <= (rate * elapsed + rate) * 1.1);
    CHECK(refused > 0);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: bad settings at SIGHUP are logged, and the process keeps its settings")
{
    platform_fixture fixture;
    startPlatform(fixture, 1);
    auto& gateway = fixture.gateways.at(0);
    testing::writeFile(gateway.settings, "[process]\nname = 7\n");
    ::kill(gateway.process->pid(), SIGHUP);
    CHECK(loopUntil(
        fixture.loop, [&] { return fixture.outputOf(gateway).find("reload_failed") != std::string::npos; }));
    const auto& attempt = fixture.send(gateway, "/safe/");
    REQUIRE(fixture.waitEnd(attempt));
    CHECK(attempt.caller->status() == 200);
}

TEST_CASE("gateway: changed settings are applied without a signal, and a half-written file is not")
{
    platform_fixture fixture;
    startPlatform(fixture, 1, 60);
    auto& gateway = fixture.gateways.at(0);
    const auto waitOutput = [&](const std::string& text) {
        return loopUntil(
            fixture.loop, [&] { return fixture.outputOf(gateway).find(text) != std::string::npos; });
    };
    std::string text = testing::readFile(gateway.settings);
    testing::writeFile(gateway.settings, text.substr(0, text.size() / 2));
    CHECK(waitOutput("reload_failed"));
    constexpr const char* grace = "grace_s = ";
    const std::size_t at = text.find(grace);
    REQUIRE(at != std::string::npos);
    text.replace(at, text.find('\n', at) - at, std::string(grace) + "0.6");
    const std::string zone = "zone = \"";
    text.insert(text.find(zone) + zone.size(), "other-");
    testing::writeFile(gateway.settings, text);
    CHECK(waitOutput("\"kept_until_restart\":\"process.zone\""));
    // The stream lasts longer than the new shutdown grace, and would end within the previous one.
    const auto& stream = fixture.send(gateway, "/stream/", "key-1", modelFields);
    REQUIRE(loopUntil(fixture.loop, [&] { return stream.caller->has("event 1 "); }));
    const monotonic_time terminatedAt = monotonicNow();
    gateway.process->terminate();
    CHECK(loopUntil(fixture.loop, [&] { return !gateway.process->isRunning(); }));
    CHECK(monotonicNow() - terminatedAt < platform_fixture::grace / 2);
    CHECK_FALSE(platform_fixture::isWhole(stream));
}

TEST_CASE("gateway: unreadable records of the store are skipped and logged, and the others stay in force")
{
    platform_fixture fixture;
    startPlatform(fixture, 1);
    auto& gateway = fixture.gateways.at(0);
    fixture.store.put("keyed.servers", "odd", "{nonsense");
    fixture.store.put("keyed.op", "config", R"({"version":"x"})");
    CHECK(loopUntil(fixture.loop, [&] {
        const std::string output = fixture.outputOf(gateway);
        return output.find("upstream_unreadable") != std::string::npos
            && output.find("config_unreadable") != std::string::npos;
    }));
    const auto& attempt = fixture.send(gateway, "/safe/");
    REQUIRE(fixture.waitEnd(attempt));
    CHECK(attempt.caller->status() == 200);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: history that the store drops loses neither configuration nor upstreams")
{
    platform_fixture fixture;
    startPlatform(fixture, 2);
    fixture.store.compact();
    fixture.configure({ "key-2" });
    fixture.store.compact();
    for (const auto& gateway : fixture.gateways) {
        CHECK(loopUntil(fixture.loop, [&] {
            const auto& attempt = fixture.send(gateway, "/safe/", "key-2");
            return fixture.waitEnd(attempt) && attempt.caller->status() == 200;
        }));
    }
    checkNoViolations(fixture);
}

TEST_CASE("gateway: odd entries among those of the upstreams stop neither the process nor the list")
{
    platform_fixture fixture;
    const std::string deep(100000, '[');
    const auto addOdd = [&](const std::string& suffix) {
        fixture.store.put("keyed.servers", "odd1" + suffix, deep);
        fixture.store.put(
            "keyed.servers", "odd2" + suffix, R"({"extra":)" + deep + std::string(deep.size(), ']') + "}");
        fixture.store.put("keyed.servers", "odd3" + suffix,
            R"({"service":"desk","address":"127.0.0.1:70000","zone":"z","slots":8,"state":"ready","born":1})");
        fixture.store.put("keyed.servers", "odd4" + suffix,
            R"({"service":"desk","address":"127.0.0.1:9","zone":"z","slots":1e300,"state":"ready","born":1e300})");
        fixture.store.put("keyed.servers", "odd5\r\n" + suffix, "\xff\xfe");
        fixture.store.put("keyed.servers", "odd6" + suffix, R"({"service":7,"state":"\ud800"})");
    };
    addOdd("");
    startPlatform(fixture, 2);
    addOdd("x");
    auto& late = fixture.addEngine({ "l2", "ledger" });
    REQUIRE(loopUntil(fixture.loop, [&] {
        fixture.waitEnd(fixture.send(fixture.gateways.front(), "/safe/"));
        fixture.waitEnd(fixture.send(fixture.gateways.back(), "/safe/"));
        return !late.arrivals.empty();
    }));
    for (const auto& gateway : fixture.gateways)
        CHECK(gateway.process->isRunning());
    CHECK(fixture.attempts.back().caller->status() == 200);
    checkNoViolations(fixture);
}
