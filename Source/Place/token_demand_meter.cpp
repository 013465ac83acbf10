#include "Place/token_demand_meter.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

constexpr double decaySeconds = std::chrono::duration<double>(token_demand_meter::decayTime).count();

} // namespace

void token_demand_meter::recordDemand(const std::string& model, double tokens, monotonic_time now)
{
    if (!m_demands.contains(model))
        removeUnused(now);
    demand& updated = m_demands[model];
    updated.tokens = rateOf(updated, now) * decaySeconds + tokens;
    updated.updatedAt = now;
}

std::vector<token_demand_meter::rate> token_demand_meter::rates(monotonic_time now) const
{
    std::vector<rate> result;
    for (const auto& [model, entry] : m_demands) {
        const double tokensPerSecond = rateOf(entry, now);
        if (tokensPerSecond >= minRate)
            result.push_back({ model, tokensPerSecond });
    }
    std::stable_sort(result.begin(), result.end(),
        [](const rate& left, const rate& right) { return left.tokensPerSecond > right.tokensPerSecond; });
    if (result.size() > maxReported)
        result.resize(maxReported);
    return result;
}

double token_demand_meter::rateOf(const demand& value, monotonic_time now)
{
    return value.tokens / decaySeconds * std::exp(-secondsBetween(value.updatedAt, now) / decaySeconds);
}

void token_demand_meter::removeUnused(monotonic_time now)
{
    std::erase_if(m_demands, [&](const auto& entry) { return rateOf(entry.second, now) < minRate; });
}

} // namespace sagesaddle
