#include "Loop/timer.h"
#include "Relay/relay_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

const std::string promptFields = "Model: m1\r\nToken-Counts: 2000,100\r\n";

/// \brief A relay with the upstreams u1, whose streams begin after 150 ms, and u2, whose streams begin at
/// once.
struct unequal_upstreams : relay_fixture {
    explicit unequal_upstreams(bool learns)
        : slow(addUpstream("u1", { { "m1", {} } }))
        , quick(addUpstream("u2", { { "m1", {} } }))
        , delay(loop, [this] { answer(slow.requests.back()); })
    {
        relay_options options { "z", seconds(4), 0.5, 50, 100 };
        options.learnsUpstreamSpeed = learns;
        tested.setOptions(options);
        slow.onRequest = [this](const scripted_upstream::request&) { delay.start(milliseconds(150)); };
        quick.onRequest = [](const scripted_upstream::request& asked) { answer(asked); };
    }

    static void answer(const scripted_upstream::request& asked)
    {
        asked.stream->write(
            scripted_upstream::streamHead(asked) + scripted_upstream::event(1, "one") + "0\r\n\r\n");
    }

    void callOneByOne(int calls)
    {
        for (int call = 0; call < calls; ++call) {
            auto& caller = addCaller();
            caller.request("POST", "/stream/a", promptFields);
            REQUIRE(ended(caller));
        }
    }

    scripted_upstream& slow;
    scripted_upstream& quick;
    timer delay;
};

} // namespace

TEST_CASE("relay: a slow upstream gets fewer requests, also without a coordinator")
{
    unequal_upstreams fixture(true);
    fixture.callOneByOne(20);
    CHECK(fixture.slow.requests.size() <= 5);
    // What was observed is reported once.
    const auto samples = fixture.tested.takeSpeedSamples();
    CHECK(samples.size() == 2);
    CHECK(fixture.tested.takeSpeedSamples().empty());
}

TEST_CASE("relay: the coordinator's factor of an upstream's speed decides")
{
    unequal_upstreams fixture(true);
    fixture.tested.onCoordinatorHeard();
    fixture.tested.onSpeedTold("u1", 3);
    fixture.tested.onSpeedTold("unknown", 3);
    fixture.callOneByOne(5);
    CHECK(fixture.quick.requests.size() == 5);
    fixture.tested.onSpeedTold("u1", 0.5);
    fixture.callOneByOne(5);
    CHECK(fixture.slow.requests.size() == 5);
    CHECK(fixture.metrics.serialize().find("sagesaddle_upstream_time_factor{upstream=\"u1\"} 0.5")
        != std::string::npos);
}

TEST_CASE("relay: without the setting, neither samples nor factors of speed are used")
{
    unequal_upstreams fixture(false);
    fixture.tested.onCoordinatorHeard();
    fixture.tested.onSpeedTold("u1", 3);
    fixture.callOneByOne(5);
    CHECK(fixture.slow.requests.size() == 5);
    CHECK(fixture.tested.takeSpeedSamples().empty());
}

TEST_CASE("relay: an upstream that is listed later starts slowly, and takes what no other upstream can")
{
    unequal_upstreams fixture(true);
    fixture.quick.onRequest = {};
    auto& added = fixture.addUpstream("u0", { { "m1", {} } });
    fixture.tested.onCoordinatorHeard();
    fixture.tested.onSpeedTold("u0", 0.25);
    fixture.tested.onGatewayCount(1);
    const auto callAtOnce = [&](std::size_t calls) {
        const std::size_t before
            = added.requests.size() + fixture.quick.requests.size() + fixture.slow.requests.size();
        for (std::size_t call = 0; call < calls; ++call)
            fixture.addCaller().request("POST", "/stream/a", "Model: m1\r\nToken-Counts: 100,100\r\n");
        REQUIRE(loopUntil(fixture.loop, [&] {
            return added.requests.size() + fixture.quick.requests.size() + fixture.slow.requests.size()
                == before + calls;
        }));
    };
    callAtOnce(8);
    CHECK(added.requests.size() == 2);
    // Answers on time let it have more.
    for (const auto& asked : added.requests)
        asked.stream->write(scripted_upstream::streamHead(asked) + scripted_upstream::event(1, "one"));
    loopFor(fixture.loop, milliseconds(50));
    callAtOnce(8);
    CHECK(added.requests.size() == 4);
    CHECK(fixture.metrics.serialize().find("sagesaddle_upstream_start_limit{upstream=\"u0\"} 4")
        != std::string::npos);
    // Without another upstream the limit yields.
    fixture.upstreams[0].models = fixture.upstreams[1].models = {};
    fixture.publishUpstreams();
    callAtOnce(4);
    CHECK(added.requests.size() == 8);
    fixture.tested.onStartLimitTold("u0", 0);
    CHECK(fixture.metrics.serialize().find("sagesaddle_upstream_start_limit{upstream=\"u0\"} 0")
        != std::string::npos);
}

TEST_CASE("relay: an upstream that fails several times in a row starts slowly, and this is reported")
{
    unequal_upstreams fixture(true);
    fixture.slow.onRequest = {};
    fixture.tested.onCoordinatorHeard();
    fixture.tested.onSpeedTold("u1", 0.25);
    const auto& state = fixture.tested.upstreams().at("u1");
    fixture.quick.onRequest = {};
    for (int call = 0; call < 12; ++call)
        fixture.addCaller().request("POST", "/stream/a", "Model: m1\r\nToken-Counts: 100,100\r\n");
    REQUIRE(loopUntil(fixture.loop, [&] { return fixture.slow.requests.size() >= 3; }));
    CHECK_FALSE(state->pace.startLimit(monotonicNow()).has_value());
    fixture.slow.cutAll();
    REQUIRE(loopUntil(fixture.loop, [&] { return state->failures >= 3; }));
    const auto samples = fixture.tested.takeSpeedSamples();
    const bool isReported = std::any_of(samples.begin(), samples.end(),
        [](const auto& item) { return std::get<0>(item) == "u1" && std::get<2>(item).isBeginning; });
    CHECK(isReported);
    CHECK(state->pace.startLimit(monotonicNow()).has_value());
}
