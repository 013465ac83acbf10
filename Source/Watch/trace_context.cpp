#include "Watch/trace_context.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace sagesaddle {

namespace {

constexpr std::size_t traceIdLength = 32;
constexpr std::size_t spanIdLength = 16;
constexpr std::size_t flagsOffset = 53;
constexpr std::size_t traceparentLength = 55;
constexpr unsigned sampledFlag = 1;

bool isLowerHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isNonZeroHex(std::string_view text)
{
    return isLowerHex(text) && text.find_first_not_of('0') != std::string_view::npos;
}

std::string randomHex(std::size_t length)
{
    static thread_local std::mt19937_64 generator { (std::uint64_t { std::random_device {}() } << 32)
        ^ std::random_device {}() };
    std::string text;
    while (text.size() < length) {
        std::uint64_t bits = generator();
        for (int digit = 0; digit < 16 && text.size() < length; ++digit, bits >>= 4)
            text.push_back("0123456789abcdef"[bits & 15U]);
    }
    return isNonZeroHex(text) ? text : randomHex(length);
}

} // namespace

std::optional<trace_context> parseTraceparent(std::string_view text)
{
    if (text.size() < traceparentLength || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const std::string_view version = text.substr(0, 2);
    const std::string_view flags = text.substr(flagsOffset, 2);
    if (!isLowerHex(version) || version == "ff" || !isLowerHex(flags))
        return std::nullopt;
    const bool hasFurtherFields = text.size() > traceparentLength;
    if (hasFurtherFields && (version == "00" || text[traceparentLength] != '-'))
        return std::nullopt;
    trace_context context;
    context.traceId = text.substr(3, traceIdLength);
    context.spanId = text.substr(36, spanIdLength);
    context.sampled = (std::stoul(std::string(flags), nullptr, 16) & sampledFlag) != 0;
    if (!isNonZeroHex(context.traceId) || !isNonZeroHex(context.spanId))
        return std::nullopt;
    return context;
}

std::string formatTraceparent(const trace_context& context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.sampled ? "-01" : "-00");
}

trace_context startTrace()
{
    return { randomHex(traceIdLength), randomHex(spanIdLength), true };
}

trace_context childOf(const trace_context& parent)
{
    return { parent.traceId, randomHex(spanIdLength), parent.sampled };
}

} // namespace sagesaddle
