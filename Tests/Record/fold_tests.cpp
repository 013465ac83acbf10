#include "Record/fold.h"
#include "Record/log_record.h"
#include "Record/state_json.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sagesaddle;

namespace {

const std::string hash(64, 'a');

std::string change(const std::string& id, std::uint64_t base, std::vector<declared_object> put,
    std::vector<object_ref> remove = {})
{
    return formatRecord({ id, 2, change_record { base, "ann", std::move(put), std::move(remove) } });
}

// Folds the records into an empty state and returns the result of the last one.
fold_result foldAll(const std::vector<std::string>& texts)
{
    fold_result result;
    for (const std::string& text : texts) {
        const std::uint64_t offset = result.state.nextOffset;
        result = fold(std::move(result.state), offset, text);
    }
    return result;
}

declared_object gold()
{
    return { team { "gold", 1, 1 }, {} };
}

declared_object entry(const std::string& name)
{
    return { entry_config { name, "r", "z", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, {} };
}

declared_object engine(std::uint64_t memoryMb)
{
    upstream value { "u", upstream_kind::Engine, "r", "z", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } };
    value.memoryMb = memoryMb;
    return { value, {} };
}

std::string plan(std::uint64_t fence, std::vector<placement> add,
    std::vector<std::pair<std::string, std::string>> remove = {})
{
    static int count = 0;
    return formatRecord(
        { "plan-" + std::to_string(++count), 2, plan_record { fence, std::move(add), std::move(remove) } });
}

// Records of models `m` and `n` of 600 MB, engine `u` of 1000 MB, and the planner lease of `entry-a`; then
// `more`.
std::vector<std::string> fleetWithPlanner(const std::vector<std::string>& more = {})
{
    std::vector<std::string> texts { change("a", 0,
                                         { entry("entry-a"), entry("entry-b"), engine(1000),
                                             { model { "m", 600, "" }, {} },
                                             { model { "n", 600, "" }, {} } }),
        formatRecord({ "l", 2, lease_record { plannerDuty, "entry-a", 0 } }) };
    texts.insert(texts.end(), more.begin(), more.end());
    return texts;
}

} // namespace

TEST_CASE("fold: of two racing changes exactly one is accepted")
{
    const fold_result result
        = foldAll({ change("a", 0, { gold() }), change("b", 0, { { team { "tin", 1, 1 }, {} } }) });
    CHECK(result.outcome == fold_outcome::Rejected);
    CHECK(result.reason.find("revision 0") != std::string::npos);
    CHECK(result.state.revision == 1);
    CHECK(result.state.teams.size() == 1);
    CHECK(result.state.nextOffset == 2);
}

TEST_CASE("fold: a repeated id counts once")
{
    const std::string text = change("a", 0, { gold() });
    const fold_result result = foldAll({ text, text });
    CHECK(result.outcome == fold_outcome::Duplicate);
    CHECK(result.state.revision == 1);
}

TEST_CASE("fold: an id is kept for at least idRetentionOffsets offsets and removed later")
{
    std::vector<std::string> texts { change("first", 0, { gold() }) };
    for (std::uint64_t index = 1; index <= 2 * idRetentionOffsets; ++index)
        texts.push_back(change("id" + std::to_string(index), 99, {}));
    const fold_result result = foldAll(texts);
    CHECK_FALSE(result.state.recentIds.contains("first"));
    CHECK(result.state.recentIds.size() >= idRetentionOffsets);
    CHECK(result.state.recentIds.size() <= 2 * idRetentionOffsets);
}

TEST_CASE("fold: a change that leaves a dangling reference is rejected")
{
    const declared_object key { api_key { "k", "gold", hash }, {} };
    CHECK(foldAll({ change("a", 0, { key }) }).outcome == fold_outcome::Rejected);
    CHECK(foldAll({ change("a", 0, { key, gold() }) }).outcome == fold_outcome::Accepted);
    const fold_result removal
        = foldAll({ change("a", 0, { key, gold() }), change("b", 1, {}, { { object_kind::Team, "gold" } }) });
    CHECK(removal.outcome == fold_outcome::Rejected);
    CHECK(removal.reason.find("key \"k\" needs team \"gold\"") != std::string::npos);
}

TEST_CASE("fold: placements beyond an upstream's memory are rejected")
{
    const std::vector<declared_object> put { { model { "m", 600, "" }, {} }, { model { "n", 600, "" }, {} },
        { placement { "m", "u", true }, {} }, { placement { "n", "u", true }, {} } };
    auto small = put;
    small.push_back(engine(1000));
    auto large = put;
    large.push_back(engine(1200));
    CHECK(foldAll({ change("a", 0, small) }).outcome == fold_outcome::Rejected);
    CHECK(foldAll({ change("a", 0, large) }).outcome == fold_outcome::Accepted);
    CHECK(foldAll({ change("a", 0, large), change("b", 1, { engine(1100) }) }).outcome
        == fold_outcome::Rejected);
}

TEST_CASE("fold: a withdrawn key stays withdrawn")
{
    const declared_object valid { api_key { "k", "gold", hash, false }, {} };
    const declared_object withdrawn { api_key { "k", "gold", hash, true }, {} };
    const fold_result result = foldAll(
        { change("a", 0, { gold(), valid }), change("b", 1, { withdrawn }), change("c", 2, { valid }) });
    CHECK(result.outcome == fold_outcome::Rejected);
    CHECK(result.state.keys.at(hash).withdrawn);
}

TEST_CASE("fold: an epoch must follow the current one and name entries")
{
    const std::string first = formatRecord({ "e", 2, epoch_record { 0, { "entry-b", "entry-a" } } });
    const std::vector<std::string> entries { change("a", 0, { entry("entry-a"), entry("entry-b") }) };
    CHECK(foldAll({ first }).outcome == fold_outcome::Rejected);
    const fold_result accepted = foldAll({ entries[0], first });
    CHECK(accepted.state.epoch == membership_epoch { 1, { "entry-a", "entry-b" } });
    const std::string stale = formatRecord({ "f", 2, epoch_record { 0, { "entry-a" } } });
    CHECK(foldAll({ entries[0], first, stale }).outcome == fold_outcome::Rejected);
}

TEST_CASE("fold: an epoch may name its members' runs, and a snapshot carries them")
{
    const std::string entries = change("a", 0, { entry("entry-a"), entry("entry-b") });
    const auto epoch = [](const member_run_ids& runs) {
        return formatRecord({ "e", epochRunsSchema, epoch_record { 0, { "entry-a", "entry-b" }, runs } });
    };
    const fold_result accepted = foldAll({ entries, epoch({ { "entry-a", 7 } }) });
    CHECK(accepted.state.epoch == membership_epoch { 1, { "entry-a", "entry-b" }, { { "entry-a", 7 } } });
    CHECK(parseStateJson(formatStateJson(accepted.state)) == accepted.state);
    CHECK(foldAll({ entries, epoch({ { "entry-c", 7 } }) }).outcome == fold_outcome::Malformed);
    CHECK(foldAll({ entries, epoch({ { "entry-a", 0 } }) }).outcome == fold_outcome::Malformed);
}

TEST_CASE("fold: a lease is granted only against the current fence")
{
    const std::string entries = change("a", 0, { entry("entry-a"), entry("entry-b") });
    const std::string first = formatRecord({ "l", 2, lease_record { "plan", "entry-a", 0 } });
    const std::string second = formatRecord({ "m", 2, lease_record { "plan", "entry-b", 0 } });
    const std::string third = formatRecord({ "n", 2, lease_record { "plan", "entry-b", 1 } });
    CHECK(foldAll({ entries, first, second }).state.leases.at("plan") == lease_grant { "entry-a", 1 });
    CHECK(foldAll({ entries, first, second, third }).state.leases.at("plan") == lease_grant { "entry-b", 3 });
}

TEST_CASE("fold: a plan is accepted only under the planner's current fence")
{
    const fold_result before = foldAll(fleetWithPlanner());
    const std::uint64_t fence = before.state.leases.at(plannerDuty).fence;
    const placement copy { "m", "u", true };
    const fold_result accepted = foldAll(fleetWithPlanner({ plan(fence, { copy }) }));
    CHECK(accepted.outcome == fold_outcome::Accepted);
    CHECK(accepted.state.plan.at({ "m", "u" }) == copy);
    CHECK(accepted.state.placements.empty());
    CHECK(accepted.state.revision == before.state.revision);
    CHECK(foldAll(fleetWithPlanner({ plan(fence, { copy }), plan(fence, {}, { { "m", "u" } }) }))
              .state.plan.empty());

    const std::string nextLease = formatRecord({ "l2", 2, lease_record { plannerDuty, "entry-b", fence } });
    const fold_result rejected = foldAll(fleetWithPlanner({ nextLease, plan(fence, { copy }) }));
    CHECK(rejected.outcome == fold_outcome::Rejected);
    CHECK(rejected.reason.find("of \"entry-b\"") != std::string::npos);
    CHECK(rejected.state.plan.empty());
    CHECK(foldAll({ plan(0, {}) }).outcome == fold_outcome::Rejected);
}

TEST_CASE("fold: a plan that names what does not exist or overcommits an upstream is rejected")
{
    const std::uint64_t fence = foldAll(fleetWithPlanner()).state.leases.at(plannerDuty).fence;
    const auto reasonOf = [&](const std::vector<placement>& add) {
        return foldAll(fleetWithPlanner({ plan(fence, add) })).reason;
    };
    CHECK(reasonOf({ { "x", "u", true } }).find("model \"x\"") != std::string::npos);
    CHECK(reasonOf({ { "m", "x", true } }).find("upstream \"x\"") != std::string::npos);
    CHECK(reasonOf({ { "m", "u", true }, { "n", "u", false } }).find("1000 MB") != std::string::npos);
}

TEST_CASE(
    "fold: planned copies are removed with their model or upstream, or where declared ones need the memory")
{
    const fold_result before = foldAll(fleetWithPlanner());
    const std::string planned = plan(before.state.leases.at(plannerDuty).fence, { { "m", "u", true } });
    const auto planAfter = [&](std::vector<declared_object> put, std::vector<object_ref> remove) {
        const fold_result result = foldAll(fleetWithPlanner(
            { planned, change("c", before.state.revision, std::move(put), std::move(remove)) }));
        CHECK(result.outcome == fold_outcome::Accepted);
        return result.state.plan;
    };
    CHECK(planAfter({ gold() }, {}).size() == 1);
    CHECK(planAfter({}, { { object_kind::Model, "m" } }).empty());
    CHECK(planAfter({}, { { object_kind::Upstream, "u" } }).empty());
    CHECK(planAfter({ { placement { "n", "u", true }, {} } }, {}).empty());
    CHECK(planAfter({ { placement { "m", "u", false }, {} } }, {}).size() == 1);
}

TEST_CASE("fold: a copy is pinned where its declaration or the plan says so")
{
    fleet_state state;
    state.placements[{ "m", "u" }] = { "m", "u", false };
    state.placements[{ "n", "u" }] = { "n", "u", true };
    state.plan[{ "m", "u" }] = { "m", "u", true };
    state.plan[{ "n", "u" }] = { "n", "u", false };
    state.plan[{ "m", "v" }] = { "m", "v", false };
    const placement_map copies = effectivePlacements(state);
    CHECK(copies.size() == 3);
    CHECK(copies.at({ "m", "u" }).pinned);
    CHECK(copies.at({ "n", "u" }).pinned);
    CHECK_FALSE(copies.at({ "m", "v" }).pinned);
}

TEST_CASE("fold: a snapshot of an older program, which has no plan, is read")
{
    nlohmann::json document = formatStateJson(foldAll(fleetWithPlanner()).state);
    document.erase("plan");
    CHECK(parseStateJson(document) == foldAll(fleetWithPlanner()).state);
}

TEST_CASE("fold: an unknown kind and a malformed text are reported and change nothing")
{
    const fold_result unknown = foldAll({ R"({"id":"a","schema":9,"kind":"quota","body":{}})" });
    CHECK(unknown.outcome == fold_outcome::UnknownKind);
    CHECK(unknown.state.teams.empty());
    const fold_result malformed = foldAll({ "{" });
    CHECK(malformed.outcome == fold_outcome::Malformed);
    CHECK(malformed.state.nextOffset == 1);
}

TEST_CASE("fold: a newer schema's unknown field is kept, an unknown field of a known schema is rejected")
{
    const auto record = [](const std::string& schema) {
        return R"({"id":"a","schema":)" + schema
            + R"(,"kind":"change","body":{"base_revision":0,"operator":"ann","put":{"team":[{"name":"gold",)"
              R"("rate_tokens_per_s":1,"burst_tokens":1,"colour":"red"}]}}})";
    };
    const fold_result newer = foldAll({ record("3") });
    CHECK(newer.outcome == fold_outcome::Accepted);
    CHECK(newer.state.unknownFields.at("team \"gold\"") == R"({"colour":"red"})");
    CHECK(foldAll({ record("2") }).outcome == fold_outcome::Malformed);
}

TEST_CASE("fold: records are folded in the order of their offsets only")
{
    CHECK_THROWS_AS(fold({}, 1, "{}"), std::invalid_argument);
}
