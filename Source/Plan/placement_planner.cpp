#include "Plan/placement_planner.h"

#include "Plan/placement_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sagesaddle {

struct placement_planner::pass {
    placement_plan plan;
    std::vector<plan_step> steps;

    /// Adds a step and applies it to the plan.
    void addStep(
        plan_action action, const std::string& model, const std::string& upstream, const char* reason)
    {
        steps.push_back({ action, model, upstream, reason });
        plan.apply(steps.back());
    }
};

namespace {

std::vector<std::string> usableCopies(const placement_plan& plan, const std::string& model)
{
    std::vector<std::string> names;
    for (const auto& [upstream, pinned] : plan.copiesOf(model)) {
        if (plan.isUsable(upstream))
            names.push_back(upstream);
    }
    return names;
}

std::optional<std::string> loadedCopy(const placement_plan& plan, const std::string& model)
{
    for (const std::string& upstream : usableCopies(plan, model)) {
        if (plan.isResident(model, upstream))
            return upstream;
    }
    return std::nullopt;
}

bool hasUsablePin(const placement_plan& plan, const std::string& model)
{
    const auto& copies = plan.copiesOf(model);
    return std::any_of(copies.begin(), copies.end(),
        [&](const auto& copy) { return copy.second && plan.isUsable(copy.first); });
}

} // namespace

placement_planner::placement_planner(options settings)
    : m_settings(settings)
{
}

std::vector<plan_step> placement_planner::plan(const plan_view& view, monotonic_time now)
{
    pass run { placement_plan(view), {} };
    for (const plan_model& model : view.models)
        adoptLoaded(run, model);
    for (const plan_model& model : view.models)
        keepReachable(run, model);
    std::vector<const plan_model*> byDemand;
    for (const plan_model& model : view.models)
        byDemand.push_back(&model);
    std::stable_sort(
        byDemand.begin(), byDemand.end(), [](const auto* a, const auto* b) { return a->demand > b->demand; });
    for (const plan_model* model : byDemand)
        removeColdCopy(run, *model, now);
    for (const plan_model* model : byDemand)
        addCopies(run, *model);
    for (const plan_model* model : byDemand)
        spreadCopies(run, *model);
    return run.steps;
}

// A model without a usable copy in the plan may have been loaded on demand. The upstream that loaded it gets
// the pinned copy.
void placement_planner::adoptLoaded(pass& run, const plan_model& model)
{
    if (!usableCopies(run.plan, model.name).empty())
        return;
    const auto loaded = run.plan.findLoaded(model);
    if (!loaded)
        return;
    run.addStep(plan_action::Add, model.name, *loaded, "unreachable");
    run.addStep(plan_action::Pin, model.name, *loaded, "unreachable");
}

bool placement_planner::needsSecondZone(const plan_model& model) const
{
    return m_settings.spreadFrom > 0 && model.demand >= m_settings.spreadFrom;
}

void placement_planner::spreadCopies(pass& run, const plan_model& model) const
{
    const auto copies = usableCopies(run.plan, model.name);
    if (!needsSecondZone(model) || copies.size() != 1 || run.plan.loadingCopies() >= m_settings.maxSpreading)
        return;
    const auto room = run.plan.findRoom(model);
    if (room && run.plan.zoneOf(*room) != run.plan.zoneOf(copies.front()))
        run.addStep(plan_action::Add, model.name, *room, "spread");
}

void placement_planner::keepReachable(pass& run, const plan_model& model) const
{
    placement_plan& plan = run.plan;
    if (!hasUsablePin(plan, model.name)) {
        const auto loaded = loadedCopy(plan, model.name);
        const auto usable = usableCopies(plan, model.name);
        if (loaded) {
            run.addStep(plan_action::Pin, model.name, *loaded, "unreachable");
        } else if (!usable.empty()) {
            run.addStep(plan_action::Pin, model.name, usable.front(), "unreachable");
        } else {
            placePin(run, model);
        }
    }
    releasePins(run, model);
    // A copy whose upstream is not usable is removed only when another copy is loaded.
    if (!loadedCopy(plan, model.name))
        return;
    const auto copies = plan.copiesOf(model.name);
    for (const auto& [upstream, pinned] : copies) {
        if (!plan.isUsable(upstream) && !plan.isDeclared(model.name, upstream))
            run.addStep(plan_action::Remove, model.name, upstream, "gone");
    }
}

// Unpins the copies that stand in for a declared pinned one once that one is loaded. The unpinned copies are
// removed later when demand stays low.
void placement_planner::releasePins(pass& run, const plan_model& model)
{
    const auto copies = run.plan.copiesOf(model.name);
    const bool isDeclaredPinLoaded = std::any_of(copies.begin(), copies.end(), [&](const auto& copy) {
        const auto& [upstream, pinned] = copy;
        return pinned && run.plan.isDeclared(model.name, upstream) && run.plan.isUsable(upstream)
            && run.plan.isResident(model.name, upstream);
    });
    for (const auto& [upstream, pinned] : copies) {
        if (isDeclaredPinLoaded && pinned && !run.plan.isDeclared(model.name, upstream))
            run.addStep(plan_action::Unpin, model.name, upstream, "spare");
    }
}

void placement_planner::placePin(pass& run, const plan_model& model)
{
    auto room = run.plan.findRoom(model);
    if (!room) {
        const auto byRemoval = run.plan.findRoomByRemoval(model);
        if (!byRemoval)
            return;
        for (const plan_step& step : byRemoval->steps)
            run.addStep(step.action, step.model, step.upstream, "room");
        room = byRemoval->upstream;
    }
    run.addStep(plan_action::Add, model.name, *room, "unreachable");
    run.addStep(plan_action::Pin, model.name, *room, "unreachable");
}

void placement_planner::addCopies(pass& run, const plan_model& model) const
{
    const double tokensPerCopy = m_settings.copyTokensPerSecond * m_settings.addAbove;
    const auto wanted = static_cast<std::size_t>(std::max(1.0, std::ceil(model.demand / tokensPerCopy)));
    std::size_t have = usableCopies(run.plan, model.name).size();
    while (have < wanted && run.plan.loadingCopies() < m_settings.maxLoading) {
        const auto room = run.plan.findRoom(model);
        if (!room)
            return;
        run.addStep(plan_action::Add, model.name, *room, "hot");
        ++have;
    }
}

bool placement_planner::stayedCold(const plan_model& model, std::size_t copies, monotonic_time now)
{
    const double remainingTokensPerSecond = static_cast<double>(copies - 1) * m_settings.copyTokensPerSecond;
    const std::size_t minCopies = m_settings.spreadFrom > 0 && model.demand > 0 ? 2 : 1;
    if (copies <= minCopies || model.demand >= remainingTokensPerSecond * m_settings.removeBelow) {
        m_coldSince.erase(model.name);
        return false;
    }
    const auto [since, first] = m_coldSince.emplace(model.name, now);
    return !first && now - since->second >= m_settings.coolDown;
}

void placement_planner::removeColdCopy(pass& run, const plan_model& model, monotonic_time now)
{
    const auto copies = usableCopies(run.plan, model.name);
    if (!stayedCold(model, copies.size(), now))
        return;
    const auto& pins = run.plan.copiesOf(model.name);
    for (const std::string& upstream : copies) {
        if (pins.at(upstream) || run.plan.isDeclared(model.name, upstream))
            continue;
        run.addStep(plan_action::Remove, model.name, upstream, "cold");
        m_coldSince.erase(model.name);
        return;
    }
}

} // namespace sagesaddle
