#include "load_test_result.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

double toMs(monotonic_duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the smallest sample that is at least as large as the given fraction of all samples, rounded to
// 0.001; null where there are no samples.
nlohmann::json percentile(std::vector<double> samples, double fraction)
{
    if (samples.empty())
        return nullptr;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(samples.size())));
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(samples.begin(), position, samples.end());
    return std::round(*position * 1000) / 1000;
}

} // namespace

void load_test_result::addSuccess(monotonic_duration firstByte, monotonic_duration complete)
{
    m_firstByteMs.push_back(toMs(firstByte));
    m_completeMs.push_back(toMs(complete));
}

void load_test_result::addFailure(const std::string& reason)
{
    ++m_failures[reason];
}

void load_test_result::merge(const load_test_result& other)
{
    m_firstByteMs.insert(m_firstByteMs.end(), other.m_firstByteMs.begin(), other.m_firstByteMs.end());
    m_completeMs.insert(m_completeMs.end(), other.m_completeMs.begin(), other.m_completeMs.end());
    for (const auto& [reason, count] : other.m_failures)
        m_failures[reason] += count;
}

nlohmann::json load_test_result::formatJson() const
{
    return { { "answered", m_completeMs.size() }, { "errors", m_failures },
        { "first_byte_p50_ms", percentile(m_firstByteMs, 0.5) },
        { "first_byte_p99_ms", percentile(m_firstByteMs, 0.99) },
        { "whole_p50_ms", percentile(m_completeMs, 0.5) },
        { "whole_p99_ms", percentile(m_completeMs, 0.99) } };
}

} // namespace sagesaddle
