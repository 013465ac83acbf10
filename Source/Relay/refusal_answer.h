#pragma once

#include "Base/clock.h"
#include "Loop/http_text.h"
#include "Relay/refusal_reason.h"

#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief The answer to a refused request, a problem document with reason and verdict.
struct refusal_answer {
    std::vector<http_field> fields;
    std::string body;

    auto operator<=>(const refusal_answer&) const = default;
};

/// \param requestId the caller's id of the request; empty if it is not known
/// \param retryAfter when the caller should retry; nothing if that would not help
refusal_answer refusalAnswer(
    const refusal_response& response, const std::string& requestId, std::optional<milliseconds> retryAfter);

} // namespace sagesaddle
