#include "Fleet/loaded_models_history.h"

#include <doctest/doctest.h>
#include <random>

using namespace sagesaddle;

namespace {

void apply(std::set<std::string>& known, const loaded_models_update& change)
{
    if (!change.isDelta)
        known.clear();
    known.insert(change.loaded.begin(), change.loaded.end());
    for (const auto& name : change.unloaded)
        known.erase(name);
}

} // namespace

TEST_CASE("held changes: an order is told as the one name that it changed")
{
    loaded_models_history tested;
    tested.setLoaded({ "m1", "m1/a1", "m1/a2", "m1/a3" }, 1);
    tested.setLoaded({ "m1", "m1/a1", "m1/a2", "m1/a4" }, 2);
    CHECK(tested.updateSince(1) == loaded_models_update { { "m1/a4" }, { "m1/a3" }, true });
    CHECK(tested.updateSince(2) == loaded_models_update { {}, {}, true });
}

TEST_CASE("held changes: who was told nothing, or too little, is told everything")
{
    loaded_models_history tested;
    CHECK(tested.updateSince(0) == loaded_models_update {});
    tested.setLoaded({ "m1", "m1/a0" }, 5);
    CHECK(tested.updateSince(0) == loaded_models_update { { "m1", "m1/a0" }, {}, false });
    CHECK(tested.updateSince(4) == loaded_models_update { { "m1", "m1/a0" }, {}, false });
    for (std::uint64_t stamp = 6; stamp < 30; ++stamp)
        tested.setLoaded({ "m1", "m1/a" + std::to_string(stamp) }, stamp);
    CHECK(tested.updateSince(28) == loaded_models_update { { "m1/a29" }, { "m1/a28" }, true });
    // What it was told and has lost is forgotten by now.
    CHECK(tested.updateSince(5) == loaded_models_update { { "m1", "m1/a29" }, {}, false });
}

TEST_CASE("held changes: gateways that hear of an engine at times of their own know what it holds")
{
    std::minstd_rand random(7);
    loaded_models_history tested;
    std::set<std::string> held;
    struct gateway {
        std::set<std::string> known;
        std::uint64_t told { 0 };
    };
    std::vector<gateway> gateways(5);
    for (std::uint64_t stamp = 1; stamp <= 2000; ++stamp) {
        const std::string name = "m" + std::to_string(random() % 40);
        if (held.erase(name) == 0)
            held.insert(name);
        tested.setLoaded(held, stamp);
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            // The last ones hear seldom: more is dropped meanwhile than is remembered.
            if (random() % (1 + i * 15) != 0)
                continue;
            apply(gateways[i].known, tested.updateSince(gateways[i].told));
            gateways[i].told = stamp;
            REQUIRE(gateways[i].known == held);
        }
    }
}
