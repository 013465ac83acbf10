#pragma once

#include "Fleet/pace_sums.h"

namespace sagesaddle {

/// \brief The speed of one upstream as one gateway knows it.
///
/// While a coordinator answers, it pools the samples of all gateways and tells the factor. Without one, the
/// gateway corrects the last factor by its own samples.
///
/// Performs no I/O and reads no clock; not thread-safe.
class upstream_pace {
public:
    /// \brief Adds a sample; its ratio is bounded, so that one disturbed answer has little effect.
    /// \param observed time that the work took, in milliseconds
    /// \param forecast time that an upstream of mean speed would have taken, in milliseconds
    void onSample(double observed, double forecast, monotonic_time now);
    /// \return the samples since the last call, for the coordinator.
    pace_sums takeUnreported();
    /// \brief Applies the coordinator's factor.
    void onTold(double factor);
    /// \return the time that the upstream takes for a piece of work, relative to the mean upstream.
    /// \param isCoordinated whether a coordinator answers, so that its factor is current
    double factor(bool isCoordinated, monotonic_time now) const;

private:
    double m_told { 1 };
    pace_sums m_own;
    monotonic_time m_ownAt {};
    pace_sums m_unreported;
};

} // namespace sagesaddle
