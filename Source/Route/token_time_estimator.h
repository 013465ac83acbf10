#pragma once

#include <cstddef>
#include <deque>

namespace sagesaddle {

/// \brief Estimates the time that an upstream takes per token from the latest requests.
///
/// The main estimate is a median: a pause of the upstream makes a few requests slow at once, and must not
/// change the estimate.
///
/// Performs no I/O and reads no clock; not thread-safe.
class token_time_estimator {
public:
    /// Number of requests that the estimates cover; most upstreams run fewer at once.
    static constexpr std::size_t windowSize = 31;

    /// \brief Adds a request that was served.
    /// \param seconds time for which the request ran
    /// \param tokens tokens of the request; the sample is ignored where this is not positive
    void addSample(double seconds, double tokens);

    /// \return the median time per token in seconds, 0 without samples
    double medianSeconds() const { return m_medianSeconds; }

    /// \return the time per token of the fastest request in the window in seconds, 0 without samples
    double fastestSeconds() const { return m_fastestSeconds; }

    /// \return the mean number of tokens of a request in the window, 0 without samples
    double meanTokens() const;

private:
    struct sample {
        double secondsPerToken { 0 };
        double tokens { 0 };
    };

    std::deque<sample> m_samples;
    /// Sum over the samples.
    double m_tokens { 0 };
    double m_medianSeconds { 0 };
    double m_fastestSeconds { 0 };
};

} // namespace sagesaddle
