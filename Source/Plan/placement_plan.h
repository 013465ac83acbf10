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

/// \brief The planned copies and the memory that they take, indexed for a planning pass.
///
/// A copy of an adapter also takes the memory of its base model, unless that is counted on the upstream
/// already. No I/O and no clock; not thread-safe.
class placement_plan {
public:
    explicit placement_plan(const plan_view& view);

    /// Applies a step to the plan.
    void apply(const plan_step& step);

    /// \return whether each copy of a model is pinned, by upstream.
    const std::map<std::string, bool>& copiesOf(const std::string& model) const;

    /// \return whether an operator declared the copy, so that no step may remove it.
    bool isDeclared(const std::string& model, const std::string& upstream) const;
    /// \return whether the upstream is reachable and stays in the fleet.
    bool isUsable(const std::string& upstream) const;
    /// \return whether the upstream reports the model as loaded.
    bool isResident(const std::string& model, const std::string& upstream) const;

    /// \return the number of planned copies on usable upstreams that are not reported as loaded yet.
    std::size_t loadingCopies() const { return m_loadingCopies; }

    /// \return a usable upstream that reports the model as loaded but has no planned copy of it, and has room
    ///         for one in the plan; empty if there is none.
    std::optional<std::string> findLoaded(const plan_model& model) const;

    /// \return the zone of the upstream; empty if the upstream is unknown.
    std::string zoneOf(const std::string& upstream) const;

    /// Finds room for a further copy.
    /// \return the most suitable usable upstream; empty if none has room. Upstreams that have the base model
    ///         come first, then those in a zone without a copy, then those with the most free memory.
    std::optional<std::string> findRoom(const plan_model& model) const;

    /// An upstream, and the steps that remove copies from it to make room.
    struct room_by_removal {
        std::string upstream;
        std::vector<plan_step> steps;
    };

    /// Finds an upstream where removing copies of other models makes room. Only copies are removed that are
    /// neither pinned nor declared and whose model has another usable copy.
    /// \return the upstream and the steps that remove the copies; empty if there is no such upstream
    std::optional<room_by_removal> findRoomByRemoval(const plan_model& model) const;

    /// \return memory of an upstream that no planned copy takes, in MB; negative if the plan exceeds the
    ///         memory.
    std::int64_t freeMemoryMb(const std::string& upstream) const;

private:
    struct upstream_usage {
        plan_upstream upstream;
        std::int64_t freeMb { 0 };
        /// Models with a planned copy.
        std::set<std::string> models;
    };

    void add(const std::string& model, const std::string& upstream, bool pinned);
    void remove(const std::string& model, const std::string& upstream);
    void setFreeMb(upstream_usage& usage, std::int64_t freeMb);
    /// \return memory in MB that a copy takes on the upstream in addition to the planned copies.
    std::int64_t memoryCostMb(const plan_model& model, const upstream_usage& usage) const;
    bool hasAdapterOf(const std::string& base, const upstream_usage& usage) const;
    /// \return the usable upstream with room that has the base model and the most free memory.
    std::optional<std::string> findBesideBase(const plan_model& model) const;
    /// \return a usable upstream with room, if possible in a zone without a copy.
    std::optional<std::string> findByFreeMemory(const plan_model& model) const;
    /// \return whether the copy is neither pinned nor declared and the model has another usable copy.
    bool isSpare(const std::string& model, const std::string& upstream) const;

    std::map<std::string, plan_model> m_models;
    std::map<std::string, upstream_usage> m_usages;
    // Whether each copy is pinned, by model and upstream.
    std::map<std::string, std::map<std::string, bool>> m_copies;
    // Copies that operators declared, by model and upstream.
    std::set<std::pair<std::string, std::string>> m_declared;
    // Usable upstreams by free memory in MB.
    std::set<std::pair<std::int64_t, std::string>> m_usableByFreeMb;
    std::size_t m_loadingCopies { 0 };
};

} // namespace sagesaddle
