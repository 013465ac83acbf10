#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Observed and forecast times of an upstream's work. The sums of several gateways are added.
///
/// The forecast is that of an upstream of mean speed, so the ratio of the sums is the upstream's relative
/// time for the same work. Sums weigh each sample by its size, and need no agreement between gateways.
struct pace_sums {
    double observedMilliseconds { 0 };
    double forecastMilliseconds { 0 };

    auto operator<=>(const pace_sums&) const = default;

    pace_sums& operator+=(const pace_sums& other);
    /// \return the sums after a time in which they decay exponentially.
    pace_sums decayed(monotonic_duration elapsed) const;
};

/// \brief Least and greatest time factor of an upstream; values beyond it are taken for measuring errors.
inline constexpr double minPaceFactor = 0.25;
inline constexpr double maxPaceFactor = 4;

} // namespace sagesaddle
