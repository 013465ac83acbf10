#include "Route/upstream_choice.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <doctest/doctest.h>
#include <numeric>
#include <random>

using namespace sagesaddle;

namespace {

upstream_candidate candidateWith(int inFlight, double tokensAhead)
{
    upstream_candidate candidate;
    candidate.inFlight = inFlight;
    candidate.slots = 64;
    candidate.tokensAhead = tokensAhead;
    candidate.memoryTotal = 150000;
    candidate.millisecondsPerToken = 0.05;
    candidate.meanRequestMilliseconds = 1500;
    candidate.isInSameZone = true;
    return candidate;
}

const request_demand demand { 1400, 1500, 600 };

std::size_t chosenIndex(const std::vector<upstream_candidate>& candidates)
{
    const auto choice = chooseUpstream(candidates, demand, 1.2);
    REQUIRE(std::holds_alternative<chosen_upstream>(choice));
    return std::get<chosen_upstream>(choice).index;
}

} // namespace

TEST_CASE("upstream choice: queued prompt tokens decide, not the number of requests")
{
    CHECK(chosenIndex({ candidateWith(5, 8000), candidateWith(9, 0) }) == 1);
}

TEST_CASE("upstream choice: cached prompt tokens outweigh a longer queue only by the time that they save")
{
    auto warm = candidateWith(5, 1000);
    warm.cachedTokens = 1200;
    CHECK(chosenIndex({ candidateWith(5, 1000), warm }) == 1);
    warm.tokensAhead = 6000;
    CHECK(chosenIndex({ candidateWith(5, 1000), warm }) == 0);
}

TEST_CASE(
    "upstream choice: an upstream in another zone or a suspect one is chosen where the others are later")
{
    auto remote = candidateWith(5, 0);
    remote.isInSameZone = false;
    CHECK(chosenIndex({ remote, candidateWith(5, 0) }) == 1);
    CHECK(chosenIndex({ remote, candidateWith(5, 6000) }) == 0);
    auto suspect = candidateWith(0, 0);
    suspect.isSuspect = true;
    CHECK(chosenIndex({ suspect, candidateWith(40, 6000) }) == 1);
    CHECK(chosenIndex({ suspect }) == 0);
}

TEST_CASE("upstream choice: an upstream that fails more of its answers than its peers gets fewer requests")
{
    auto failing = candidateWith(5, 0);
    failing.failureRatio = 0.4;
    CHECK(chosenIndex({ failing, candidateWith(5, 10000) }) == 1);
    // It is still chosen where every other candidate would be late.
    CHECK(chosenIndex({ failing, candidateWith(5, 40000) }) == 0);
    auto peer = candidateWith(5, 3000);
    peer.failureRatio = 0.4;
    CHECK(chosenIndex({ failing, peer }) == 0);
}

TEST_CASE("upstream choice: a request that misses its objective everywhere gets the earliest forecast")
{
    const auto choice = chooseUpstream({ candidateWith(40, 30000), candidateWith(40, 20000) }, demand, 1.2);
    REQUIRE(std::holds_alternative<no_upstream_in_time>(choice));
    CHECK(std::get<no_upstream_in_time>(choice).firstEventMilliseconds == doctest::Approx(21400 * 0.05));
}

TEST_CASE("upstream choice: full slots and full memory add the time until they are free")
{
    CHECK(
        forecastFirstEvent(candidateWith(64, 0), demand) > forecastFirstEvent(candidateWith(63, 0), demand));
    auto crowded = candidateWith(30, 0);
    crowded.memoryUsed = 149000;
    CHECK(forecastFirstEvent(crowded, demand) > forecastFirstEvent(candidateWith(30, 0), demand));
}

TEST_CASE("upstream choice: the time of waiting tokens decides, which differs by the upstream's speed")
{
    auto slow = candidateWith(5, 2000);
    slow.timeFactor = 1.6;
    auto fast = candidateWith(5, 4000);
    fast.timeFactor = 0.6;
    CHECK(chosenIndex({ slow, fast }) == 1);
    CHECK(forecastFirstEvent(slow, demand) == doctest::Approx(3400 * 0.05 * 1.6));
}

TEST_CASE("upstream choice: an upstream that is held back gets a request only where all others are late")
{
    auto starting = candidateWith(0, 0);
    starting.isHeldBack = true;
    CHECK(chosenIndex({ starting, candidateWith(20, 8000) }) == 1);
    CHECK(chosenIndex({ starting, candidateWith(20, 40000) }) == 0);
}

TEST_CASE("upstream choice: delay counts where it makes running streams late, by their number and the prompt")
{
    request_demand asked = demand;
    auto slow = candidateWith(10, 3000);
    slow.timeFactor = 1.7;
    CHECK(delayCost(slow, asked) == 0);
    asked.gapObjectiveMilliseconds = 300;
    CHECK(delayCost(slow, asked) > 100);
    CHECK(delayCost(candidateWith(10, 0), asked) == 0);
    auto crowded = slow;
    crowded.inFlight = 20;
    CHECK(delayCost(crowded, asked) == doctest::Approx(2 * delayCost(slow, asked)));
    auto shorter = asked;
    shorter.promptTokens = 100;
    CHECK(delayCost(slow, shorter) < 0.2 * delayCost(slow, asked));
}

TEST_CASE("upstream choice: an empty list of candidates gives no upstream")
{
    CHECK(std::holds_alternative<no_candidate>(chooseUpstream({}, demand, 1.2)));
}

namespace {

/// \brief Simulates many gateways that place requests on the engines of one model by outdated load reports.
struct stale_load_simulation {
    int gateways { 103 };
    int engines { 10 };
    double requestsPerSecond { 45 };
    /// Time between two load reports to a gateway.
    double reportSeconds { 0.26 };
    /// Time for which a request stays on its engine.
    double requestSeconds { 2.2 };

    /// \return requests on the most loaded engine beyond the mean of all engines, averaged over time.
    double excess(bool isSampled) const
    {
        constexpr int steps = 40000;
        constexpr double stepSeconds = 0.001;
        std::minstd_rand random(5);
        const auto draw = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
        std::vector<int> inFlight(static_cast<std::size_t>(engines), 0);
        std::vector<std::vector<int>> reported(static_cast<std::size_t>(gateways), inFlight);
        std::deque<std::pair<int, std::size_t>> ends;
        double sum = 0;
        for (int step = 0; step < steps; ++step) {
            for (; !ends.empty() && ends.front().first <= step; ends.pop_front())
                --inFlight[ends.front().second];
            for (int gateway = 0; gateway < gateways; ++gateway) {
                const int period = static_cast<int>(reportSeconds / stepSeconds);
                if ((step + gateway * period / gateways) % period == 0)
                    reported[static_cast<std::size_t>(gateway)] = inFlight;
            }
            if (draw() < requestsPerSecond * stepSeconds) {
                auto& known = reported[static_cast<std::size_t>(draw() * gateways)];
                const std::size_t chosen = choose(known, isSampled, draw);
                ++known[chosen];
                ++inFlight[chosen];
                ends.emplace_back(step + static_cast<int>(requestSeconds / stepSeconds), chosen);
            }
            const double mean = std::accumulate(inFlight.begin(), inFlight.end(), 0.0) / engines;
            sum += *std::max_element(inFlight.begin(), inFlight.end()) - mean;
        }
        return sum / steps;
    }

    std::size_t choose(
        const std::vector<int>& known, bool isSampled, const std::function<double()>& draw) const
    {
        std::vector<std::size_t> sampled
            = sampleUpstreams(known.size(), isSampled ? requestsPerSecond * reportSeconds : 0, draw);
        std::vector<upstream_candidate> candidates;
        for (const std::size_t index : sampled) {
            upstream_candidate candidate;
            candidate.inFlight = known[index];
            candidate.slots = 16;
            candidate.millisecondsPerToken = 0.05;
            candidate.meanRequestMilliseconds = 1500;
            candidates.push_back(candidate);
        }
        const auto choice = chooseUpstream(candidates, { 1400, 1500, 800 }, 100);
        return sampled[std::get<chosen_upstream>(choice).index];
    }
};

} // namespace

TEST_CASE("upstream choice: many gateways with load reports some 100 ms old do not flood one upstream")
{
    const stale_load_simulation simulation;
    const double withoutSampling = simulation.excess(false);
    const double withSampling = simulation.excess(true);
    CHECK(withSampling < 0.6 * withoutSampling);
}

TEST_CASE("upstream choice: all candidates are compared where few are unreported or few exist")
{
    const auto lowest = [] { return 0.0; };
    CHECK(sampleUpstreams(10, 0.5, lowest).size() == 10);
    CHECK(sampleUpstreams(2, 50, lowest).size() == 2);
    CHECK(sampleUpstreams(10, 3, lowest).size() == 4);
    CHECK(sampleUpstreams(10, 50, lowest).size() == 2);
    const auto highest = [] { return std::nextafter(1.0, 0.0); };
    for (const std::size_t index : sampleUpstreams(10, 3, highest))
        CHECK(index < 10);
}
