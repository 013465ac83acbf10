#include "Once/claim_rules.h"

#include "Once/key_time.h"

namespace sagesaddle {

bool isKeyTooOld(std::string_view key, std::uint64_t nowMs, std::uint64_t forgottenThroughMs)
{
    if (forgottenThroughMs == 0)
        return false;
    constexpr std::uint64_t maxSkewMs = milliseconds(maxClockSkew).count();
    constexpr std::uint64_t windowMs = milliseconds(opaqueKeyWindow).count();
    if (const auto madeMs = keyTimeMs(key))
        return *madeMs <= forgottenThroughMs + maxSkewMs;
    return nowMs < forgottenThroughMs + windowMs;
}

} // namespace sagesaddle
