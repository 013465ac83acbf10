#include "Route/upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <numeric>
#include <random>

using namespace sagesaddle;

namespace {

upstream_candidate engineWith(int inFlight, double tokensAhead)
{
    upstream_candidate engine;
    engine.inFlight = inFlight;
    engine.slots = 64;
    engine.tokensAhead = tokensAhead;
    engine.memoryTotal = 150000;
    engine.millisecondsPerToken = 0.05;
    engine.meanRequestMilliseconds = 1500;
    engine.isInSameZone = true;
    return engine;
}

const request_demand report { 1400, 1500, 600 };

std::size_t picked(const std::vector<upstream_candidate>& engines)
{
    const auto choice = chooseUpstream(engines, report, 1.2);
    REQUIRE(std::holds_alternative<chosen_upstream>(choice));
    return std::get<chosen_upstream>(choice).index;
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
    far.isInSameZone = false;
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
    grey.failureRatio = 0.4;
    CHECK(picked({ grey, engineWith(5, 10000) }) == 1);
    // Where every other would be late it is used all the same.
    CHECK(picked({ grey, engineWith(5, 40000) }) == 0);
    auto peer = engineWith(5, 3000);
    peer.failureRatio = 0.4;
    CHECK(picked({ grey, peer }) == 0);
}

TEST_CASE("engine choice: what misses its objective everywhere is turned away with the earliest forecast")
{
    const auto choice = chooseUpstream({ engineWith(40, 30000), engineWith(40, 20000) }, report, 1.2);
    REQUIRE(std::holds_alternative<no_upstream_in_time>(choice));
    CHECK(std::get<no_upstream_in_time>(choice).firstEventMilliseconds == doctest::Approx(21400 * 0.05));
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
    CHECK(std::holds_alternative<no_candidate>(chooseUpstream({}, report, 1.2)));
}

namespace {

/// Many gateways place requests on the engines of one model, by news that are some time old.
struct blind_fleet {
    int gateways { 103 };
    int engines { 10 };
    double requestsPerSecond { 45 };
    double newsSeconds { 0.26 };
    double holdSeconds { 2.2 };

    /// \return the mean over time of the requests at the fullest engine beyond those of an equal spread.
    double excess(bool isSampled) const
    {
        constexpr int steps = 40000;
        constexpr double stepSeconds = 0.001;
        std::minstd_rand random(5);
        const auto draw = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
        std::vector<int> now(static_cast<std::size_t>(engines), 0);
        std::vector<std::vector<int>> told(static_cast<std::size_t>(gateways), now);
        std::deque<std::pair<int, std::size_t>> ends;
        double sum = 0;
        for (int step = 0; step < steps; ++step) {
            for (; !ends.empty() && ends.front().first <= step; ends.pop_front())
                --now[ends.front().second];
            for (int gateway = 0; gateway < gateways; ++gateway) {
                const int pause = static_cast<int>(newsSeconds / stepSeconds);
                if ((step + gateway * pause / gateways) % pause == 0)
                    told[static_cast<std::size_t>(gateway)] = now;
            }
            if (draw() < requestsPerSecond * stepSeconds) {
                auto& known = told[static_cast<std::size_t>(draw() * gateways)];
                const std::size_t chosen = choose(known, isSampled, draw);
                ++known[chosen];
                ++now[chosen];
                ends.emplace_back(step + static_cast<int>(holdSeconds / stepSeconds), chosen);
            }
            const double mean = std::accumulate(now.begin(), now.end(), 0.0) / engines;
            sum += *std::max_element(now.begin(), now.end()) - mean;
        }
        return sum / steps;
    }

    std::size_t choose(
        const std::vector<int>& known, bool isSampled, const std::function<double()>& draw) const
    {
        std::vector<std::size_t> looked
            = sampleUpstreams(known.size(), isSampled ? requestsPerSecond * newsSeconds : 0, draw);
        std::vector<upstream_candidate> candidates;
        for (const std::size_t index : looked) {
            upstream_candidate candidate;
            candidate.inFlight = known[index];
            candidate.slots = 16;
            candidate.millisecondsPerToken = 0.05;
            candidate.meanRequestMilliseconds = 1500;
            candidates.push_back(candidate);
        }
        const auto choice = chooseUpstream(candidates, { 1400, 1500, 800 }, 100);
        return looked[std::get<chosen_upstream>(choice).index];
    }
};

} // namespace

TEST_CASE("engine choice: many gateways with news some hundred ms old do not flood the same engine")
{
    const blind_fleet fleet;
    const double all = fleet.excess(false);
    const double sampled = fleet.excess(true);
    CHECK(sampled < 0.6 * all);
}

TEST_CASE("engine choice: where little is placed unseen, or few could take it, all are looked at")
{
    const auto first = [] { return 0.0; };
    CHECK(sampleUpstreams(10, 0.5, first).size() == 10);
    CHECK(sampleUpstreams(2, 50, first).size() == 2);
    CHECK(sampleUpstreams(10, 3, first).size() == 4);
    CHECK(sampleUpstreams(10, 50, first).size() == 2);
    const auto last = [] { return std::nextafter(1.0, 0.0); };
    for (const std::size_t index : sampleUpstreams(10, 3, last))
        CHECK(index < 10);
}
