#include "Gateway/platform_fixture.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

const std::string adapterFields = "Model: m1/a3\r\nToken-Counts: 100,20\r\n";
const std::string modelFields = "Model: m1\r\nToken-Counts: 100,20\r\n";

/// Two engines and a plain service, with gateways that are ready.
void ready(platform_fixture& world, int gateways, int events = 5)
{
    world.streamEvents = events;
    world.configure({ "key-1" });
    world.addEngine({ "e1" }, { "m1", "m2" });
    world.addEngine({ "e2" }, { "m1", "m3" });
    world.addEngine({ "l1", "ledger" });
    for (int gateway = 0; gateway < gateways; ++gateway)
        world.addGateway();
    for (const auto& gateway : world.gateways)
        REQUIRE(world.waitReady(gateway));
}

void checkNoViolations(platform_fixture& world)
{
    for (const auto& attempt : world.attempts)
        world.audit(attempt);
    for (const auto& text : world.violations)
        FAIL_CHECK(text);
}

} // namespace

TEST_CASE("gateway: the whole path serves each kind of request, streams event by event")
{
    platform_fixture world;
    ready(world, 2);
    for (const auto& gateway : world.gateways) {
        for (const char* path : { "/safe/", "/unsafe/" }) {
            const auto& attempt = world.send(gateway, path);
            REQUIRE(world.waitEnd(attempt));
            CHECK(attempt.caller->status() == 200);
        }
        for (const char* path : { "/stream/", "/resume/" }) {
            const auto& attempt = world.send(gateway, path, "key-1", modelFields);
            REQUIRE(world.waitEnd(attempt));
            CHECK(attempt.caller->status() == 200);
            CHECK(platform_fixture::isWhole(attempt));
        }
    }
    checkNoViolations(world);
}

TEST_CASE("gateway: an adapter that no engine holds is loaded by the coordinator for any gateway's caller")
{
    platform_fixture world;
    ready(world, 2);
    for (const auto& gateway : world.gateways) {
        const auto served = [&] {
            const auto& attempt = world.send(gateway, "/resume/", "key-1", adapterFields);
            return world.waitEnd(attempt) && attempt.caller->status() == 200;
        };
        CHECK(loopUntil(world.loop, served));
    }
    std::set<std::string> holders;
    for (const auto& engine : world.engines) {
        for (const auto& [holder, fence] : engine.holders)
            holders.insert(holder);
    }
    CHECK(holders.size() == 1);
    checkNoViolations(world);
}

TEST_CASE("gateway: SIGTERM ends readiness at once, lets streams finish and ends the process")
{
    platform_fixture world;
    ready(world, 1, 60);
    auto& gateway = world.gateways.at(0);
    const auto& stream = world.send(gateway, "/stream/", "key-1", modelFields);
    REQUIRE(loopUntil(world.loop, [&] { return stream.caller->has("event 1 "); }));
    gateway.process->terminate();
    CHECK(loopUntil(world.loop, [&] { return world.readiness(gateway) == 503; }));
    REQUIRE(world.waitEnd(stream));
    CHECK(platform_fixture::isWhole(stream));
    CHECK(loopUntil(world.loop, [&] { return !gateway.process->isRunning(); }));
    CHECK(gateway.process->waitFor(milliseconds(0)) == 0);
    checkNoViolations(world);
}

TEST_CASE("gateway: after the coordinator is killed another gives orders, later than the lease and with a "
          "higher fence")
{
    platform_fixture world;
    ready(world, 2);
    const auto holder = [&]() -> platform_fixture::gateway_process* {
        for (auto& gateway : world.gateways) {
            if (world.outputOf(gateway).find("duty_taken") != std::string::npos)
                return &gateway;
        }
        return nullptr;
    };
    REQUIRE(loopUntil(world.loop, [&] { return holder() != nullptr; }));
    auto& first = *holder();
    auto& second = &first == &world.gateways.at(0) ? world.gateways.at(1) : world.gateways.at(0);
    REQUIRE(loopUntil(world.loop, [&] { return !world.engines.at(0).holders.empty(); }));
    first.process->kill();
    // Adapters of a model that comes anew have to be loaded by the next one.
    world.engines.at(0).held = { "m2", "m3" };
    world.list(world.engines.at(0));
    CHECK(loopUntil(
        world.loop, [&] { return world.outputOf(second).find("duty_taken") != std::string::npos; }));
    CHECK(loopUntil(world.loop, [&] {
        world.send(second, "/resume/", "key-1", adapterFields);
        loopFor(world.loop, milliseconds(200));
        for (const auto& engine : world.engines) {
            if (!engine.holders.empty() && engine.holders.back().first == second.name)
                return true;
        }
        return false;
    }));
    checkNoViolations(world);
}

TEST_CASE("gateway: a withdrawn key stops, and while the store is silent all keys stop within the bound")
{
    platform_fixture world;
    ready(world, 1);
    auto& gateway = world.gateways.at(0);
    world.configure({ "key-2" });
    const auto statusWith = [&](const std::string& key) {
        const auto& attempt = world.send(gateway, "/safe/", key);
        return world.waitEnd(attempt) ? attempt.caller->status() : 0;
    };
    CHECK(loopUntil(world.loop, [&] { return statusWith("key-1") == 401; }));
    CHECK(statusWith("key-2") == 200);
    gateway.storeLink.setMode(fault_proxy::behaviour::Silent);
    const monotonic_time silentAt = monotonicNow();
    CHECK(statusWith("key-2") == 200);
    REQUIRE(loopUntil(world.loop, [&] { return statusWith("key-2") == 503; }));
    CHECK(monotonicNow() - silentAt <= platform_fixture::revoke);
    gateway.storeLink.setMode(fault_proxy::behaviour::Passing);
    CHECK(loopUntil(world.loop, [&] { return statusWith("key-2") == 200; }));
    checkNoViolations(world);
}

TEST_CASE(
    "gateway: of configurations in quick succession the newest is soon in force, with all of its routes")
{
    constexpr int versions = 12;
    constexpr int routes = 500;
    platform_fixture world;
    ready(world, 2);
    for (int version = 2; version <= versions; ++version) {
        world.configure({ "new-" + std::to_string(version) }, 1e6, version * routes / versions);
        loopFor(world.loop, milliseconds(20));
    }
    const monotonic_time written = monotonicNow();
    const std::string newest = "new-" + std::to_string(versions);
    for (const auto& gateway : world.gateways) {
        const auto statusOf = [&](const std::string& path, const std::string& key) {
            const auto& attempt = world.send(gateway, path, key);
            return world.waitEnd(attempt) ? attempt.caller->status() : 0;
        };
        CHECK(loopUntil(world.loop, [&] { return statusOf("/safe/", newest) == 200; }));
        CHECK(monotonicNow() - written <= platform_fixture::revoke);
        for (const int route : { 0, routes / 2, routes - 1 })
            CHECK(statusOf("/more/" + std::to_string(route) + "/", newest) == 200);
        for (int version = 2; version < versions; ++version)
            CHECK(statusOf("/safe/", "new-" + std::to_string(version)) == 401);
    }
    checkNoViolations(world);
}

TEST_CASE("gateway: a gateway whose own way to the store is cut serves on the coordinator's evidence")
{
    platform_fixture world;
    ready(world, 2);
    auto& coordinating = world.outputOf(world.gateways.at(0)).find("duty_taken") != std::string::npos
        ? world.gateways.at(0)
        : world.gateways.at(1);
    auto& cut = &coordinating == &world.gateways.at(0) ? world.gateways.at(1) : world.gateways.at(0);
    loopFor(world.loop, milliseconds(500));
    cut.storeLink.setMode(fault_proxy::behaviour::Silent);
    loopFor(world.loop, platform_fixture::revoke + milliseconds(500));
    const auto& served = world.send(cut, "/safe/");
    REQUIRE(world.waitEnd(served));
    CHECK(served.caller->status() == 200);
    // A newer configuration cannot be read there, so its evidence ends.
    world.configure({ "key-2" });
    loopFor(world.loop, platform_fixture::revoke);
    const auto& refused = world.send(cut, "/safe/", "key-1");
    REQUIRE(world.waitEnd(refused));
    CHECK(refused.caller->status() == 503);
    checkNoViolations(world);
}

TEST_CASE("gateway: a hot team keeps to its limit over all gateways, whichever it reaches")
{
    platform_fixture world;
    ready(world, 2);
    constexpr double rate = 400;
    world.configure({ "key-1" }, rate);
    loopFor(world.loop, milliseconds(500));
    const monotonic_time begin = monotonicNow();
    int refused = 0;
    // Ten tokens each, three times the rate.
    for (int round = 0; round < 40; ++round) {
        for (int call = 0; call < 6; ++call)
            world.send(world.gateways.at(static_cast<std::size_t>(call % 2)), "/safe/");
        loopFor(world.loop, milliseconds(50));
    }
    for (const auto& attempt : world.attempts) {
        if (attempt.path != "/safe/")
            continue;
        REQUIRE(world.waitEnd(attempt));
        refused += attempt.caller->status() == 429 ? 1 : 0;
    }
    const double elapsed = secondsBetween(begin, monotonicNow());
    double tokens = 0;
    for (const auto& [at, team, amount] : world.engines.at(2).spent)
        tokens += at >= begin ? amount : 0;
    CHECK(tokens <= (rate * elapsed + rate) * 1.1);
    CHECK(refused > 0);
    checkNoViolations(world);
}

TEST_CASE("gateway: bad settings at SIGHUP leave the process as it is and are told")
{
    platform_fixture world;
    ready(world, 1);
    auto& gateway = world.gateways.at(0);
    testing::writeFile(gateway.settings, "[process]\nname = 7\n");
    ::kill(gateway.process->pid(), SIGHUP);
    CHECK(loopUntil(
        world.loop, [&] { return world.outputOf(gateway).find("reload_failed") != std::string::npos; }));
    const auto& attempt = world.send(gateway, "/safe/");
    REQUIRE(world.waitEnd(attempt));
    CHECK(attempt.caller->status() == 200);
}

TEST_CASE("gateway: settings that change without a signal are taken over, and a half-written file is not")
{
    platform_fixture world;
    ready(world, 1, 60);
    auto& gateway = world.gateways.at(0);
    const auto outputHas = [&](const std::string& text) {
        return loopUntil(world.loop, [&] { return world.outputOf(gateway).find(text) != std::string::npos; });
    };
    std::string text = testing::readFile(gateway.settings);
    testing::writeFile(gateway.settings, text.substr(0, text.size() / 2));
    CHECK(outputHas("reload_failed"));
    constexpr const char* grace = "grace_s = ";
    const std::size_t at = text.find(grace);
    REQUIRE(at != std::string::npos);
    text.replace(at, text.find('\n', at) - at, std::string(grace) + "0.6");
    const std::string zone = "zone = \"";
    text.insert(text.find(zone) + zone.size(), "other-");
    testing::writeFile(gateway.settings, text);
    CHECK(outputHas("\"kept_until_restart\":\"process.zone\""));
    // The stream lasts longer than what the process has left to end now, and ends within what it had before.
    const auto& stream = world.send(gateway, "/stream/", "key-1", modelFields);
    REQUIRE(loopUntil(world.loop, [&] { return stream.caller->has("event 1 "); }));
    const monotonic_time asked = monotonicNow();
    gateway.process->terminate();
    CHECK(loopUntil(world.loop, [&] { return !gateway.process->isRunning(); }));
    CHECK(monotonicNow() - asked < platform_fixture::grace / 2);
    CHECK_FALSE(platform_fixture::isWhole(stream));
}

TEST_CASE("gateway: unreadable records of the store are left out and told, the others hold")
{
    platform_fixture world;
    ready(world, 1);
    auto& gateway = world.gateways.at(0);
    world.store.put("keyed.servers", "odd", "{nonsense");
    world.store.put("keyed.op", "config", R"({"version":"x"})");
    CHECK(loopUntil(world.loop, [&] {
        const std::string output = world.outputOf(gateway);
        return output.find("upstream_unreadable") != std::string::npos
            && output.find("config_unreadable") != std::string::npos;
    }));
    const auto& attempt = world.send(gateway, "/safe/");
    REQUIRE(world.waitEnd(attempt));
    CHECK(attempt.caller->status() == 200);
    checkNoViolations(world);
}

TEST_CASE("gateway: history that the store drops loses neither configuration nor upstreams")
{
    platform_fixture world;
    ready(world, 2);
    world.store.compact();
    world.configure({ "key-2" });
    world.store.compact();
    for (const auto& gateway : world.gateways) {
        CHECK(loopUntil(world.loop, [&] {
            const auto& attempt = world.send(gateway, "/safe/", "key-2");
            return world.waitEnd(attempt) && attempt.caller->status() == 200;
        }));
    }
    checkNoViolations(world);
}
