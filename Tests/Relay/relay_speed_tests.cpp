#include "Loop/timer.h"
#include "Relay/relay_fixture.h"

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
