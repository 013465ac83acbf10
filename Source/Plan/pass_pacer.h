#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Spaces passes so that they take at most a share of the time, however long one takes; pure.
class pass_pacer {
public:
    /// \param share of the time that passes may take, over 0 and at most 1
    explicit pass_pacer(double share)
        : m_share(share)
    {
    }

    bool isDue(monotonic_time now) const { return now >= m_next; }

    void onPass(monotonic_time began, monotonic_time ended)
    {
        const std::chrono::duration<double> whole = (ended - began) / m_share;
        m_next = began + std::chrono::duration_cast<monotonic_duration>(whole);
    }

private:
    double m_share;
    monotonic_time m_next {};
};

} // namespace sagesaddle
