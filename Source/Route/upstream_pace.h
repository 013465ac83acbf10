#pragma once

#include "Fleet/pace_table.h"

#include <optional>

namespace sagesaddle {

/// \brief The speed and the slow start of one upstream as one gateway knows them.
///
/// While a coordinator answers, it pools the samples of all gateways and tells the factor and the limit of a
/// slow start. Without one, the gateway corrects the last factor by its own samples, and its own outcomes
/// decide on the limit.
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

    /// \brief Begins a slow start, unless one is in progress.
    /// \param slots requests that the upstream runs at once
    void beginStart(int slots, monotonic_time now);
    /// \brief Counts the outcome of a request, where a slow start is in progress.
    /// \param gateways number of gateways; each is assumed to see as many outcomes as this one where no
    /// coordinator counts them
    void onOutcome(const start_outcomes& outcome, unsigned gateways, monotonic_time now);
    /// \brief Applies the coordinator's limit; 0 ends the slow start.
    void onLimitTold(int limit, int slots, monotonic_time now);
    /// \brief Lets this gateway's own outcomes decide on the limit from now on.
    void onCoordinatorLost() { m_isLimitTold = false; }
    /// \return requests that may be in flight from all gateways together; nothing without a slow start.
    std::optional<int> startLimit(monotonic_time now) const;
    /// \return what to report on the slow start since the last call.
    start_report takeStartReport();

private:
    double m_told { 1 };
    pace_sums m_own;
    monotonic_time m_ownAt {};
    pace_sums m_unreported;
    std::optional<slow_start> m_start;
    bool m_isLimitTold { false };
    int m_toldLimit { 0 };
    start_report m_startReport;
};

} // namespace sagesaddle
