#include "Agree/log_client.h"
#include "Record/log_record.h"
#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// Longer than generousBound by the time until a lease expires and the planning passes that follow.
constexpr milliseconds takeoverTimeout { 60000 };
constexpr std::uint64_t memoryMb = 400;

fleet_options threeEngines()
{
    return { .engines = 3, .services = 0, .engineMemoryMb = memoryMb };
}

nlohmann::json plannerAt(fleet& fleet, std::size_t entry)
{
    return getJson(fleet.entry(entry).admin, "/admin/status").at("planner");
}

// Waits until an entry holds the planner lease, and returns its index.
std::size_t awaitPlanner(fleet& fleet, std::size_t anyEntry)
{
    nlohmann::json holder;
    REQUIRE(until([&] {
        holder = plannerAt(fleet, anyEntry).at("holder");
        return !holder.is_null();
    }));
    return holder == fleet.entry(0).name ? 0 : 1;
}

// Kills the engine on which `model-1` is pinned, with its side process.
void killHost(fleet& fleet)
{
    fleet.engineSide(0).process->kill();
    fleet.engine(0).process->kill();
}

bool isPinnedElsewhere(fleet& fleet, std::size_t entry)
{
    const nlohmann::json copies = plannerAt(fleet, entry).at("copies");
    for (const auto& copy : copies) {
        if (copy.at("model") == "model-1" && copy.at("upstream") != "engine-1" && copy.at("pinned") == true)
            return true;
    }
    return false;
}

void checkServed(fleet& fleet, std::size_t entry, milliseconds bound)
{
    CHECK(until([&] { return isPinnedElsewhere(fleet, entry); }, bound));
    CHECK(until(
        [&] { return chat(fleet.entry(entry).listen, "walkin", { .model = "model-1" }).status == 200; }));
    for (const std::size_t engine : { 1, 2 }) {
        const auto stats = getJson(fleet.engine(engine).listen, "/admin/stats");
        CHECK(stats.at("peak_memory_mb") <= memoryMb);
        CHECK(stats.at("overcommit_orders") == 0);
    }
}

} // namespace

TEST_CASE("placement: a model whose host was killed is pinned on another engine and answers, until its host "
          "is back")
{
    fleet fleet(threeEngines());
    awaitPlanner(fleet, 0);
    killHost(fleet);
    checkServed(fleet, 0, generousBound);
    CHECK(until([&] { return isPinnedElsewhere(fleet, 1); }));
    // Once the declared copy is loaded again, the other copy need not be pinned.
    fleet.restart(fleet.engine(0));
    fleet.restart(fleet.engineSide(0));
    CHECK(until([&] { return !isPinnedElsewhere(fleet, 0); }));
}

TEST_CASE("placement: another entry plans after the planning one was killed")
{
    fleet fleet(threeEngines());
    const std::size_t planner = awaitPlanner(fleet, 0);
    fleet.entry(planner).process->kill();
    killHost(fleet);
    checkServed(fleet, 1 - planner, takeoverTimeout);
    CHECK(plannerAt(fleet, 1 - planner).at("holder") == fleet.entry(1 - planner).name);
}

TEST_CASE("placement: a plan of an entry that was frozen while another took over changes nothing")
{
    fleet fleet(threeEngines());
    const std::size_t planner = awaitPlanner(fleet, 0);
    const std::size_t other = 1 - planner;
    fleet.entry(planner).process->freeze();
    const std::uint64_t staleToken = plannerAt(fleet, other).at("fence");
    killHost(fleet);
    checkServed(fleet, other, takeoverTimeout);
    const auto planned = plannerAt(fleet, other).at("copies");

    // A record that the frozen entry could have been about to append.
    log_client log(fleet.log().listen, generousBound);
    const plan_record staleRecord { staleToken, { { "model-2", "engine-3", false } },
        { { "model-1", "engine-2" } } };
    const std::uint64_t offset
        = log.append("config", { formatRecord({ makeRecordId(), defaultRecordSchema, staleRecord }) }).first;
    fleet.entry(planner).process->wake();
    for (const std::size_t entry : { planner, other }) {
        REQUIRE(until([&] {
            const auto status = tryGetJson(fleet.entry(entry).admin, "/admin/status");
            return status && status->at("offset") > offset;
        }));
        CHECK(plannerAt(fleet, entry).at("copies") == planned);
    }
    checkServed(fleet, planner, generousBound);
    CHECK(plannerAt(fleet, planner).at("holder") == fleet.entry(other).name);
}
