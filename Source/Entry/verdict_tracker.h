#pragma once

#include "Base/verdict.h"

namespace sagesaddle {

/// \brief Tracks whether one request may have run, over all its attempts.
///
/// An attempt counts as MayHaveRun from before its bytes are sent until its outcome is known. The verdict
/// over the ended attempts never moves back. Not thread-safe.
class verdict_tracker {
public:
    /// Must be called before the bytes of an attempt are sent.
    void beginAttempt() { m_isAttemptRunning = true; }

    /// The outcome of the attempt is known.
    void endAttempt(verdict outcome)
    {
        m_isAttemptRunning = false;
        m_endedVerdict = laterVerdict(m_endedVerdict, outcome);
    }

    /// \return the verdict as of now, including a running attempt.
    verdict current() const
    {
        return m_isAttemptRunning ? laterVerdict(m_endedVerdict, verdict::MayHaveRun) : m_endedVerdict;
    }

private:
    verdict m_endedVerdict { verdict::NotRun };
    bool m_isAttemptRunning { false };
};

} // namespace sagesaddle
