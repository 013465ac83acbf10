#include "Place/token_demand_meter.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

constexpr double fadingSeconds = std::chrono::duration<double>(token_demand_meter::fading).count();

} // namespace

void token_demand_meter::recordDemand(const std::string& model, double tokens, monotonic_time now)
{
    if (!m_uses.contains(model))
        forgetUnused(now);
    use& noted = m_uses[model];
    noted.tokens = rateOf(noted, now) * fadingSeconds + tokens;
    noted.at = now;
}

std::vector<token_demand_meter::rate> token_demand_meter::rates(monotonic_time now) const
{
    std::vector<rate> result;
    for (const auto& [model, noted] : m_uses) {
        const double tokensPerSecond = rateOf(noted, now);
        if (tokensPerSecond >= leastRate)
            result.push_back({ model, tokensPerSecond });
    }
    std::stable_sort(result.begin(), result.end(),
        [](const rate& left, const rate& right) { return left.tokensPerSecond > right.tokensPerSecond; });
    if (result.size() > maxReported)
        result.resize(maxReported);
    return result;
}

double token_demand_meter::rateOf(const use& of, monotonic_time now)
{
    return of.tokens / fadingSeconds * std::exp(-secondsBetween(of.at, now) / fadingSeconds);
}

void token_demand_meter::forgetUnused(monotonic_time now)
{
    std::erase_if(m_uses, [&](const auto& entry) { return rateOf(entry.second, now) < leastRate; });
}

} // namespace sagesaddle
