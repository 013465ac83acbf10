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
    if (m_samples.size() > remembered) {
        m_tokens -= m_samples.front().tokens;
        m_samples.pop_front();
    }
    std::vector<double> paces;
    std::transform(m_samples.begin(), m_samples.end(), std::back_inserter(paces),
        [](const sample& value) { return value.secondsPerToken; });
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    m_usual = *middle;
    m_best = *std::min_element(paces.begin(), middle + 1);
}

double token_time_estimator::meanTokens() const
{
    return m_samples.empty() ? 0 : m_tokens / static_cast<double>(m_samples.size());
}

} // namespace sagesaddle
