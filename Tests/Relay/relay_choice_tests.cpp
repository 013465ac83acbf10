#include "Relay/relay_fixture.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

const std::string modelFields = "Model: m1\r\nToken-Counts: 100,10\r\n";
const std::string adapterFields = "Model: m1/a1\r\nToken-Counts: 100,10\r\n";

} // namespace

TEST_CASE("relay: a request goes to an upstream that holds its model and adapter")
{
    relay_fixture world;
    auto& without = world.addUpstream("u1", { { "m1", {} } });
    auto& with = world.addUpstream("u2", { { "m1", { "a1" } } });
    answerAll(without);
    answerAll(with);
    auto& caller = world.addCaller();
    caller.request("POST", "/resume/a", adapterFields);
    REQUIRE(world.ended(caller));
    CHECK(with.requests.size() == 1);
    CHECK(without.requests.empty());
}

TEST_CASE("relay: a request whose adapter is on its way waits for it and is sent when it is there")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1", { { "m1", {} } });
    answerAll(upstream);
    auto& caller = world.addCaller();
    caller.request("POST", "/resume/a", adapterFields);
    REQUIRE(loopUntil(world.loop, [&] { return world.tested.waiting() == 1; }));
    CHECK(world.wanted >= 1);
    world.tested.onLoadedModels("u1", { { "m1", "m1/a1" }, {}, false });
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 200);
}

TEST_CASE("relay: the caller of a model that must be loaded is told to come back when it can be there")
{
    relay_fixture world;
    auto config = relay_fixture::config(2);
    engine_config engine;
    model_config model;
    model.name = "m1";
    model.loadTime = milliseconds(2500);
    engine.models = { model };
    config.services = { { "desk", 0, engine } };
    for (auto& route : config.routes)
        route.objective = milliseconds(200);
    world.tested.onConfig(std::make_shared<fleet_config>(config));
    world.addUpstream("u1", { { "m2", {} } });
    auto& caller = world.addCaller();
    caller.request("POST", "/resume/a", modelFields);
    REQUIRE(world.ended(caller));
    CHECK(caller.has("model_absent"));
    const std::string name = "Retry-After: ";
    REQUIRE(caller.has(name));
    const double told = std::stod(caller.text().substr(caller.text().find(name) + name.size()));
    // The route's timeout of 8 s leaves a third of it for the return.
    CHECK(told >= 2.5);
    CHECK(told <= 8.0 / 3 + 0.01);
}

TEST_CASE("relay: a request whose model nobody holds is refused at once and asked for")
{
    relay_fixture world;
    world.addUpstream("u1", { { "m2", {} } });
    auto& caller = world.addCaller();
    caller.request("POST", "/resume/a", modelFields);
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 503);
    CHECK(caller.has("model_absent"));
    CHECK(world.wanted == 1);
    CHECK(world.refunded == doctest::Approx(110));
}

TEST_CASE(
    "relay: a burst that one engine cannot begin in time is turned away early, and callers return in turn")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1", { { "m1", {} } });
    int refused = 0;
    for (int call = 0; call < 60; ++call) {
        auto& caller = world.addCaller();
        caller.request("POST", "/resume/a" + std::to_string(call), "Model: m1\r\nToken-Counts: 2000,100\r\n");
    }
    REQUIRE(loopUntil(world.loop, [&] {
        refused = 0;
        for (const auto& caller : world.callers)
            refused += caller.status() == 503 ? 1 : 0;
        return upstream.requests.size() + static_cast<std::size_t>(refused) == 60;
    }));
    // About 12 prompts of 2,000 tokens are read within an objective of 1 s.
    CHECK(upstream.requests.size() >= 8);
    CHECK(upstream.requests.size() <= 20);
    std::set<std::string> times;
    for (const auto& caller : world.callers) {
        const auto at = caller.text().find("Retry-After: ");
        if (at != std::string::npos)
            times.insert(caller.text().substr(at, 18));
    }
    CHECK(times.size() > 10);
}

TEST_CASE("relay: an upstream that failed is avoided while another can take the request")
{
    relay_fixture world;
    auto& broken = world.addUpstream("u1");
    auto& sound = world.addUpstream("u2");
    broken.onRequest = [&](const request& asked) { broken.cut(asked.stream); };
    answerAll(sound);
    for (int call = 0; call < 10; ++call) {
        auto& caller = world.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(world.ended(caller));
        CHECK(caller.status() == 200);
    }
    CHECK(broken.requests.size() <= 2);
}

TEST_CASE("relay: an upstream that falls silent loses what may run again to another, and gets nothing new")
{
    relay_fixture world;
    auto& silent = world.addUpstream("u1");
    auto& caller = world.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(loopUntil(world.loop, [&] { return silent.requests.size() == 1; }));
    auto& once = world.addCaller();
    once.request("POST", "/unsafe/a");
    REQUIRE(loopUntil(world.loop, [&] { return silent.requests.size() == 2; }));
    auto& sound = world.addUpstream("u2");
    answerAll(sound);
    REQUIRE(world.ended(caller));
    CHECK(caller.status() == 200);
    CHECK(once.status() == 0);
    for (int call = 0; call < 10; ++call) {
        auto& next = world.addCaller();
        next.request("GET", "/safe/b");
        REQUIRE(world.ended(next));
    }
    CHECK(silent.requests.size() == 2);
    // Its late answer to the call that runs once is delivered, and it is used again.
    silent.requests.at(1).stream->write(scripted_upstream::answer(silent.requests.at(1), 200, "booked"));
    REQUIRE(world.ended(once));
    CHECK(once.has("booked"));
    CHECK_FALSE(world.tested.upstreams().at("u1")->isSilent);
}

TEST_CASE("relay: a silent upstream that no other can stand in for is tried with one request at a time")
{
    relay_fixture world;
    auto& silent = world.addUpstream("u1");
    auto& first = world.addCaller();
    first.request("POST", "/unsafe/a");
    REQUIRE(loopUntil(world.loop, [&] { return world.tested.upstreams().at("u1")->isSilent; }));
    auto& second = world.addCaller();
    second.request("POST", "/unsafe/b");
    REQUIRE(world.ended(second));
    CHECK(second.status() == 503);
    CHECK(second.has("not_run"));
    CHECK(silent.requests.size() == 1);
}

TEST_CASE(
    "relay: a silent upstream that accepts connections again is used again, without a request being risked")
{
    relay_fixture world;
    auto& silent = world.addUpstream("u1");
    auto& other = world.addUpstream("u2");
    answerAll(other);
    auto& first = world.addCaller();
    first.request("POST", "/unsafe/a");
    auto& second = world.addCaller();
    second.request("POST", "/unsafe/b");
    REQUIRE(loopUntil(world.loop, [&] { return world.tested.upstreams().at("u1")->isSilent; }));
    CHECK(silent.requests.size() == 1);
    CHECK(loopUntil(world.loop, [&] { return !world.tested.upstreams().at("u1")->isSilent; }));
    CHECK(silent.requests.size() == 1);
}

TEST_CASE("relay: second sends keep to their budget")
{
    relay_fixture world;
    auto& first = world.addUpstream("u1");
    auto& second = world.addUpstream("u2");
    for (auto* upstream : { &first, &second })
        upstream->onRequest
            = [](const request& asked) { asked.stream->write(scripted_upstream::answer(asked, 500, "no")); };
    for (int call = 0; call < 60; ++call) {
        auto& caller = world.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(world.ended(caller));
        CHECK(caller.status() == 500);
    }
    // Half of the requests, and a tenth of the slack of 50.
    CHECK(first.requests.size() + second.requests.size() <= 60 + 30 + 5);
    CHECK(first.requests.size() + second.requests.size() > 60);
}

TEST_CASE("relay: an upstream that started anew under its id is asked anew for what it holds")
{
    relay_fixture world;
    auto& upstream = world.addUpstream("u1", { { "m1", {} } });
    world.tested.onLoadedModels("u1", { { "m1", "m1/a1" }, {}, false });
    CHECK(world.tested.upstreams().at("u1")->hasLoaded("m1/a1"));
    CHECK(world.tested.onLoadedModels("u1", { { "m1/a2" }, { "m1/a1" }, true }));
    CHECK(world.tested.upstreams().at("u1")->loadedModels == std::set<std::string> { "m1", "m1/a2" });
    auto entry = upstream.entry();
    entry.startedAt = 7;
    world.tested.onUpstreams({ { "u1", entry } });
    CHECK_FALSE(world.tested.upstreams().at("u1")->hasLoaded("m1/a2"));
    // Nothing was told of this start that a change could add to.
    CHECK_FALSE(world.tested.onLoadedModels("u1", { { "m1/a3" }, {}, true }));
    CHECK_FALSE(world.tested.upstreams().at("u1")->hasLoaded("m1/a3"));
}

TEST_CASE("relay: an upstream that fails part of its calls with a good health check gets fewer of them")
{
    // Calls that may run once: each failure is final, so that only the choice of the upstream helps.
    relay_fixture world;
    auto& grey = world.addUpstream("u1");
    auto& sound = world.addUpstream("u2");
    int answered = 0;
    grey.onRequest = [&](const request& asked) {
        asked.stream->write(scripted_upstream::answer(asked, ++answered % 5 < 2 ? 500 : 200, "ok"));
    };
    answerAll(sound);
    for (int call = 0; call < 100; ++call) {
        auto& caller = world.addCaller();
        caller.request("POST", "/unsafe/a");
        REQUIRE(world.ended(caller));
    }
    // Without its answers being weighed both get half.
    CHECK(grey.requests.size() < 20);
}

TEST_CASE("relay: calls queue at a plain service for as long as its calls take, and are not turned away")
{
    // A service with few places and short calls in a burst: the queue of a few milliseconds is within the
    // objective.
    relay_fixture world;
    auto& upstream = world.addUpstream("u1");
    answerAll(upstream);
    for (int call = 0; call < 20; ++call) {
        auto& caller = world.addCaller();
        caller.request("POST", "/unsafe/a");
        REQUIRE(world.ended(caller));
    }
    upstream.onRequest = {};
    const std::size_t before = upstream.requests.size();
    for (int call = 0; call < 12; ++call)
        world.addCaller().request("POST", "/unsafe/b");
    REQUIRE(loopUntil(world.loop, [&] { return upstream.requests.size() == before + 12; }));
}
