#include "Record/history.h"
#include "Record/naive_fold.h"
#include "Record/state_json.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

std::vector<std::string> anyHistory()
{
    const auto step = rc::gen::container<history_step>(
        choicesPerStep, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>()));
    const auto length = *rc::gen::inRange<std::size_t>(0, 80);
    return makeHistory(*rc::gen::container<std::vector<history_step>>(length, step));
}

fleet_state foldFrom(fleet_state state, const std::vector<std::string>& texts)
{
    while (state.nextOffset < texts.size()) {
        const std::uint64_t offset = state.nextOffset;
        state = fold(std::move(state), offset, texts[offset]).state;
    }
    return state;
}

} // namespace

TEST_CASE("fold: agrees with a naive fold on every record of any history")
{
    CHECK(rc::check("fold equals naive fold", [] {
        fleet_state state;
        naive_state naive;
        std::uint64_t accepted = 0;
        const std::vector<std::string> texts = anyHistory();
        for (const std::string& text : texts) {
            const std::uint64_t offset = state.nextOffset;
            fold_result result = fold(std::move(state), offset, text);
            state = std::move(result.state);
            RC_ASSERT(result.outcome == naiveFold(naive, offset, text));
            naive_state converted = toNaiveState(state);
            converted.ids = naive.ids;
            RC_ASSERT(converted == naive);
            accepted += result.outcome == fold_outcome::Accepted ? 1 : 0;
        }
        RC_CLASSIFY(accepted * 4 > texts.size(), "over a quarter accepted");
    }));
}

TEST_CASE("fold: a snapshot of any prefix and the remaining records give the same state as the whole history")
{
    CHECK(rc::check("snapshot and tail equal the whole", [] {
        const std::vector<std::string> texts = anyHistory();
        const auto prefix = *rc::gen::inRange<std::size_t>(0, texts.size() + 1);
        const fleet_state snapshot
            = foldFrom({}, { texts.begin(), texts.begin() + static_cast<long>(prefix) });
        const fleet_state parsed = parseStateJson(nlohmann::json::parse(formatStateJson(snapshot).dump()));
        RC_ASSERT(parsed == snapshot);
        RC_ASSERT(foldFrom(parsed, texts) == foldFrom({}, texts));
    }));
}
