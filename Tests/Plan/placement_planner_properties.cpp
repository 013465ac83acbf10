#include "Plan/placement_planner.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace sagesaddle;

namespace {

using testing::start;

// A random view without planned copies.
plan_view randomView()
{
    plan_view view;
    const int models = *rc::gen::inRange(1, 8);
    const int upstreams = *rc::gen::inRange(1, 6);
    for (int i = 0; i < models; ++i) {
        const bool adapter = i > 0 && *rc::gen::inRange(0, 3) == 0;
        view.models.push_back({ "m" + std::to_string(i), adapter ? "m0" : "",
            static_cast<std::uint64_t>(*rc::gen::inRange(1, 50)),
            static_cast<double>(*rc::gen::inRange(0, 3000)) });
    }
    for (int i = 0; i < upstreams; ++i) {
        plan_upstream upstream { "u" + std::to_string(i), "z" + std::to_string(i % 3),
            static_cast<std::uint64_t>(*rc::gen::inRange(10, 200)), *rc::gen::inRange(0, 4) > 0, {} };
        for (const plan_model& model : view.models) {
            if (*rc::gen::inRange(0, 3) == 0)
                upstream.resident.insert(model.name);
        }
        view.upstreams.push_back(upstream);
    }
    return view;
}

// Memory of an upstream's planned copies, including base models of adapters, computed independently of the
// planner.
std::uint64_t plannedMemory(const plan_view& view, const std::string& upstream)
{
    std::map<std::string, std::uint64_t> memory;
    const auto find = [&](const std::string& name) {
        return *std::find_if(
            view.models.begin(), view.models.end(), [&](const auto& model) { return model.name == name; });
    };
    for (const plan_copy& copy : view.copies) {
        if (copy.upstream != upstream)
            continue;
        const plan_model model = find(copy.model);
        memory[model.name] = model.memoryMb;
        if (!model.base.empty())
            memory[model.base] = find(model.base).memoryMb;
    }
    std::uint64_t sum = 0;
    for (const auto& [name, mb] : memory)
        sum += mb;
    return sum;
}

// Adds random declared copies, as far as they fit.
void addDeclaredCopies(plan_view& view)
{
    for (const plan_model& model : view.models) {
        for (const plan_upstream& upstream : view.upstreams) {
            if (*rc::gen::inRange(0, 4) > 0)
                continue;
            view.copies.push_back({ model.name, upstream.name, *rc::gen::inRange(0, 2) == 0, true });
            if (plannedMemory(view, upstream.name) > upstream.memoryMb)
                view.copies.pop_back();
        }
    }
}

void applyStep(plan_view& view, const plan_step& step)
{
    const auto same
        = [&](const plan_copy& copy) { return copy.model == step.model && copy.upstream == step.upstream; };
    const auto found = std::find_if(view.copies.begin(), view.copies.end(), same);
    if (step.action == plan_action::Add) {
        RC_ASSERT(found == view.copies.end());
        view.copies.push_back({ step.model, step.upstream, false });
        return;
    }
    RC_ASSERT(found != view.copies.end());
    RC_ASSERT_FALSE(step.action == plan_action::Remove && found->declared);
    if (step.action == plan_action::Remove)
        view.copies.erase(found);
    else
        found->pinned = step.action == plan_action::Pin;
}

const plan_upstream& upstreamOf(const plan_view& view, const std::string& name)
{
    return *std::find_if(view.upstreams.begin(), view.upstreams.end(),
        [&](const auto& upstream) { return upstream.name == name; });
}

bool isServing(const plan_view& view, const plan_copy& copy)
{
    const plan_upstream& upstream = upstreamOf(view, copy.upstream);
    return upstream.usable && upstream.resident.contains(copy.model);
}

std::map<std::string, int> servingCopies(const plan_view& view)
{
    std::map<std::string, int> count;
    for (const plan_copy& copy : view.copies)
        count[copy.model] += isServing(view, copy) ? 1 : 0;
    return count;
}

void checkMemory(const plan_view& view)
{
    for (const plan_upstream& upstream : view.upstreams) {
        if (upstream.usable)
            RC_ASSERT(plannedMemory(view, upstream.name) <= upstream.memoryMb);
    }
}

// Runs several passes, between which upstreams load some of the planned copies.
void runPasses(plan_view& view, placement_planner& planner)
{
    for (int round = 0; round < 6; ++round) {
        const auto before = servingCopies(view);
        for (const plan_step& step : planner.plan(view, start + seconds(200 * round)))
            applyStep(view, step);
        checkMemory(view);
        auto after = servingCopies(view);
        for (const auto& [model, count] : before) {
            const bool lost = count > 0 && after[model] == 0;
            RC_ASSERT_FALSE(lost);
        }
        for (plan_upstream& upstream : view.upstreams) {
            for (const plan_copy& copy : view.copies) {
                if (copy.upstream == upstream.name && *rc::gen::inRange(0, 2) == 0)
                    upstream.resident.insert(copy.model);
            }
        }
    }
}

} // namespace

TEST_CASE("planner properties: memory is never overcommitted, and a model with a loaded copy keeps one")
{
    CHECK(rc::check("plans through changes", [] {
        plan_view view = randomView();
        addDeclaredCopies(view);
        placement_planner planner({ .spreadFrom = static_cast<double>(*rc::gen::inRange(0, 1000)) });
        runPasses(view, planner);
    }));
}

TEST_CASE("planner properties: a plan that is applied and loaded needs no further steps")
{
    CHECK(rc::check("plans settle", [] {
        plan_view view = randomView();
        addDeclaredCopies(view);
        const double spreadFrom = *rc::gen::inRange(0, 1000);
        placement_planner planner({ .maxLoading = 1000, .spreadFrom = spreadFrom, .maxSpreading = 1000 });
        for (int round = 0; round < 3; ++round) {
            for (const plan_step& step : planner.plan(view, start))
                applyStep(view, step);
            for (plan_upstream& upstream : view.upstreams) {
                for (const plan_copy& copy : view.copies) {
                    if (copy.upstream == upstream.name)
                        upstream.resident.insert(copy.model);
                }
            }
        }
        RC_ASSERT(planner.plan(view, start).empty());
    }));
}
