#include "Record/fold.h"
#include "Record/state_json.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sagesaddle;
using nlohmann::json;

namespace {

std::string recordOf(const std::string& id, const std::string& kind, const json& body)
{
    return json { { "id", id }, { "schema", 1 }, { "kind", kind }, { "body", body } }.dump();
}

/// \return a state with three entries and `count` epochs, of which every second one leaves out entry c.
fleet_state foldEpochs(int count)
{
    json entries = json::array();
    for (const char* name : { "a", "b", "c" })
        entries.push_back({ { "name", name }, { "region", "south" }, { "zone", "z1" },
            { "peer", "127.0.0.1:1000" }, { "admin", "127.0.0.1:1001" } });
    const json change { { "base_revision", 0 }, { "operator", "olga" }, { "put", { { "entry", entries } } } };
    fold_result result = fold(fleet_state {}, 0, recordOf("change", "change", change));
    REQUIRE(result.outcome == fold_outcome::Accepted);
    for (int epoch = 0; epoch < count; ++epoch) {
        const json body { { "previous", result.state.epoch.number },
            { "members", epoch % 2 ? json { "a", "b" } : json { "a", "b", "c" } } };
        const std::uint64_t offset = result.state.nextOffset;
        result
            = fold(std::move(result.state), offset, recordOf("epoch" + std::to_string(epoch), "epoch", body));
        REQUIRE(result.outcome == fold_outcome::Accepted);
    }
    return result.state;
}

} // namespace

TEST_CASE("epoch history: the fold keeps past epochs, and the first one's predecessor has no members")
{
    const fleet_state state = foldEpochs(2);
    REQUIRE(state.pastEpochs.size() == 2);
    CHECK(state.pastEpochs[0] == membership_epoch {});
    CHECK(state.pastEpochs[1] == membership_epoch { 1, { "a", "b", "c" } });
    CHECK(state.epoch == membership_epoch { 2, { "a", "b" } });
}

TEST_CASE("epoch history: its length is bounded, and a snapshot contains it")
{
    const fleet_state state = foldEpochs(static_cast<int>(maxPastEpochs) + 5);
    CHECK(state.pastEpochs.size() == maxPastEpochs);
    CHECK(parseStateJson(formatStateJson(state)) == state);
}
