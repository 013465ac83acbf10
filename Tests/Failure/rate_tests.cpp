#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/load_generator.h"
#include "Support/until.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr double tokensPerSecond = 400;
constexpr double burstTokens = 400;
// Tokens of one request as the engine counts them: two of the prompt and the answer.
constexpr token_counts requestTokens { 2, 18 };
constexpr seconds runDuration { 5 };

fleet_options limitedOptions()
{
    return { .engines = 1, .services = 0, .teamRate = tokensPerSecond, .teamBurst = burstTokens };
}

load_generator::options overloadOptions(fleet& fleet, std::size_t firstEntryTenths)
{
    return { .entries = { fleet.entry(0).listen, fleet.entry(1).listen },
        .team = "walkin",
        .tokens = requestTokens,
        .callers = 12,
        .firstEntryTenths = firstEntryTenths };
}

void checkWithinRate(fleet& fleet, const load_generator& load)
{
    const load_result result = load.result();
    MESSAGE("admitted " << result.admitted << ", refused for the rate " << result.refusedForRate
                        << ", refused otherwise " << nlohmann::json(result.refusedOtherwise).dump()
                        << ", no answer " << result.unanswered << ", worst excess over a window, in tokens "
                        << load.maxExcessTokens(tokensPerSecond, burstTokens));
    CHECK(result.admitted > 0);
    CHECK(load.maxExcessTokens(tokensPerSecond, burstTokens) <= 0);
    // The engine's counter also contains the tokens of requests whose callers got no answer.
    const double executedTokens
        = getJson(fleet.engine(0).listen, "/admin/stats").at("tokens_by_team").value("walkin", 0.0);
    CHECK(executedTokens
        <= burstTokens + tokensPerSecond * std::chrono::duration<double>(load.duration()).count());
}

} // namespace

TEST_CASE("rate: two entries together keep a team to its rate, with a balancer that prefers one")
{
    fleet fleet(limitedOptions());
    load_generator load(overloadOptions(fleet, 9));
    load.stopAfter(runDuration);
    checkWithinRate(fleet, load);
    // A team is due the whole burst and its rate over the run, each but for up to the tokens of one request.
    // Checked here is that nothing but the rate refused its requests.
    CHECK(load.result().refusedOtherwise.empty());
}

TEST_CASE("rate: an entry that is killed and restarted does not let a team exceed its rate")
{
    fleet fleet(limitedOptions());
    load_generator load(overloadOptions(fleet, 5));
    REQUIRE(until([&] { return load.result().refusedForRate > 0; }));
    fleet.entry(1).process->kill();
    const std::uint64_t unansweredBefore = load.result().unanswered;
    REQUIRE(until([&] { return load.result().unanswered > unansweredBefore; }));
    fleet.restart(fleet.entry(1));
    load.stopAfter(runDuration);
    checkWithinRate(fleet, load);
}

TEST_CASE("rate: an entry that is frozen and woken does not let a team exceed its rate")
{
    fleet fleet(limitedOptions());
    load_generator load(overloadOptions(fleet, 5));
    REQUIRE(until([&] { return load.result().refusedForRate > 0; }));
    fleet.entry(1).process->freeze();
    load.waitFor(runDuration);
    fleet.entry(1).process->wake();
    load.stopAfter(seconds(2));
    checkWithinRate(fleet, load);
}

TEST_CASE("rate: while the log is unavailable, a team is admitted within its rate")
{
    fleet fleet(limitedOptions());
    setFaults(fleet.log().listen, { { "away", true } });
    load_generator load(overloadOptions(fleet, 5));
    load.stopAfter(runDuration);
    checkWithinRate(fleet, load);
}

TEST_CASE("rate: a team within its rate is not refused, although one entry gets all its requests")
{
    fleet fleet(limitedOptions());
    load_generator::options options = overloadOptions(fleet, 10);
    options.callers = 2;
    // Two callers with at most 5 requests a second each, of 20 tokens: half of the rate.
    options.pause = milliseconds(200);
    load_generator load(options);
    load.stopAfter(runDuration);
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
