#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <optional>

namespace sagesaddle {

/// \brief Outcomes of requests at an upstream in slow start. Those of several gateways are added.
struct start_outcomes {
    /// Answers that came at the expected speed.
    std::uint32_t onTime { 0 };
    std::uint32_t late { 0 };
    std::uint32_t failed { 0 };

    auto operator<=>(const start_outcomes&) const = default;

    start_outcomes& operator+=(const start_outcomes& other);
    bool isEmpty() const { return onTime == 0 && late == 0 && failed == 0; }
};

/// \brief The concurrency limit of an upstream that has just started or recovered.
///
/// The limit starts small, doubles with each full round of answers at the expected speed, and halves when
/// answers are late or fail. It ends once it reaches the upstream's slots, or after a time without a reason
/// to halve it.
///
/// Performs no I/O and reads no clock; not thread-safe.
class slow_start {
public:
    /// \param slots requests that the upstream runs at once
    slow_start(int slots, monotonic_time now);

    void onOutcomes(const start_outcomes& outcomes, monotonic_time now);
    /// \brief Takes over a limit that was decided elsewhere.
    void adopt(int limit);
    /// \return requests that may be in flight from all gateways together; nothing once the slow start ended.
    std::optional<int> limit(monotonic_time now) const;
    monotonic_time begunAt() const { return m_begunAt; }

private:
    int m_slots;
    int m_limit;
    monotonic_time m_begunAt;
    /// When the limit was last halved, or the slow start began.
    monotonic_time m_troubleAt;
    /// Outcomes since the limit last changed.
    start_outcomes m_round;
    bool m_isProven { false };
};

/// \param limit concurrency limit of an upstream in slow start
/// \param inFlight its known requests in flight
/// \param unreported requests that other gateways may place there unseen, for each one placed here
/// \return the probability with which a gateway places a request there, so that all gateways together keep to
/// the limit on average although they learn of each other's requests late.
double startAdmission(double limit, double inFlight, double unreported);

} // namespace sagesaddle
