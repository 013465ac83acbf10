#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Identifies a span of a request's trace, as defined by W3C Trace Context.
struct trace_context {
    /// 32 lower-case hexadecimal digits, not all zero.
    std::string traceId;
    /// 16 lower-case hexadecimal digits, not all zero.
    std::string spanId;
    bool sampled { true };

    auto operator<=>(const trace_context&) const = default;
};

/// Parses a `traceparent` header; one of a later version may have further fields, which are ignored.
/// \return nothing if the text is not a valid `traceparent`
std::optional<trace_context> parseTraceparent(std::string_view text);

/// \return the context as a `traceparent` header of version 00.
std::string formatTraceparent(const trace_context& context);

/// \return the context of the root span of a new, sampled trace.
trace_context startTrace();

/// \return the context of a new child span in the parent's trace.
trace_context childOf(const trace_context& parent);

} // namespace sagesaddle
