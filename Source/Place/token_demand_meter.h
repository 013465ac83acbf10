#pragma once

#include "Base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Tokens a second that requests lately asked of each model; pure, one thread at a time.
///
/// What was asked fades exponentially, so a steady demand is told as it is and one that ended is forgotten.
class token_demand_meter {
public:
    /// Time in which what was asked fades to 1/e.
    static constexpr seconds fading { 5 };
    /// Tokens a second below which a model counts as unused.
    static constexpr double leastRate = 0.1;
    static constexpr std::size_t maxReported = 16;

    /// \brief One model's demand.
    struct rate {
        std::string model;
        double tokensPerSecond { 0 };
    };

    /// A request came; whether it is answered does not matter.
    /// \param now not before that of an earlier call
    void recordDemand(const std::string& model, double tokens, monotonic_time now);

    /// \return the models that are asked the most, the hottest first.
    std::vector<rate> rates(monotonic_time now) const;

    /// \return models that are kept count of.
    std::size_t size() const { return m_uses.size(); }

private:
    struct use {
        double tokens { 0 };
        monotonic_time at;
    };

    static double rateOf(const use& of, monotonic_time now);
    void forgetUnused(monotonic_time now);

    std::map<std::string, use> m_uses;
};

} // namespace sagesaddle
