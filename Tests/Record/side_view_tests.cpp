#include "Record/record_error.h"
#include "Record/side_view.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

fleet_state smallFleet()
{
    fleet_state state;
    state.nextOffset = 5;
    for (const char* name : { "u", "v" }) {
        state.upstreams[name]
            = { name, upstream_kind::Engine, "r", "z", { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, "", 1000 };
        state.placements[{ "m", name }] = { "m", name, true };
    }
    state.models["m"] = { "m", 600, "" };
    return state;
}

} // namespace

TEST_CASE("side view: contains the upstream's own placements and the models")
{
    const auto view = makeSideView(smallFleet(), "u");
    REQUIRE(view);
    CHECK(view->offset == 5);
    CHECK(view->placements == std::vector<placement> { { "m", "u", true } });
    CHECK(view->models.contains("m"));
    CHECK_FALSE(makeSideView(smallFleet(), "w"));
}

TEST_CASE("side view: parsing the formatted text gives the same view")
{
    const auto view = makeSideView(smallFleet(), "u");
    REQUIRE(view);
    CHECK(parseSideView(formatSideView(*view)) == *view);
}

TEST_CASE("side view: an invalid text is rejected with a reason")
{
    CHECK_THROWS_WITH_AS(parseSideView("[]"), doctest::Contains("view"), record_error);
    CHECK_THROWS_WITH_AS(parseSideView(R"({"offset":1})"), doctest::Contains("upstream"), record_error);
}
