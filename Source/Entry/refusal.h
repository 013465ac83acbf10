#pragma once

#include "Base/verdict.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Why a request was not served, as told to its caller.
struct refusal {
    /// HTTP status.
    std::uint16_t status { 503 };
    /// Short code, such as `team_rate`.
    std::string reason;
    /// What is wrong and what the caller can do about it.
    std::string detail;
    /// Whether the request may have run nevertheless.
    verdict runVerdict { verdict::NotRun };
    /// Time after which a retry may succeed; 0 if a retry cannot help.
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const refusal&) const = default;
};

/// \brief Exception that ends the handling of a request with a refusal.
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

/// \return the HTTP status for a reason given by a side process, the router or the rate limiter. An unknown
/// reason gets 503 if the request did not run, else 502.
std::uint16_t statusOfReason(std::string_view reason, verdict attemptVerdict);

/// \return whether the reason means an overload: the fleet lacks the capacity for the request now.
bool isOverload(std::string_view reason);

/// \return the refusal as an RFC 9457 problem document.
std::string formatProblem(const refusal& why, const std::string& traceId);

/// \return the value of a `Retry-After` header: whole seconds, rounded up.
std::uint32_t retryAfterSeconds(std::uint32_t retryAfterMs);

} // namespace sagesaddle
