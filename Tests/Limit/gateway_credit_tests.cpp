#include "Limit/retry_after_schedule.h"
#include "Limit/team_credit_cache.h"
#include "Limit/team_token_buckets.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr milliseconds grantLife { 1000 };

team_config teamWith(double rate, double burst)
{
    team_config team;
    team.name = "atelier";
    team.ratePerSecond = rate;
    team.burst = burst;
    return team;
}

} // namespace

TEST_CASE("credit bank: over any time no more is granted than burst and rate allow")
{
    team_token_buckets bank;
    bank.setTeams({ teamWith(1000, 2000) }, start);
    double granted = 0;
    for (int step = 0; step <= 100; ++step)
        granted += bank.grant("atelier", 5000, 5000, start + milliseconds(100 * step)).tokens;
    CHECK(granted <= 2000 + 1000 * 10);
    CHECK(granted >= 1000 * 10);
}

TEST_CASE("credit bank: those who are refused later are told to come back later")
{
    team_token_buckets bank;
    bank.setTeams({ teamWith(1000, 1000) }, start);
    bank.grant("atelier", 500, 0, start);
    const auto first = bank.grant("atelier", 800, 0, start);
    const auto second = bank.grant("atelier", 800, 0, start);
    CHECK(first.tokens == doctest::Approx(0));
    CHECK(first.retryAfter.count() == doctest::Approx(800).epsilon(0.01));
    CHECK(second.retryAfter.count() == doctest::Approx(1600).epsilon(0.01));
    const auto later = bank.grant("atelier", 100, 0, start + seconds(20));
    CHECK(later.tokens == doctest::Approx(100));
    CHECK(later.retryAfter.count() == 0);
}

TEST_CASE("credit bank: nothing is granted ahead of need while less than half of the burst is there")
{
    team_token_buckets bank;
    bank.setTeams({ teamWith(1000, 1000) }, start);
    CHECK(bank.grant("atelier", 0, 400, start).tokens == doctest::Approx(0));
    CHECK(bank.grant("atelier", 0, 400, start + seconds(1)).tokens == doctest::Approx(400));
}

TEST_CASE("credit bank: a lower limit binds at once, and a team without a limit has any credit")
{
    team_token_buckets bank;
    bank.setTeams({ teamWith(1000, 5000) }, start);
    bank.setTeams({ teamWith(10, 100) }, start + seconds(5));
    CHECK(bank.grant("atelier", 1000, 0, start + seconds(5)).tokens <= 100);
    CHECK(bank.grant("dealers", 1000, 0, start).tokens == doctest::Approx(1000));
}

TEST_CASE("credit purse: what was granted is spent once")
{
    team_credit_cache purse(grantLife, fallbackRateFraction);
    purse.setTeams({ teamWith(1000, 1000) }, start);
    purse.setFallbackActive(false, start);
    purse.onGrant("atelier", 100, start);
    CHECK(purse.trySpend("atelier", 60, start));
    CHECK_FALSE(purse.trySpend("atelier", 60, start));
    CHECK(purse.trySpend("atelier", 40, start));
    purse.refund("atelier", 40, start);
    CHECK(purse.trySpend("atelier", 40, start));
}

TEST_CASE("credit purse: a process that stood still spends nothing that it held before")
{
    team_credit_cache purse(grantLife, fallbackRateFraction);
    purse.setTeams({ teamWith(1000, 1000) }, start);
    purse.setFallbackActive(false, start);
    purse.onGrant("atelier", 500, start);
    CHECK_FALSE(purse.trySpend("atelier", 100, start + seconds(3)));
}

TEST_CASE(
    "credit purse: alone, it spends its part of half the rate, and nothing before it heard of the others")
{
    team_credit_cache purse(grantLife, fallbackRateFraction);
    purse.setTeams({ teamWith(1000, 1000) }, start);
    CHECK_FALSE(purse.trySpend("atelier", 1, start + seconds(5)));
    purse.setGatewayCount(4);
    double spent = 0;
    for (int step = 0; step <= 1000; ++step)
        spent += purse.trySpend("atelier", 10, start + seconds(5) + milliseconds(10 * step)) ? 10 : 0;
    CHECK(spent <= 1000 * fallbackRateFraction / 4 * 11 + 10);
    CHECK(spent >= 1000 * fallbackRateFraction / 4 * 9);
}

TEST_CASE("credit: gateways with a hot team stay within the platform's bound in any window, also when the "
          "coordinator changes")
{
    constexpr double rate = 10000;
    constexpr double burst = 10000;
    constexpr int gateways = 4;
    constexpr double windowSeconds = 8;
    // The platform allows a tenth more, and 10,000 tokens.
    const double bound = (rate * windowSeconds + burst) * 1.1 + 10000;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::minstd_rand random(seed);
        team_token_buckets bank;
        bank.setTeams({ teamWith(rate, burst) }, start);
        std::vector<team_credit_cache> purses(gateways, team_credit_cache(grantLife, fallbackRateFraction));
        for (auto& purse : purses) {
            purse.setTeams({ teamWith(rate, burst) }, start);
            purse.setGatewayCount(gateways);
            purse.setFallbackActive(false, start);
        }
        std::vector<std::pair<monotonic_time, double>> spent;
        monotonic_time awayUntil {};
        for (int step = 0; step < 3000; ++step) {
            const monotonic_time now = start + milliseconds(10 * step);
            if (step % 1200 == 600 + static_cast<int>(random() % 100)) {
                awayUntil = now + milliseconds(500 + random() % 2500);
                bank = {};
                bank.setTeams({ teamWith(rate, burst) }, awayUntil);
            }
            for (auto& purse : purses) {
                purse.setFallbackActive(now < awayUntil, now);
                const double tokens = 500 + static_cast<double>(random() % 2000);
                if (now >= awayUntil) {
                    const auto grant
                        = bank.grant("atelier", tokens, purse.tokensToPrefetch("atelier", now), now);
                    purse.onGrant("atelier", grant.tokens, now);
                }
                if (purse.trySpend("atelier", tokens, now))
                    spent.emplace_back(now, tokens);
            }
        }
        double inWindow = 0;
        double most = 0;
        std::size_t oldest = 0;
        for (const auto& [at, tokens] : spent) {
            inWindow += tokens;
            while (secondsBetween(spent[oldest].first, at) > windowSeconds)
                inWindow -= spent[oldest++].second;
            most = std::max(most, inWindow);
        }
        CHECK(most <= bound);
    }
}

TEST_CASE("credit purse: nothing is asked ahead for a team that is seen less often than credit lapses")
{
    // At a hundred gateways each sees a small team every few seconds: credit held for it would lapse there.
    team_credit_cache purse(grantLife, fallbackRateFraction);
    purse.setTeams({ teamWith(100000, 100000) }, start);
    purse.setFallbackActive(false, start);
    purse.onGrant("atelier", 1500, start);
    REQUIRE(purse.trySpend("atelier", 1500, start));
    CHECK(purse.tokensToPrefetch("atelier", start + milliseconds(100)) == doctest::Approx(0));
    // A team that sends ten a second here is asked for ahead.
    monotonic_time now = start;
    for (int request = 0; request < 30; ++request) {
        now += milliseconds(100);
        purse.onGrant("atelier", 1500, now);
        REQUIRE(purse.trySpend("atelier", 1500, now));
    }
    CHECK(purse.tokensToPrefetch("atelier", now) >= 1500);
}

TEST_CASE("credit: what many gateways ask for and do not spend comes back to the team")
{
    constexpr double rate = 20000;
    constexpr int gateways = 103;
    team_token_buckets bank;
    bank.setTeams({ teamWith(rate, rate) }, start);
    std::vector<team_credit_cache> purses(gateways, team_credit_cache(grantLife, fallbackRateFraction));
    for (auto& purse : purses) {
        purse.setTeams({ teamWith(rate, rate) }, start);
        purse.setGatewayCount(gateways);
        purse.setFallbackActive(false, start);
    }
    // The team asks for nine tenths of its limit, spread over all gateways.
    std::minstd_rand random(7);
    team_token_buckets only;
    only.setTeams({ teamWith(rate, rate) }, start);
    double owed = 0;
    double served = 0;
    for (int step = 0; step < 3000; ++step) {
        const monotonic_time now = start + seconds(2) + milliseconds(10 * step);
        if (step % 31 == 0) {
            for (auto& purse : purses)
                bank.returnTokens("atelier", purse.removeIdleCredit("atelier", now), now);
        }
        if (random() % 100 >= 12)
            continue;
        team_credit_cache& purse = purses.at(random() % gateways);
        const double tokens = 500 + static_cast<double>(random() % 2000);
        // What a single bucket would serve.
        const double whole = only.grant("atelier", tokens, 0, now).tokens;
        owed += whole >= tokens ? tokens : 0;
        only.returnTokens("atelier", whole >= tokens ? 0 : whole, now);
        const auto grant = bank.grant("atelier", tokens, purse.tokensToPrefetch("atelier", now), now);
        purse.onGrant("atelier", grant.tokens, now);
        served += purse.trySpend("atelier", tokens, now) ? tokens : 0;
    }
    CHECK(served >= 0.99 * owed);
}

TEST_CASE("return schedule: refused callers come back one after another, at the rate of work")
{
    retry_after_schedule returns(milliseconds(400));
    for (int step = 0; step < 100; ++step)
        returns.onAdmitted(1, start + milliseconds(100 * step));
    const monotonic_time now = start + seconds(10);
    milliseconds last { 0 };
    for (int refusal = 0; refusal < 20; ++refusal) {
        const auto told = returns.onRefused(1, now);
        CHECK(told > last);
        CHECK(told >= milliseconds(400));
        last = told;
    }
    // About ten a second were taken on.
    CHECK(last >= milliseconds(1800));
    CHECK(last <= milliseconds(3500));
}

TEST_CASE("return schedule: without any work the time told is bounded")
{
    retry_after_schedule returns(milliseconds(400));
    milliseconds last { 0 };
    for (int refusal = 0; refusal < 200; ++refusal)
        last = returns.onRefused(1, start);
    CHECK(last <= seconds(30));
}
