#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief A request's place in its trace, as W3C Trace Context carries it.
struct trace_context {
    /// 32 lower-case hexadecimal digits, not all zero.
    std::string traceId;
    /// 16 lower-case hexadecimal digits, not all zero.
    std::string spanId;
    bool sampled { true };

    auto operator<=>(const trace_context&) const = default;
};

/// Reads a `traceparent` header.
/// \return nothing where it is no valid one
std::optional<trace_context> parseTraceparent(std::string_view text);

/// \return the context as a `traceparent` header of version 00.
std::string formatTraceparent(const trace_context& context);

/// \return a context of a new trace.
trace_context startTrace();

/// \return a new span of the same trace.
trace_context childOf(const trace_context& parent);

} // namespace sagesaddle
