#include "Relay/refusal_answer.h"

#include "caller_wire.h"

namespace sagesaddle {

refusal_answer refusalAnswer(
    const refusal_response& response, const std::string& requestId, std::optional<milliseconds> retryAfter)
{
    refusal_answer answer;
    answer.fields.push_back({ "Content-Type", "application/problem+json" });
    if (!requestId.empty())
        answer.fields.push_back({ std::string(platform::requestIdField()), requestId });
    if (retryAfter) {
        // Seconds with two decimals, which the platform's callers accept.
        const std::string text = std::to_string(static_cast<double>(retryAfter->count()) / 1000.0);
        answer.fields.push_back({ "Retry-After", text.substr(0, text.find('.') + 3) });
    }
    answer.body = R"({"type":"about:blank","reason":")";
    answer.body.append(response.name).append(R"(","verdict":")");
    answer.body.append(response.isNotRun ? "not_run" : "may_have_run").append("\"}");
    return answer;
}

} // namespace sagesaddle
