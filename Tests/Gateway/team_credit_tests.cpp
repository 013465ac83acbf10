#include "Gateway/team_credit_simulation.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

struct team_limit {
    double rate;
    double burst;
};

struct history_totals {
    int runs { 0 };
    double use { 0 };
    int grantsBeyondLease { 0 };
};

/// Compares each window of a history with the platform's bound: a tenth more than rate and burst, and 10,000
/// tokens.
void checkHistory(team_credit_simulation::settings value, const team_limit& limit, history_totals& totals)
{
    CAPTURE(limit.rate);
    CAPTURE(limit.burst);
    CAPTURE(value.gateways);
    CAPTURE(value.seed);
    value.ratePerSecond = limit.rate;
    value.burst = limit.burst;
    value.demand = limit.rate * 8;
    team_credit_simulation simulation(value);
    simulation.run();
    const double windowSeconds = std::chrono::duration<double>(team_credit_simulation::window).count();
    CHECK(simulation.mostInWindow() <= (limit.rate * windowSeconds + limit.burst) * 1.1 + 10000);
    totals.runs += 1;
    totals.use += simulation.use();
    totals.grantsBeyondLease += simulation.grantsBeyondLease();
}

/// \param minUse smallest part of the rate that the team must get on average, with demand in half of the time
void checkQuota(team_credit_simulation::settings value, double minUse)
{
    history_totals totals;
    for (const team_limit limit :
        { team_limit { 10000, 10000 }, { 50000, 25000 }, { 2000, 60000 }, { 100000, 200000 } }) {
        for (const int gateways : { 1, 4, 30 }) {
            for (unsigned seed = 1; seed <= 8; ++seed) {
                value.gateways = gateways;
                value.seed = seed;
                checkHistory(value, limit, totals);
            }
        }
    }
    CHECK(totals.use / totals.runs >= minUse);
    CHECK((totals.grantsBeyondLease > 0) == value.silencesStore);
}

} // namespace

// These guard against credit that is spent twice while coordinators change.
TEST_CASE("team credit: no window exceeds the quota without faults, and the team gets its rate")
{
    checkQuota({}, 0.6);
}

TEST_CASE("team credit: no window exceeds the quota while coordinators are killed and suspended")
{
    team_credit_simulation::settings value;
    value.killsCoordinators = true;
    checkQuota(value, 0.5);
}

TEST_CASE("team credit: no window exceeds the quota while all gateways are killed and start again")
{
    team_credit_simulation::settings value;
    value.killsAll = true;
    checkQuota(value, 0.5);
}

TEST_CASE("team credit: no window exceeds the quota while the store falls silent")
{
    team_credit_simulation::settings value;
    value.silencesStore = true;
    checkQuota(value, 0.5);
}

TEST_CASE("team credit: no window exceeds the quota while processes and the store fail together")
{
    team_credit_simulation::settings value;
    value.killsCoordinators = value.killsAll = value.silencesStore = true;
    checkQuota(value, 0.3);
}
