#include "Fleet/loaded_models_history.h"

#include <doctest/doctest.h>
#include <random>

using namespace sagesaddle;

namespace {

void applyUpdate(std::set<std::string>& known, const loaded_models_update& update)
{
    if (!update.isDelta)
        known.clear();
    known.insert(update.loaded.begin(), update.loaded.end());
    for (const auto& name : update.unloaded)
        known.erase(name);
}

} // namespace

TEST_CASE("loaded models history: a delta has only the names that changed")
{
    loaded_models_history history;
    history.setLoaded({ "m1", "m1/a1", "m1/a2", "m1/a3" }, 1);
    history.setLoaded({ "m1", "m1/a1", "m1/a2", "m1/a4" }, 2);
    CHECK(history.updateSince(1) == loaded_models_update { { "m1/a4" }, { "m1/a3" }, true });
    CHECK(history.updateSince(2) == loaded_models_update { {}, {}, true });
}

TEST_CASE("loaded models history: a receiver without an update, or with one too old, gets a whole update")
{
    loaded_models_history history;
    CHECK(history.updateSince(0) == loaded_models_update {});
    history.setLoaded({ "m1", "m1/a0" }, 5);
    CHECK(history.updateSince(0) == loaded_models_update { { "m1", "m1/a0" }, {}, false });
    CHECK(history.updateSince(4) == loaded_models_update { { "m1", "m1/a0" }, {}, false });
    for (std::uint64_t stamp = 6; stamp < 30; ++stamp)
        history.setLoaded({ "m1", "m1/a" + std::to_string(stamp) }, stamp);
    CHECK(history.updateSince(28) == loaded_models_update { { "m1/a29" }, { "m1/a28" }, true });
    // Unloads that this receiver was not sent are no longer remembered.
    CHECK(history.updateSince(5) == loaded_models_update { { "m1", "m1/a29" }, {}, false });
}

TEST_CASE("loaded models history: gateways that are updated at different times all know what is loaded")
{
    std::minstd_rand random(7);
    loaded_models_history history;
    std::set<std::string> loaded;
    struct gateway {
        std::set<std::string> known;
        std::uint64_t sentStamp { 0 };
    };
    std::vector<gateway> gateways(5);
    for (std::uint64_t stamp = 1; stamp <= 2000; ++stamp) {
        const std::string name = "m" + std::to_string(random() % 40);
        if (loaded.erase(name) == 0)
            loaded.insert(name);
        history.setLoaded(loaded, stamp);
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            // The last ones are updated rarely: more is unloaded in between than is remembered.
            if (random() % (1 + i * 15) != 0)
                continue;
            applyUpdate(gateways[i].known, history.updateSince(gateways[i].sentStamp));
            gateways[i].sentStamp = stamp;
            REQUIRE(gateways[i].known == loaded);
        }
    }
}
