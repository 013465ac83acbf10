#pragma once

#include "Plan/plan_types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \brief The planned copies with the memory they take, indexed for a planning pass; pure.
///
/// A copy of an adapter counts its base model too where the plan has no copy of it there.
class placement_plan {
public:
    explicit placement_plan(const plan_view& view);

    /// Carries out a step on the plan.
    void apply(const plan_step& step);

    /// \return the copies of a model, by upstream, with whether each is pinned.
    const std::map<std::string, bool>& copiesOf(const std::string& model) const;

    /// \return whether a copy is an operator's, so that no step may remove it.
    bool isDeclared(const std::string& model, const std::string& upstream) const;
    bool isUsable(const std::string& upstream) const;
    bool isResident(const std::string& model, const std::string& upstream) const;

    /// \return whether the plan has copies there that are not reported as loaded yet.
    std::size_t loadingCopies() const { return m_loading; }

    /// \return a usable upstream that reports the model as loaded and has room for it in the plan.
    std::optional<std::string> findLoaded(const plan_model& model) const;

    /// \return the upstream's zone; empty where there is no such upstream.
    std::string zoneOf(const std::string& upstream) const;

    /// Finds room for one more copy.
    /// \return the usable upstream that suits best: the base model is there, then a zone without a copy,
    ///         then the most free memory; nothing where none has room
    std::optional<std::string> findRoom(const plan_model& model) const;

    /// Finds an upstream that would have room without copies of other models that are neither pinned nor
    /// declared and have another usable copy.
    /// \return the steps that remove these copies, and the upstream; nothing where none would do
    struct room_by_removal {
        std::string upstream;
        std::vector<plan_step> steps;
    };
    std::optional<room_by_removal> findRoomByRemoval(const plan_model& model) const;

    /// \return memory of an upstream that no planned copy takes, in megabytes.
    std::int64_t freeMemory(const std::string& upstream) const;

private:
    struct site {
        plan_upstream upstream;
        std::int64_t free { 0 };
        std::set<std::string> models;
    };

    void add(const std::string& model, const std::string& upstream, bool pinned);
    void remove(const std::string& model, const std::string& upstream);
    void setFree(site& at, std::int64_t free);
    std::int64_t costOf(const plan_model& model, const site& at) const;
    bool holdsAdapterOf(const std::string& base, const site& at) const;
    std::optional<std::string> findBesideBase(const plan_model& model) const;
    std::optional<std::string> findByFreeMemory(const plan_model& model) const;
    bool isSpare(const std::string& model, const std::string& upstream) const;

    std::map<std::string, plan_model> m_models;
    std::map<std::string, site> m_sites;
    std::map<std::string, std::map<std::string, bool>> m_copies;
    // Copies that operators declared, by model and upstream.
    std::set<std::pair<std::string, std::string>> m_declared;
    // Usable upstreams by free memory.
    std::set<std::pair<std::int64_t, std::string>> m_byFree;
    std::size_t m_loading { 0 };
};

} // namespace sagesaddle
