#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Delays planning passes so that they take at most a fraction of the time, however long each takes.
///
/// No I/O and no clock; not thread-safe.
class pass_pacer {
public:
    /// \param maxTimeFraction fraction of the time that passes may take, above 0 and at most 1
    explicit pass_pacer(double maxTimeFraction)
        : m_maxTimeFraction(maxTimeFraction)
    {
    }

    /// \return whether the next pass may begin.
    bool isDue(monotonic_time now) const { return now >= m_nextPassAt; }

    /// A pass ended. The next one may begin when this one's duration is the allowed fraction of the time
    /// passed.
    void onPass(monotonic_time startedAt, monotonic_time endedAt)
    {
        const std::chrono::duration<double> interval = (endedAt - startedAt) / m_maxTimeFraction;
        m_nextPassAt = startedAt + std::chrono::duration_cast<monotonic_duration>(interval);
    }

private:
    double m_maxTimeFraction;
    monotonic_time m_nextPassAt {};
};

} // namespace sagesaddle
