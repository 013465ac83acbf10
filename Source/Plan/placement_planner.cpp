#include "Plan/placement_planner.h"

#include "Plan/placement_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sagesaddle {

struct placement_planner::pass {
    placement_plan fleet;
    std::vector<plan_step> steps;

    void take(plan_action action, const std::string& model, const std::string& upstream, const char* reason)
    {
        steps.push_back({ action, model, upstream, reason });
        fleet.apply(steps.back());
    }
};

namespace {

std::vector<std::string> usableCopies(const placement_plan& fleet, const std::string& model)
{
    std::vector<std::string> names;
    for (const auto& [upstream, pinned] : fleet.copiesOf(model)) {
        if (fleet.isUsable(upstream))
            names.push_back(upstream);
    }
    return names;
}

std::optional<std::string> loadedCopy(const placement_plan& fleet, const std::string& model)
{
    for (const std::string& upstream : usableCopies(fleet, model)) {
        if (fleet.isResident(model, upstream))
            return upstream;
    }
    return std::nullopt;
}

bool hasUsablePin(const placement_plan& fleet, const std::string& model)
{
    const auto& copies = fleet.copiesOf(model);
    return std::any_of(copies.begin(), copies.end(),
        [&](const auto& copy) { return copy.second && fleet.isUsable(copy.first); });
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
        dropCopies(run, *model, now);
    for (const plan_model* model : byDemand)
        addCopies(run, *model);
    for (const plan_model* model : byDemand)
        spreadCopies(run, *model);
    return run.steps;
}

// A model without a usable copy that was loaded on demand is kept where it is.
void placement_planner::adoptLoaded(pass& run, const plan_model& model)
{
    if (!usableCopies(run.fleet, model.name).empty())
        return;
    const auto loaded = run.fleet.findLoaded(model);
    if (!loaded)
        return;
    run.take(plan_action::Add, model.name, *loaded, "unreachable");
    run.take(plan_action::Pin, model.name, *loaded, "unreachable");
}

bool placement_planner::isSpread(const plan_model& model) const
{
    return m_settings.spreadFrom > 0 && model.demand >= m_settings.spreadFrom;
}

void placement_planner::spreadCopies(pass& run, const plan_model& model) const
{
    const auto copies = usableCopies(run.fleet, model.name);
    if (!isSpread(model) || copies.size() != 1 || run.fleet.loadingCopies() >= m_settings.maxSpreading)
        return;
    const auto room = run.fleet.findRoom(model);
    if (room && run.fleet.zoneOf(*room) != run.fleet.zoneOf(copies.front()))
        run.take(plan_action::Add, model.name, *room, "spread");
}

void placement_planner::keepReachable(pass& run, const plan_model& model) const
{
    placement_plan& fleet = run.fleet;
    if (!hasUsablePin(fleet, model.name)) {
        const auto loaded = loadedCopy(fleet, model.name);
        const auto usable = usableCopies(fleet, model.name);
        if (loaded) {
            run.take(plan_action::Pin, model.name, *loaded, "unreachable");
        } else if (!usable.empty()) {
            run.take(plan_action::Pin, model.name, usable.front(), "unreachable");
        } else {
            placePin(run, model);
        }
    }
    releasePins(run, model);
    // A copy on an upstream that is lost or leaving is given up once another one is loaded.
    if (!loadedCopy(fleet, model.name))
        return;
    const auto copies = fleet.copiesOf(model.name);
    for (const auto& [upstream, pinned] : copies) {
        if (!fleet.isUsable(upstream) && !fleet.isDeclared(model.name, upstream))
            run.take(plan_action::Remove, model.name, upstream, "gone");
    }
}

// Pins that stood in for a declared one become spare copies, which go when they are cold.
void placement_planner::releasePins(pass& run, const plan_model& model)
{
    const auto copies = run.fleet.copiesOf(model.name);
    const bool isBack = std::any_of(copies.begin(), copies.end(), [&](const auto& copy) {
        const auto& [upstream, pinned] = copy;
        return pinned && run.fleet.isDeclared(model.name, upstream) && run.fleet.isUsable(upstream)
            && run.fleet.isResident(model.name, upstream);
    });
    for (const auto& [upstream, pinned] : copies) {
        if (isBack && pinned && !run.fleet.isDeclared(model.name, upstream))
            run.take(plan_action::Unpin, model.name, upstream, "spare");
    }
}

void placement_planner::placePin(pass& run, const plan_model& model)
{
    auto room = run.fleet.findRoom(model);
    if (!room) {
        const auto byRemoval = run.fleet.findRoomByRemoval(model);
        if (!byRemoval)
            return;
        for (const plan_step& step : byRemoval->steps)
            run.take(step.action, step.model, step.upstream, "room");
        room = byRemoval->upstream;
    }
    run.take(plan_action::Add, model.name, *room, "unreachable");
    run.take(plan_action::Pin, model.name, *room, "unreachable");
}

void placement_planner::addCopies(pass& run, const plan_model& model) const
{
    const double perCopy = m_settings.copyTokensPerSecond * m_settings.addAbove;
    const auto wanted = static_cast<std::size_t>(std::max(1.0, std::ceil(model.demand / perCopy)));
    std::size_t have = usableCopies(run.fleet, model.name).size();
    while (have < wanted && run.fleet.loadingCopies() < m_settings.maxLoading) {
        const auto room = run.fleet.findRoom(model);
        if (!room)
            return;
        run.take(plan_action::Add, model.name, *room, "hot");
        ++have;
    }
}

bool placement_planner::isCool(const plan_model& model, std::size_t copies, monotonic_time now)
{
    const double left = static_cast<double>(copies - 1) * m_settings.copyTokensPerSecond;
    const std::size_t kept = m_settings.spreadFrom > 0 && model.demand > 0 ? 2 : 1;
    if (copies <= kept || model.demand >= left * m_settings.removeBelow) {
        m_coolSince.erase(model.name);
        return false;
    }
    const auto [since, first] = m_coolSince.emplace(model.name, now);
    return !first && now - since->second >= m_settings.coolDown;
}

void placement_planner::dropCopies(pass& run, const plan_model& model, monotonic_time now)
{
    const auto copies = usableCopies(run.fleet, model.name);
    if (!isCool(model, copies.size(), now))
        return;
    const auto& pins = run.fleet.copiesOf(model.name);
    for (const std::string& upstream : copies) {
        if (pins.at(upstream) || run.fleet.isDeclared(model.name, upstream))
            continue;
        run.take(plan_action::Remove, model.name, upstream, "cold");
        m_coolSince.erase(model.name);
        return;
    }
}

} // namespace sagesaddle
