#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/load_generator.h"
#include "Support/until.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr double rate = 400;
constexpr double burst = 400;
// Tokens of one request as the engine counts them: two of the prompt and the answer.
constexpr token_counts callSize { 2, 18 };
constexpr seconds runLength { 5 };

fleet_options limitedPlan()
{
    return { .engines = 1, .services = 0, .teamRate = rate, .teamBurst = burst };
}

load_generator::options overload(fleet& fleet, std::size_t firstEntryShare)
{
    return { .entries = { fleet.entry(0).listen, fleet.entry(1).listen },
        .team = "walkin",
        .size = callSize,
        .callers = 12,
        .firstEntryTenths = firstEntryShare };
}

void checkWithinRate(fleet& fleet, const load_generator& run)
{
    const load_result report = run.report();
    MESSAGE("admitted " << report.admitted << ", refused for the rate " << report.refusedForRate
                        << ", refused otherwise " << nlohmann::json(report.refusedOtherwise).dump()
                        << ", no answer " << report.unanswered << ", worst excess over a window "
                        << run.maxExcessTokens(rate, burst));
    CHECK(report.admitted > 0);
    CHECK(run.maxExcessTokens(rate, burst) <= 0);
    // The engine's own account also has the requests whose caller got no answer.
    const double ran
        = getJson(fleet.engine(0).listen, "/admin/stats").at("tokens_by_team").value("walkin", 0.0);
    CHECK(ran <= burst + rate * std::chrono::duration<double>(run.length()).count());
}

} // namespace

TEST_CASE("rate: two entries together keep a team to its rate, with a balancer that prefers one")
{
    fleet fleet(limitedPlan());
    load_generator run(overload(fleet, 9));
    run.stopAfter(runLength);
    checkWithinRate(fleet, run);
    // All that the team is due goes to it: the burst and the rate over the run, but for one request's worth
    // each.
    CHECK(run.report().refusedOtherwise.empty());
}

TEST_CASE("rate: an entry killed, and one started again, let no more through")
{
    fleet fleet(limitedPlan());
    load_generator run(overload(fleet, 5));
    REQUIRE(until([&] { return run.report().refusedForRate > 0; }));
    fleet.entry(1).process->kill();
    const std::uint64_t before = run.report().unanswered;
    REQUIRE(until([&] { return run.report().unanswered > before; }));
    fleet.restart(fleet.entry(1));
    run.stopAfter(runLength);
    checkWithinRate(fleet, run);
}

TEST_CASE("rate: an entry frozen and woken lets no more through")
{
    fleet fleet(limitedPlan());
    load_generator run(overload(fleet, 5));
    REQUIRE(until([&] { return run.report().refusedForRate > 0; }));
    fleet.entry(1).process->freeze();
    run.waitFor(runLength);
    fleet.entry(1).process->wake();
    run.stopAfter(seconds(2));
    checkWithinRate(fleet, run);
}

TEST_CASE("rate: while the log is away the rate holds and is still served")
{
    fleet fleet(limitedPlan());
    setFaults(fleet.log().listen, { { "away", true } });
    load_generator run(overload(fleet, 5));
    run.stopAfter(runLength);
    checkWithinRate(fleet, run);
}

TEST_CASE("rate: a team inside its rate is not refused, though all of it comes to one entry")
{
    fleet fleet(limitedPlan());
    load_generator::options options = overload(fleet, 10);
    options.callers = 2;
    // Half of the rate, in requests of 20 tokens.
    options.pause = milliseconds(200);
    load_generator run(options);
    run.stopAfter(runLength);
    checkWithinRate(fleet, run);
    CHECK(run.report().refusedForRate == 0);
}

TEST_CASE("rate: an only entry that was killed serves its teams again once it is started")
{
    fleet fleet({ .entries = 1, .engines = 1, .services = 0 });
    fleet.entry(0).process->kill();
    fleet.restart(fleet.entry(0));
    CHECK(until([&] { return statusOf(fleet.entry(0).admin, "/readyz") == 200; }));
    CHECK(until([&] { return chat(fleet.entry(0).listen, "walkin", {}).status == 200; }));
}
