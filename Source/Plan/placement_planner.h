#pragma once

#include "Base/clock.h"
#include "Plan/plan_types.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

class placement_plan;

/// \brief Plans which models each upstream should have: a pinned copy of each model, and further copies of
/// models with high demand.
///
/// If the upstream of a pinned copy is no longer usable, another copy is pinned. The old copy is removed only
/// when another one is reported as loaded. Pins that replaced a declared copy are released when the declared
/// copy is loaded again. Declared copies are never removed.
///
/// Copies are added as soon as demand needs them and removed only after demand stayed low, so that each load
/// is worth its cost. Copies are added for demand only while fewer are loading than the weight store can
/// serve at once.
///
/// No I/O and no clock; not thread-safe.
class placement_planner {
public:
    struct options {
        /// Tokens per second that one copy serves.
        double copyTokensPerSecond { 500 };
        /// A copy is added if the load of the copies would be above this fraction of what they serve.
        double addAbove { 0.8 };
        /// A copy is removed if the load of the others would still be below this fraction of what they serve.
        double removeBelow { 0.4 };
        /// Time for which demand must stay low before a copy is removed.
        milliseconds coolDown { 120000 };
        /// A copy is added for demand only while fewer copies than this are loading: as many loads as the
        /// weight store serves at full speed.
        std::size_t maxLoading { 16 };
        /// Tokens per second from which a model gets a second copy in another zone if memory is free there,
        /// so that losing a host or a zone does not affect its callers; 0 turns this off.
        double spreadFrom { 0 };
        /// A second copy in another zone is added only while fewer copies than this are loading, so that it
        /// does not delay other loads.
        std::size_t maxSpreading { 2 };
    };

    explicit placement_planner(options settings);

    /// \return the steps that change the plan in the view, in the order in which they must be applied.
    std::vector<plan_step> plan(const plan_view& view, monotonic_time now);

private:
    struct pass;

    /// Pins a usable copy if none is pinned, and removes copies whose upstream is not usable.
    void keepReachable(pass& run, const plan_model& model) const;
    /// Unpins copies that replaced a declared pinned copy, if that is loaded again.
    static void releasePins(pass& run, const plan_model& model);
    /// Adds a pinned copy where there is room, or where removing copies of other models makes room.
    static void placePin(pass& run, const plan_model& model);
    /// Adds a pinned copy where the model is loaded already, if the plan has no usable copy.
    static void adoptLoaded(pass& run, const plan_model& model);
    /// Adds a second copy in another zone.
    void spreadCopies(pass& run, const plan_model& model) const;
    bool needsSecondZone(const plan_model& model) const;
    /// Adds the copies that the demand needs.
    void addCopies(pass& run, const plan_model& model) const;
    /// Removes a copy if the demand stayed low.
    void removeColdCopy(pass& run, const plan_model& model, monotonic_time now);
    /// \param copies number of usable copies
    /// \return whether the demand has needed fewer copies for the cool-down time. Where `spreadFrom` is not
    /// 0, a model with any demand keeps its second copy.
    bool stayedCold(const plan_model& model, std::size_t copies, monotonic_time now);

    options m_settings;
    // Time since which the demand for a model needs fewer copies.
    std::map<std::string, monotonic_time> m_coldSince;
};

} // namespace sagesaddle
