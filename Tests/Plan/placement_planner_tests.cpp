#include "Plan/placement_planner.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

plan_view oneModelAndTwoUpstreams()
{
    plan_view view;
    view.models = { { "draft", "", 100, 0 } };
    view.upstreams = { { "a", "zone-1", 150, true, { "draft" } }, { "b", "zone-2", 150, true, {} } };
    view.copies = { { "draft", "a", true } };
    return view;
}

} // namespace

TEST_CASE("planner: a plan that serves the demand is not changed")
{
    placement_planner planner({});
    CHECK(planner.plan(oneModelAndTwoUpstreams(), start).empty());
}

TEST_CASE("planner: a model whose pinned upstream is lost is pinned elsewhere at once")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.upstreams[0].usable = false;
    placement_planner planner({});
    const std::vector<plan_step> expected { { plan_action::Add, "draft", "b", "unreachable" },
        { plan_action::Pin, "draft", "b", "unreachable" } };
    CHECK((planner.plan(view, start) == expected));
}

TEST_CASE("planner: the copy on an upstream that leaves is removed only after another one is loaded")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.upstreams[0].usable = false;
    view.copies.push_back({ "draft", "b", true });
    placement_planner planner({});
    CHECK(planner.plan(view, start).empty());
    view.upstreams[1].resident = { "draft" };
    const std::vector<plan_step> expected { { plan_action::Remove, "draft", "a", "gone" } };
    CHECK((planner.plan(view, start) == expected));
}

TEST_CASE("planner: a model with high demand gets the copies that it needs, in another zone first")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.upstreams.push_back({ "c", "zone-1", 200, true, {} });
    view.models[0].demand = 700;
    placement_planner planner({});
    const std::vector<plan_step> expected { { plan_action::Add, "draft", "b", "hot" } };
    CHECK((planner.plan(view, start) == expected));
}

TEST_CASE("planner: copies are added only while the weight store can serve their loads")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.models[0].demand = 10000;
    for (int i = 0; i < 10; ++i)
        view.upstreams.push_back({ "more-" + std::to_string(i), "zone-3", 150, true, {} });
    placement_planner planner({ .maxLoading = 3 });
    CHECK(planner.plan(view, start).size() == 3);
}

TEST_CASE("planner: a copy is removed only after demand stayed low, and never the pinned one")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.copies.push_back({ "draft", "b", false });
    view.upstreams[1].resident = { "draft" };
    placement_planner planner({ .coolDown = seconds(120) });
    CHECK(planner.plan(view, start).empty());
    CHECK(planner.plan(view, start + seconds(119)).empty());
    const std::vector<plan_step> expected { { plan_action::Remove, "draft", "b", "cold" } };
    CHECK((planner.plan(view, start + seconds(120)) == expected));
}

TEST_CASE("planner: a copy is kept if demand rises again in time")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.copies.push_back({ "draft", "b", false });
    view.upstreams[1].resident = { "draft" };
    placement_planner planner({ .coolDown = seconds(120) });
    planner.plan(view, start);
    view.models[0].demand = 300;
    CHECK(planner.plan(view, start + seconds(60)).empty());
    view.models[0].demand = 0;
    CHECK(planner.plan(view, start + seconds(120)).empty());
}

TEST_CASE("planner: spare copies of other models are removed to make room for a model that has none")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.models.push_back({ "brief", "", 100, 0 });
    view.copies.push_back({ "draft", "b", false });
    view.upstreams[1].resident = { "draft" };
    placement_planner planner({});
    const std::vector<plan_step> expected { { plan_action::Remove, "draft", "b", "room" },
        { plan_action::Add, "brief", "b", "unreachable" },
        { plan_action::Pin, "brief", "b", "unreachable" } };
    CHECK((planner.plan(view, start) == expected));
}

TEST_CASE("planner: an adapter is placed where its base model is")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.models.push_back({ "stitch", "draft", 10, 0 });
    placement_planner planner({});
    const auto steps = planner.plan(view, start);
    REQUIRE(steps.size() == 2);
    CHECK(steps[0].upstream == "a");
}

TEST_CASE("planner: a copy that replaced a declared one is unpinned when that is loaded again, and removed "
          "when cold")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.copies = { { "draft", "a", true, true }, { "draft", "b", true } };
    view.upstreams[0].resident.clear();
    view.upstreams[1].resident = { "draft" };
    placement_planner planner({ .coolDown = seconds(120) });
    planner.plan(view, start);
    CHECK(planner.plan(view, start + seconds(120)).empty());
    view.upstreams[0].resident = { "draft" };
    const std::vector<plan_step> expected { { plan_action::Unpin, "draft", "b", "spare" },
        { plan_action::Remove, "draft", "b", "cold" } };
    CHECK((planner.plan(view, start + seconds(240)) == expected));
}

TEST_CASE(
    "planner: a declared copy is never removed, even if cold, on a lost upstream or in memory that is needed")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.models.push_back({ "brief", "", 100, 0 });
    view.copies.push_back({ "draft", "b", false, true });
    view.upstreams[1].resident = { "draft" };
    placement_planner planner({ .coolDown = seconds(120) });
    CHECK(planner.plan(view, start).empty());
    CHECK(planner.plan(view, start + seconds(120)).empty());
    view.upstreams[1].usable = false;
    CHECK(planner.plan(view, start + seconds(240)).empty());
}

TEST_CASE("planner: a model loaded on demand is kept where it is when its pinned upstream is lost")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.models.insert(view.models.begin(), { "brief", "", 100, 0 });
    view.upstreams.push_back({ "c", "zone-1", 150, true, {} });
    view.upstreams[0].usable = false;
    view.upstreams[1].resident = { "draft" };
    placement_planner planner({});
    const std::vector<plan_step> expected { { plan_action::Add, "draft", "b", "unreachable" },
        { plan_action::Pin, "draft", "b", "unreachable" }, { plan_action::Add, "brief", "c", "unreachable" },
        { plan_action::Pin, "brief", "c", "unreachable" }, { plan_action::Remove, "draft", "a", "gone" } };
    const auto steps = planner.plan(view, start);
    CHECK(std::is_permutation(steps.begin(), steps.end(), expected.begin(), expected.end()));
}

TEST_CASE("planner: a model in demand gets a second copy in another zone where memory is free, and keeps it")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.models[0].demand = 10;
    placement_planner planner({ .coolDown = seconds(120), .spreadFrom = 10 });
    const std::vector<plan_step> expected { { plan_action::Add, "draft", "b", "spread" } };
    CHECK((planner.plan(view, start) == expected));
    view.copies.push_back({ "draft", "b", false });
    view.upstreams[1].resident = { "draft" };
    view.models[0].demand = 1;
    CHECK(planner.plan(view, start + seconds(1)).empty());
    CHECK(planner.plan(view, start + seconds(200)).empty());
    view.models[0].demand = 0;
    planner.plan(view, start + seconds(300));
    CHECK(planner.plan(view, start + seconds(420)).size() == 1);
    view = oneModelAndTwoUpstreams();
    view.models[0].demand = 10;
    view.upstreams[1].zone = "zone-1";
    CHECK(planner.plan(view, start).empty());
}

TEST_CASE("planner: second copies in other zones are added only while few copies are loading")
{
    plan_view view = oneModelAndTwoUpstreams();
    view.models = { { "draft", "", 10, 10 }, { "brief", "", 10, 10 }, { "quote", "", 10, 10 } };
    view.copies = { { "draft", "a", true }, { "brief", "a", true }, { "quote", "a", true } };
    view.upstreams[0].resident = { "draft", "brief", "quote" };
    CHECK(placement_planner({ .spreadFrom = 10, .maxSpreading = 2 }).plan(view, start).size() == 2);
}
