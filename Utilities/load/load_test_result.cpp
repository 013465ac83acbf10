#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

double inMs(monotonic_duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// The smallest sample that the given part of all samples does not exceed; null where there are none.
nlohmann::json percentile(std::vector<double> samples, double part)
{
    if (samples.empty())
        return nullptr;
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(samples.size())));
    const auto place = samples.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(samples.begin(), place, samples.end());
    return std::round(*place * 1000) / 1000;
}

} // namespace

void load_report::addAnswer(monotonic_duration firstByte, monotonic_duration whole)
{
    m_firstByteMs.push_back(inMs(firstByte));
    m_wholeMs.push_back(inMs(whole));
}

void load_report::addError(const std::string& reason)
{
    ++m_errors[reason];
}

void load_report::merge(const load_report& other)
{
    m_firstByteMs.insert(m_firstByteMs.end(), other.m_firstByteMs.begin(), other.m_firstByteMs.end());
    m_wholeMs.insert(m_wholeMs.end(), other.m_wholeMs.begin(), other.m_wholeMs.end());
    for (const auto& [reason, count] : other.m_errors)
        m_errors[reason] += count;
}

nlohmann::json load_report::document() const
{
    return { { "answered", m_wholeMs.size() }, { "errors", m_errors },
        { "first_byte_p50_ms", percentile(m_firstByteMs, 0.5) },
        { "first_byte_p99_ms", percentile(m_firstByteMs, 0.99) },
        { "whole_p50_ms", percentile(m_wholeMs, 0.5) }, { "whole_p99_ms", percentile(m_wholeMs, 0.99) } };
}

} // namespace sagesaddle
