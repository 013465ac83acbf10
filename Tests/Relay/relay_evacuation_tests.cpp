#include "Relay/relay_fixture.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

/// A relay with the upstream `u1` in zone `a`, which does not answer, and `u2` in zone `b`, which does.
struct zones_fixture : relay_fixture {
    explicit zones_fixture(const std::vector<loaded_model>& first = {})
        : evacuated(addUpstream("u1", first))
        , other(addUpstream("u2"))
    {
        answerAll(other);
        publish();
    }

    void publish() { tested.onUpstreams({ { "u1", evacuated.entry("a") }, { "u2", other.entry("b") } }); }

    scripted_caller& call(const std::string& path, const std::string& fields = "")
    {
        auto& caller = addCaller();
        caller.request("POST", path, fields);
        return caller;
    }

    scripted_upstream& evacuated;
    scripted_upstream& other;
};

} // namespace

TEST_CASE("relay: an evacuated zone gets no new requests or probes, and its running ones end there")
{
    zones_fixture fixture;
    fixture.tested.onEvacuations({ "b" });
    auto& running = fixture.call("/unsafe/first");
    const auto& state = fixture.tested.upstreams().at("u1");
    REQUIRE(loopUntil(fixture.loop, [&] { return state->isSilent; }));
    fixture.tested.onEvacuations({ "a" });
    // The list is replaced while the zone is evacuated.
    fixture.publish();
    const int accepted = fixture.evacuated.accepted;
    for (int request = 0; request < 20; ++request)
        CHECK(fixture.ended(fixture.call("/safe/" + std::to_string(request))));
    // Longer than the interval of the probes.
    loopFor(fixture.loop, milliseconds(700));
    CHECK(fixture.other.requests.size() == 20);
    CHECK(fixture.evacuated.requests.size() == 1);
    const auto& request = fixture.evacuated.requests.at(0);
    request.stream->write(scripted_upstream::answer(request, 200, "ok"));
    REQUIRE(fixture.ended(running));
    CHECK(running.status() == 200);
    // Nor does a broken connection cause a probe.
    fixture.evacuated.cutAll();
    loopFor(fixture.loop, milliseconds(50));
    CHECK(fixture.evacuated.accepted == accepted);
    fixture.tested.onEvacuations({ "b" });
    fixture.call("/safe/last");
    CHECK(loopUntil(fixture.loop, [&] { return fixture.evacuated.requests.size() == 2; }));
}

TEST_CASE("relay: a request that was placed in a zone and not sent when it is evacuated is placed elsewhere")
{
    zones_fixture fixture;
    fixture.tested.onEvacuations({ "b" });
    auto& caller = fixture.call("/unsafe/a");
    // The request is placed in the turn of the loop in which it is read; its connection takes further turns.
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.tested.upstreams().at("u1")->inFlight == 1; }));
    REQUIRE(fixture.evacuated.requests.empty());
    fixture.tested.onEvacuations({ "a" });
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 200);
    CHECK(fixture.evacuated.requests.empty());
}

TEST_CASE("relay: what only evacuated zones could serve is refused at once as not run, and a model that may "
          "be loaded elsewhere is reported as missing")
{
    const std::string fieldsOfAdapter = "Model: m1/a1\r\nToken-Counts: 100,10\r\n";
    zones_fixture fixture(std::vector<loaded_model> { { "m1", { "a1" } } });
    fixture.tested.onEvacuations({ "a", "b" });
    auto& caller = fixture.call("/safe/a");
    REQUIRE(fixture.ended(caller));
    CHECK(caller.status() == 503);
    for (const char* text : { "zone_evacuated", "not_run", "Retry-After: " })
        CHECK(caller.has(text));
    CHECK(fixture.refunded == doctest::Approx(10));
    auto config = relay_fixture::config(2);
    engine_config engine;
    engine.models = { { "m1", 0, milliseconds(2400), 1, 0 } };
    config.services = { { "desk", 0, engine } };
    config.routes.at(3).objective = milliseconds(200);
    fixture.tested.onConfig(std::make_shared<fleet_config>(config));
    fixture.tested.onEvacuations({ "a" });
    auto& withModel = fixture.call("/resume/a", fieldsOfAdapter);
    REQUIRE(fixture.ended(withModel));
    CHECK(withModel.has("zone_evacuated"));
    // The load time, bounded by a third of the time that is left.
    CHECK(withModel.has("Retry-After: 2."));
    CHECK(fixture.missingModels == 1);
    // Once another zone has the model, its adapter is waited for there.
    fixture.tested.onLoadedModels("u2", { { "m1" }, {}, false });
    fixture.call("/resume/b", fieldsOfAdapter);
    CHECK(loopUntil(fixture.loop, [&] { return fixture.tested.waiting() == 1; }));
}
