#include "Route/token_time_estimator.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace sagesaddle {

void token_time_estimator::addSample(double seconds, double tokens)
{
    if (tokens <= 0)
        return;
    m_samples.push_back({ seconds / tokens, tokens });
    m_tokens += tokens;
    if (m_samples.size() > windowSize) {
        m_tokens -= m_samples.front().tokens;
        m_samples.pop_front();
    }
    std::vector<double> times;
    std::transform(m_samples.begin(), m_samples.end(), std::back_inserter(times),
        [](const sample& value) { return value.secondsPerToken; });
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    m_medianSeconds = *middle;
    m_fastestSeconds = *std::min_element(times.begin(), middle + 1);
}

double token_time_estimator::meanTokens() const
{
    return m_samples.empty() ? 0 : m_tokens / static_cast<double>(m_samples.size());
}

} // namespace sagesaddle
