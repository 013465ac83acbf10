#include "Route/engine_choice.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

engine_candidate engineWith(int inFlight, double tokensAhead)
{
    engine_candidate engine;
    engine.inFlight = inFlight;
    engine.slots = 64;
    engine.tokensAhead = tokensAhead;
    engine.memoryTotal = 150000;
    engine.millisecondsPerToken = 0.05;
    engine.holdMilliseconds = 1500;
    engine.isNear = true;
    return engine;
}

const engine_demand report { 1400, 1500, 600 };

std::size_t picked(const std::vector<engine_candidate>& engines)
{
    const auto choice = chooseEngine(engines, report, 1.2);
    REQUIRE(std::holds_alternative<engine_pick>(choice));
    return std::get<engine_pick>(choice).index;
}

} // namespace

TEST_CASE("engine choice: the prompt tokens that wait ahead decide, not the count of requests")
{
    CHECK(picked({ engineWith(5, 8000), engineWith(9, 0) }) == 1);
}

TEST_CASE("engine choice: an engine that keeps the prompt's parts is preferred up to their worth")
{
    auto warm = engineWith(5, 1000);
    warm.cachedTokens = 1200;
    CHECK(picked({ engineWith(5, 1000), warm }) == 1);
    warm.tokensAhead = 6000;
    CHECK(picked({ engineWith(5, 1000), warm }) == 0);
}

TEST_CASE("engine choice: a far or suspect engine is taken where the others are later")
{
    auto far = engineWith(5, 0);
    far.isNear = false;
    CHECK(picked({ far, engineWith(5, 0) }) == 1);
    CHECK(picked({ far, engineWith(5, 6000) }) == 0);
    auto suspect = engineWith(0, 0);
    suspect.isSuspect = true;
    CHECK(picked({ suspect, engineWith(40, 6000) }) == 1);
    CHECK(picked({ suspect }) == 0);
}

TEST_CASE("engine choice: an upstream that fails more of its answers than its peers is eased off")
{
    auto grey = engineWith(5, 0);
    grey.faultShare = 0.4;
    CHECK(picked({ grey, engineWith(5, 10000) }) == 1);
    // Where every other would be late it is used all the same.
    CHECK(picked({ grey, engineWith(5, 40000) }) == 0);
    auto peer = engineWith(5, 3000);
    peer.faultShare = 0.4;
    CHECK(picked({ grey, peer }) == 0);
}

TEST_CASE("engine choice: what misses its objective everywhere is turned away with the earliest forecast")
{
    const auto choice = chooseEngine({ engineWith(40, 30000), engineWith(40, 20000) }, report, 1.2);
    REQUIRE(std::holds_alternative<engine_full>(choice));
    CHECK(std::get<engine_full>(choice).firstEventMilliseconds == doctest::Approx(21400 * 0.05));
}

TEST_CASE("engine choice: full slots and full memory add the time until there is room")
{
    CHECK(forecastFirstEvent(engineWith(64, 0), report) > forecastFirstEvent(engineWith(63, 0), report));
    auto crowded = engineWith(30, 0);
    crowded.memoryUsed = 149000;
    CHECK(forecastFirstEvent(crowded, report) > forecastFirstEvent(engineWith(30, 0), report));
}

TEST_CASE("engine choice: without candidates there is none")
{
    CHECK(std::holds_alternative<engine_none>(chooseEngine({}, report, 1.2)));
}
