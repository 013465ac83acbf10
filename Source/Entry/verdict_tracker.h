#pragma once

#include "Base/verdict.h"

namespace sagesaddle {

/// \brief Whether one request may have run, over all its attempts; what is settled only rises.
///
/// An attempt counts as MayHaveRun from before its bytes leave until its outcome is known.
class verdict_tracker {
public:
    /// Call before the bytes of an attempt leave the process.
    void beginAttempt() { m_attemptInFlight = true; }

    /// The attempt's outcome is known for certain.
    void endAttempt(verdict outcome)
    {
        m_attemptInFlight = false;
        m_settled = laterVerdict(m_settled, outcome);
    }

    verdict current() const
    {
        return m_attemptInFlight ? laterVerdict(m_settled, verdict::MayHaveRun) : m_settled;
    }

private:
    verdict m_settled { verdict::NotRun };
    bool m_attemptInFlight { false };
};

} // namespace sagesaddle
