#include "Relay/relay_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using request = scripted_upstream::request;

const std::string modelFields = "Model: m1\r\nToken-Counts: 100,10\r\n";
const std::string adapterFields = "Model: m1/a1\r\nToken-Counts: 100,10\r\n";

// A configuration whose engines load the model m1 in that time.
fleet_config configWithModel(milliseconds loadTime)
{
    auto config = relay_fixture::config(2);
    engine_config engine;
    model_config model;
    model.name = "m1";
    model.loadTime = loadTime;
    engine.models = { model };
    config.services = { { "desk", 0, engine } };
    return config;
}

} // namespace

TEST_CASE("relay: a request is sent to an upstream that has loaded its model and adapter")
{
    relay_fixture fixture;
    auto& unloaded = fixture.addUpstream("u1", { { "m1", {} } });
    auto& loaded = fixture.addUpstream("u2", { { "m1", { "a1" } } });
    answerAll(unloaded);
    answerAll(loaded);
    auto& caller = fixture.addCaller();
    caller.request("POST", "/resume/a", adapterFields);
    REQUIRE(fixture.ended(caller));
    CHECK(loaded.requests.size() == 1);
    CHECK(unloaded.requests.empty());
}

TEST_CASE("relay: a request waits for an adapter that is being loaded and is sent once it is loaded")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1", { { "m1", {} } });
    answerAll(upstream);
    auto& caller = fixture.addCaller();
    caller.request("POST", "/resume/a", adapterFields);
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.waiting() == 1; }));
    CHECK(fixture.missingModels >= 1);
    fixture.tested.onLoadedModels("u1", { { "m1", "m1/a1" }, {}, false });
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
}

TEST_CASE("relay: Retry-After for a model that must be loaded covers the load time")
{
    relay_fixture fixture;
    auto config = configWithModel(milliseconds(2500));
    for (auto& route : config.routes)
        route.objective = milliseconds(200);
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    fixture.addUpstream("u1", { { "m2", {} } });
    auto& caller = fixture.addCaller();
    caller.request("POST", "/resume/a", modelFields);
    REQUIRE(fixture.ended(caller));
    CHECK(caller.has("model_absent"));
    const std::string name = "Retry-After: ";
    REQUIRE(caller.has(name));
    const double retryAfter = std::stod(caller.text().substr(caller.text().find(name) + name.size()));
    // Callers wait for at most a third of the time left, which is the route's timeout of 8 s.
    CHECK(retryAfter >= 2.5);
    CHECK(retryAfter <= 8.0 / 3 + 0.01);
}

TEST_CASE("relay: a request waits for a model that loads soon and is sent once it is loaded")
{
    // Without the wait, the requests of a model whose engines crashed are refused although it is back in
    // time.
    relay_fixture fixture;
    auto config = configWithModel(milliseconds(1200));
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    auto& upstream = fixture.addUpstream("u1", { { "m2", {} } });
    answerAll(upstream);
    auto& caller = fixture.addCaller();
    caller.request("POST", "/resume/a", modelFields);
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.waiting() == 1; }));
    CHECK(fixture.missingModels >= 1);
    CHECK(fixture.tested.onLoadedModels("u1", { { "m1", "m2" }, {}, false }));
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
    CHECK(upstream.requests.size() == 1);
}

TEST_CASE("relay: a request whose model no upstream has loaded is refused at once and its model is reported")
{
    relay_fixture fixture;
    fixture.addUpstream("u1", { { "m2", {} } });
    auto& caller = fixture.addCaller();
    caller.request("POST", "/resume/a", modelFields);
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 503);
    CHECK(caller.has("model_absent"));
    CHECK(fixture.missingModels == 1);
    CHECK(fixture.refunded == doctest::Approx(110));
}

TEST_CASE(
    "relay: what one engine cannot begin in time of a burst is refused early, with staggered retry times")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1", { { "m1", {} } });
    int refused = 0;
    for (int call = 0; call < 60; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("POST", "/resume/a" + std::to_string(call), "Model: m1\r\nToken-Counts: 2000,100\r\n");
    }
    REQUIRE(loopUntil(fixture.loop, [&] {
        refused = 0;
        for (const auto& caller : fixture.callers)
            refused += caller.status() == 503 ? 1 : 0;
        return upstream.requests.size() + static_cast<std::size_t>(refused) == 60;
    }));
    // An engine reads about 12 prompts of 2,000 tokens within the objective of 1 s.
    CHECK(upstream.requests.size() >= 8);
    CHECK(upstream.requests.size() <= 20);
    std::set<std::string> times;
    for (const auto& caller : fixture.callers) {
        const auto at = caller.text().find("Retry-After: ");
        if (at != std::string::npos)
            times.insert(caller.text().substr(at, 18));
    }
    CHECK(times.size() > 10);
}

TEST_CASE("relay: an upstream that failed is avoided while another can take the request")
{
    relay_fixture fixture;
    auto& failing = fixture.addUpstream("u1");
    auto& healthy = fixture.addUpstream("u2");
    failing.onRequest = [&](const request& asked) { failing.cut(asked.stream); };
    answerAll(healthy);
    for (int call = 0; call < 10; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 200);
    }
    CHECK(failing.requests.size() <= 2);
}

TEST_CASE("relay: idempotent requests move away from a silent upstream, and it gets no new ones")
{
    relay_fixture fixture;
    auto& silent = fixture.addUpstream("u1");
    auto& caller = fixture.addCaller();
    caller.request("GET", "/safe/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return silent.requests.size() == 1; }));
    auto& nonIdempotent = fixture.addCaller();
    nonIdempotent.request("POST", "/unsafe/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return silent.requests.size() == 2; }));
    auto& healthy = fixture.addUpstream("u2");
    answerAll(healthy);
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
    CHECK(nonIdempotent.status() == 0);
    for (int call = 0; call < 10; ++call) {
        auto& next = fixture.addCaller();
        next.request("GET", "/safe/b");
        REQUIRE(fixture.ended(next));
    }
    CHECK(silent.requests.size() == 2);
    // Its late answer to the non-idempotent call is delivered, and the upstream is used again.
    silent.requests.at(1).stream->write(scripted_upstream::answer(silent.requests.at(1), 200, "booked"));
    REQUIRE(fixture.ended(nonIdempotent));
    CHECK(nonIdempotent.has("booked"));
    CHECK_FALSE(fixture.tested.upstreams().at("u1")->isSilent);
}

TEST_CASE("relay: a silent upstream without an alternative gets one request at a time")
{
    relay_fixture fixture;
    auto& silent = fixture.addUpstream("u1");
    auto& first = fixture.addCaller();
    first.request("POST", "/unsafe/a");
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.upstreams().at("u1")->isSilent; }));
    auto& second = fixture.addCaller();
    second.request("POST", "/unsafe/b");
    REQUIRE(fixture.ended(second));
    CHECK(second.status() == 503);
    CHECK(second.has("not_run"));
    CHECK(silent.requests.size() == 1);
}

TEST_CASE("relay: a silent upstream that accepts a probe's connection is used again, and no request is "
          "risked for it")
{
    relay_fixture fixture;
    auto& silent = fixture.addUpstream("u1");
    auto& other = fixture.addUpstream("u2");
    answerAll(other);
    auto& first = fixture.addCaller();
    first.request("POST", "/unsafe/a");
    auto& second = fixture.addCaller();
    second.request("POST", "/unsafe/b");
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.upstreams().at("u1")->isSilent; }));
    CHECK(silent.requests.size() == 1);
    CHECK(loopUntil(fixture.loop, [&] { return !fixture.tested.upstreams().at("u1")->isSilent; }));
    CHECK(silent.requests.size() == 1);
}

TEST_CASE("relay: retries stay within their budget")
{
    relay_fixture fixture;
    auto& first = fixture.addUpstream("u1");
    auto& second = fixture.addUpstream("u2");
    for (auto* upstream : { &first, &second })
        upstream->onRequest
            = [](const request& asked) { asked.stream->write(scripted_upstream::answer(asked, 500, "no")); };
    for (int call = 0; call < 60; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("GET", "/safe/a");
        REQUIRE(fixture.ended(caller));
        CHECK(caller.status() == 500);
    }
    // Retries: 0.5 for each request, and one gateway's tenth of the fleet's slack of 50.
    CHECK(first.requests.size() + second.requests.size() <= 60 + 30 + 5);
    CHECK(first.requests.size() + second.requests.size() > 60);
}

TEST_CASE("relay: a restarted upstream does not keep the loaded models of its previous process")
{
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1", { { "m1", {} } });
    fixture.tested.onLoadedModels("u1", { { "m1", "m1/a1" }, {}, false });
    CHECK(fixture.tested.upstreams().at("u1")->hasLoaded("m1/a1"));
    CHECK(fixture.tested.onLoadedModels("u1", { { "m1/a2" }, { "m1/a1" }, true }));
    CHECK(fixture.tested.upstreams().at("u1")->loadedModels == std::set<std::string> { "m1", "m1/a2" });
    auto entry = upstream.entry();
    entry.startedAt = 7;
    fixture.tested.onUpstreams({ { "u1", entry } });
    CHECK_FALSE(fixture.tested.upstreams().at("u1")->hasLoaded("m1/a2"));
    // A delta is rejected, since no full update for the new process has come.
    CHECK_FALSE(fixture.tested.onLoadedModels("u1", { { "m1/a3" }, {}, true }));
    CHECK_FALSE(fixture.tested.upstreams().at("u1")->hasLoaded("m1/a3"));
}

TEST_CASE("relay: an upstream that fails part of its calls gets fewer of them, although it stays listed")
{
    // Failed non-idempotent calls are not retried, so only the choice of the upstream can help.
    relay_fixture fixture;
    auto& failing = fixture.addUpstream("u1");
    auto& healthy = fixture.addUpstream("u2");
    int answered = 0;
    failing.onRequest = [&](const request& asked) {
        asked.stream->write(scripted_upstream::answer(asked, ++answered % 5 < 2 ? 500 : 200, "ok"));
    };
    answerAll(healthy);
    for (int call = 0; call < 100; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("POST", "/unsafe/a");
        REQUIRE(fixture.ended(caller));
    }
    // Without the failure ratio each upstream would get half of the calls.
    CHECK(failing.requests.size() < 20);
}

TEST_CASE("relay: short calls queue at a plain service instead of being refused")
{
    // The service has few slots and gets a burst of short calls. Queueing takes a few milliseconds, which is
    // within the objective.
    relay_fixture fixture;
    auto& upstream = fixture.addUpstream("u1");
    answerAll(upstream);
    for (int call = 0; call < 20; ++call) {
        auto& caller = fixture.addCaller();
        caller.request("POST", "/unsafe/a");
        REQUIRE(fixture.ended(caller));
    }
    upstream.onRequest = {};
    const std::size_t before = upstream.requests.size();
    for (int call = 0; call < 12; ++call)
        fixture.addCaller().request("POST", "/unsafe/b");
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() == before + 12; }));
}

TEST_CASE("relay: the gateways together keep to the number of connections that an upstream accepts")
{
    relay_fixture fixture;
    auto config = relay_fixture::config(2);
    config.services = { { "desk", 8, std::nullopt } };
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    fixture.tested.onGatewayCount(2);
    auto& upstream = fixture.addUpstream("u1");
    const auto addCallers = [&](int count) {
        for (int call = 0; call < count; ++call)
            fixture.addCaller().request("GET", "/safe/" + std::to_string(call));
    };
    const auto countRefused = [&] {
        return std::count_if(fixture.callers.begin(), fixture.callers.end(),
            [](const scripted_caller& caller) { return caller.status() == 503 && caller.has("not_run"); });
    };
    // Half of the connections are for requests of all gateways, the rest for idle ones.
    addCallers(10);
    REQUIRE(loopUntil(fixture.loop, [&] { return upstream.requests.size() + countRefused() == 10; }));
    CHECK(upstream.requests.size() == 4);
    for (const auto& asked : upstream.requests)
        asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
    // This gateway's part of the idle ones.
    CHECK(loopUntil(fixture.loop, [&] { return upstream.openStreams == 2; }));
    // The others have used up what is for requests.
    fixture.tested.onPeerLoad("u1", { 4, 0, 0 });
    addCallers(1);
    REQUIRE(fixture.ended(fixture.callers.back()));
    CHECK(fixture.callers.back().status() == 503);
    CHECK(upstream.requests.size() == 4);
}
