#pragma once

#include <cstddef>
#include <deque>

namespace sagesaddle {

/// \brief How fast an upstream served its latest requests; pure, one thread at a time.
///
/// The median is told, so that a pause, which makes a few requests slow at once, moves nothing.
class token_time_estimator {
public:
    /// Requests that are remembered; more than those that run at once on most upstreams.
    static constexpr std::size_t remembered = 31;

    /// A request was served.
    void addSample(double seconds, double tokens);

    /// \return seconds that a token takes, 0 where nothing was served yet.
    double medianSeconds() const { return m_usual; }

    /// \return seconds that a token took in the fastest request remembered, 0 where there is none.
    double fastestSeconds() const { return m_best; }

    /// \return tokens of the mean request remembered, 0 where there is none.
    double meanTokens() const;

private:
    struct sample {
        double secondsPerToken { 0 };
        double tokens { 0 };
    };

    std::deque<sample> m_samples;
    double m_tokens { 0 };
    double m_usual { 0 };
    double m_best { 0 };
};

} // namespace sagesaddle
