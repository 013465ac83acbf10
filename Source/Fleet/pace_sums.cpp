#include "Fleet/pace_sums.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

// Time constant of the decay: an engine under load gets enough samples for a factor in about 1 s, and a
// change of its speed shows within a few seconds.
constexpr double decaySeconds = 6;

} // namespace

pace_sums& pace_sums::operator+=(const pace_sums& other)
{
    observedMilliseconds += other.observedMilliseconds;
    forecastMilliseconds += other.forecastMilliseconds;
    return *this;
}

pace_sums pace_sums::decayed(monotonic_duration elapsed) const
{
    const double elapsedSeconds = std::max(0.0, std::chrono::duration<double>(elapsed).count());
    const double left = std::exp(-elapsedSeconds / decaySeconds);
    return { observedMilliseconds * left, forecastMilliseconds * left };
}

} // namespace sagesaddle
