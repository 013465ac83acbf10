#pragma once

#include "Base/clock.h"
#include "Plan/plan_types.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

class placement_plan;

/// \brief Plans which upstreams hold which models: a pinned copy of each, more for hot ones; pure.
///
/// A pin moves only after the new copy is reported as loaded, and goes back to the declared copy once that
/// one is loaded again. Declared copies are never removed. Copies are added at once when demand asks
/// for them and given up only after demand stayed low, so that a load pays for itself. Loads under way
/// stay within what the weight store takes at once.
class placement_planner {
public:
    struct options {
        /// Tokens a second that one copy serves.
        double copyTokensPerSecond { 500 };
        /// Another copy is added where the copies would be busier than this.
        double addAbove { 0.8 };
        /// A copy is given up where the others would still be less busy than this.
        double removeBelow { 0.4 };
        /// How long demand must stay low before a copy is given up.
        milliseconds coolDown { 120000 };
        /// Loads that the weight store serves at once at full speed.
        std::size_t maxLoading { 16 };
        /// Tokens a second from which a model gets a second copy in another zone where memory is free, so
        /// that a lost host or zone costs its callers nothing; 0 for none.
        double spreadFrom { 0 };
        /// Such copies that may be loading at once, so that they hold up no other load.
        std::size_t maxSpreading { 2 };
    };

    explicit placement_planner(options settings);

    /// \return the steps that lead on from the view, in the order in which they may be taken.
    std::vector<plan_step> plan(const plan_view& view, monotonic_time now);

private:
    struct pass;

    void keepReachable(pass& run, const plan_model& model) const;
    static void releasePins(pass& run, const plan_model& model);
    static void placePin(pass& run, const plan_model& model);
    static void adoptLoaded(pass& run, const plan_model& model);
    void spreadCopies(pass& run, const plan_model& model) const;
    bool isSpread(const plan_model& model) const;
    void addCopies(pass& run, const plan_model& model) const;
    void dropCopies(pass& run, const plan_model& model, monotonic_time now);
    bool isCool(const plan_model& model, std::size_t copies, monotonic_time now);

    options m_settings;
    // Since when the demand of a model asks for fewer copies.
    std::map<std::string, monotonic_time> m_coolSince;
};

} // namespace sagesaddle
