#include "Entry/plan_view_builder.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

// Model `draft` declared on engine `a`; engine `b` is empty.
fleet_state twoEngines()
{
    fleet_state state;
    state.models["draft"] = { "draft", 100, "" };
    for (const char* name : { "a", "b" }) {
        state.upstreams[name].name = name;
        state.upstreams[name].memoryMb = 150;
    }
    state.placements[{ "draft", "a" }] = { "draft", "a", false };
    return state;
}

plan_view_builder::load_report_map loadReportsOf(double tokensPerSecond)
{
    plan_view_builder::load_report_map loadReports;
    for (const char* name : { "a", "b" }) {
        loadReports[name].upstream = name;
        loadReports[name].residentModels = { "draft" };
        loadReports[name].modelUses = { { "draft", tokensPerSecond } };
    }
    return loadReports;
}

struct connected_fleet {
    plan_view_builder viewBuilder { {} };
    fleet_state state = twoEngines();
    plan_view_builder::load_report_map loadReports = loadReportsOf(50);

    connected_fleet()
    {
        for (const char* name : { "a", "b" })
            viewBuilder.onLink(name, true, start);
    }
    bool isUsable(std::size_t index, monotonic_time now)
    {
        return viewBuilder.makeView(state, loadReports, now).upstreams.at(index).usable;
    }
};

} // namespace

TEST_CASE("plan view builder: an upstream is unusable only after it was disconnected for a while")
{
    connected_fleet fleet;
    fleet.viewBuilder.onLink("a", false, start + seconds(1));
    fleet.viewBuilder.onLink("a", false, start + seconds(2));
    CHECK(fleet.isUsable(0, start + milliseconds(2999)));
    CHECK_FALSE(fleet.isUsable(0, start + seconds(3)));
    fleet.viewBuilder.onLink("a", true, start + seconds(4));
    CHECK(fleet.isUsable(0, start + seconds(4)));
}

TEST_CASE(
    "plan view builder: an upstream that leaves, drains or whose engine report is old is unusable at once")
{
    connected_fleet fleet;
    fleet.viewBuilder.onLeaving("b");
    CHECK_FALSE(fleet.isUsable(1, start));
    const auto gone = fleet.state.upstreams.extract("b");
    CHECK(fleet.viewBuilder.makeView(fleet.state, fleet.loadReports, start).models.at(0).demand == 50);
    fleet.state.upstreams[gone.key()] = gone.mapped();
    CHECK(fleet.isUsable(1, start));
    fleet.loadReports["a"].reportAgeMs = 4999;
    CHECK(fleet.isUsable(0, start));
    fleet.loadReports["a"].reportAgeMs = 5000;
    CHECK_FALSE(fleet.isUsable(0, start));
    fleet.loadReports["a"].reportAgeMs = 0;
    fleet.loadReports["a"].draining = true;
    CHECK_FALSE(fleet.isUsable(0, start));
    fleet.loadReports["a"].draining = false;
    fleet.state.upstreams["a"].leaving = true;
    CHECK_FALSE(fleet.isUsable(0, start));
}

TEST_CASE("plan view builder: at the start it waits for connections and reports, but not forever")
{
    connected_fleet fleet;
    CHECK(fleet.viewBuilder.isComplete(fleet.state, fleet.loadReports, start));
    fleet.loadReports.erase("b");
    CHECK_FALSE(fleet.viewBuilder.isComplete(fleet.state, fleet.loadReports, start));
    CHECK_FALSE(fleet.viewBuilder.isComplete(fleet.state, fleet.loadReports, start + milliseconds(4999)));
    CHECK(fleet.viewBuilder.isComplete(fleet.state, fleet.loadReports, start + seconds(5)));
}

TEST_CASE("plan view builder: demand is summed over connected upstreams, and declared copies are marked")
{
    connected_fleet fleet;
    fleet.state.plan[{ "draft", "b" }] = { "draft", "b", true };
    const plan_view view = fleet.viewBuilder.makeView(fleet.state, fleet.loadReports, start);
    CHECK(view.models.at(0).demand == 100);
    const std::vector<plan_copy> copies { { "draft", "a", false, true }, { "draft", "b", true, false } };
    CHECK((view.copies == copies));
    fleet.viewBuilder.onLink("b", false, start);
    CHECK(fleet.viewBuilder.makeView(fleet.state, fleet.loadReports, start).models.at(0).demand == 50);
}

TEST_CASE("plan view builder: steps become one record of the changes beyond the declared copies")
{
    fleet_state state = twoEngines();
    state.plan[{ "brief", "b" }] = { "brief", "b", false };
    const plan_record record = makePlanRecord(state, 7,
        { { plan_action::Pin, "draft", "a", "unreachable" }, { plan_action::Remove, "brief", "b", "room" },
            { plan_action::Add, "draft", "b", "hot" } });
    CHECK(record.fence == 7);
    const std::vector<placement> add { { "draft", "a", true }, { "draft", "b", false } };
    CHECK((record.add == add));
    CHECK((record.remove == std::vector<std::pair<std::string, std::string>> { { "brief", "b" } }));
    CHECK_FALSE(isPlanApplied(state, record));
    state.plan = { { { "draft", "a" }, add[0] }, { { "draft", "b" }, add[1] } };
    CHECK(isPlanApplied(state, record));
    const plan_record unpinned = makePlanRecord(state, 7, { { plan_action::Unpin, "draft", "a", "spare" } });
    CHECK(unpinned.add.empty());
    CHECK(unpinned.remove.size() == 1);
}
