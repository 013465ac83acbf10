#pragma once

#include "Base/verdict.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Why a request is given up on, as its caller is told.
struct refusal {
    std::uint16_t status { 503 };
    /// Short code, such as `team_rate`.
    std::string reason;
    /// What is wrong and what the caller can do.
    std::string detail;
    verdict runVerdict { verdict::NotRun };
    /// When to come back; 0 where that does not help.
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const refusal&) const = default;
};

/// \brief Ends the handling of a request with a refusal.
class request_refused : public std::runtime_error {
public:
    explicit request_refused(refusal why)
        : std::runtime_error(why.reason + ": " + why.detail)
        , m_why(std::move(why))
    {
    }

    const refusal& why() const { return m_why; }

private:
    refusal m_why;
};

/// \return the HTTP status that goes with a reason given by a side process, the router or the rate gate.
std::uint16_t statusOfReason(std::string_view reason, verdict attemptVerdict);

/// \return whether the reason tells of an overload: work that the fleet has no room for now.
bool isOverload(std::string_view reason);

/// \return the refusal as an RFC 9457 problem document.
std::string formatProblem(const refusal& why, const std::string& traceId);

/// \return the whole seconds of a `Retry-After` header, rounded up.
std::uint32_t retryAfterSeconds(std::uint32_t retryAfterMs);

} // namespace sagesaddle
