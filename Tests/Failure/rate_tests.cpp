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
constexpr token_counts requestTokens { 2, 18 };
constexpr seconds runLength { 5 };

fleet_options limitedPlan()
{
    return { .engines = 1, .services = 0, .teamRate = rate, .teamBurst = burst };
}

load_generator::options overload(fleet& fleet, std::size_t firstEntryShare)
{
    return { .entries = { fleet.entry(0).listen, fleet.entry(1).listen },
        .team = "walkin",
        .tokens = requestTokens,
        .callers = 12,
        .firstEntryTenths = firstEntryShare };
}

void checkWithinRate(fleet& fleet, const load_generator& load)
{
    const load_result result = load.result();
    MESSAGE("admitted " << result.admitted << ", refused for the rate " << result.refusedForRate
                        << ", refused otherwise " << nlohmann::json(result.refusedOtherwise).dump()
                        << ", no answer " << result.unanswered << ", worst excess over a window "
                        << load.maxExcessTokens(rate, burst));
    CHECK(result.admitted > 0);
    CHECK(load.maxExcessTokens(rate, burst) <= 0);
    // The engine's own account also has the requests whose caller got no answer.
    const double ran
        = getJson(fleet.engine(0).listen, "/admin/stats").at("tokens_by_team").value("walkin", 0.0);
    CHECK(ran <= burst + rate * std::chrono::duration<double>(load.duration()).count());
}

} // namespace

TEST_CASE("rate: two entries together keep a team to its rate, with a balancer that prefers one")
{
    fleet fleet(limitedPlan());
    load_generator load(overload(fleet, 9));
    load.stopAfter(runLength);
    checkWithinRate(fleet, load);
    // All that the team is due goes to it: the burst and the rate over the run, but for one request's worth
    // each.
    CHECK(load.result().refusedOtherwise.empty());
}

TEST_CASE("rate: an entry killed, and one started again, let no more through")
{
    fleet fleet(limitedPlan());
    load_generator load(overload(fleet, 5));
    REQUIRE(until([&] { return load.result().refusedForRate > 0; }));
    fleet.entry(1).process->kill();
    const std::uint64_t before = load.result().unanswered;
    REQUIRE(until([&] { return load.result().unanswered > before; }));
    fleet.restart(fleet.entry(1));
    load.stopAfter(runLength);
    checkWithinRate(fleet, load);
}

TEST_CASE("rate: an entry frozen and woken lets no more through")
{
    fleet fleet(limitedPlan());
    load_generator load(overload(fleet, 5));
    REQUIRE(until([&] { return load.result().refusedForRate > 0; }));
    fleet.entry(1).process->freeze();
    load.waitFor(runLength);
    fleet.entry(1).process->wake();
    load.stopAfter(seconds(2));
    checkWithinRate(fleet, load);
}

TEST_CASE("rate: while the log is away the rate holds and is still served")
{
    fleet fleet(limitedPlan());
    setFaults(fleet.log().listen, { { "away", true } });
    load_generator load(overload(fleet, 5));
    load.stopAfter(runLength);
    checkWithinRate(fleet, load);
}

TEST_CASE("rate: a team inside its rate is not refused, though all of it comes to one entry")
{
    fleet fleet(limitedPlan());
    load_generator::options options = overload(fleet, 10);
    options.callers = 2;
    // Half of the rate, in requests of 20 tokens.
    options.pause = milliseconds(200);
    load_generator load(options);
    load.stopAfter(runLength);
    checkWithinRate(fleet, load);
    CHECK(load.result().refusedForRate == 0);
}

TEST_CASE("rate: an only entry that was killed serves its teams again once it is started")
{
    fleet fleet({ .entries = 1, .engines = 1, .services = 0 });
    fleet.entry(0).process->kill();
    fleet.restart(fleet.entry(0));
    CHECK(until([&] { return statusOf(fleet.entry(0).admin, "/readyz") == 200; }));
    CHECK(until([&] { return chat(fleet.entry(0).listen, "walkin", {}).status == 200; }));
}
