#pragma once

#include "Base/clock.h"

#include <map>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Measures the recent demand for each model, in tokens per second.
///
/// The measure is an exponentially decaying average: a steady demand is reported at its true rate, and one
/// that has ended decays to nothing. No I/O and no clock; not thread-safe.
class token_demand_meter {
public:
    /// Time in which past demand decays to 1/e.
    static constexpr seconds decayTime { 5 };
    /// Tokens per second below which a model counts as unused.
    static constexpr double minRate = 0.1;
    /// Models that rates() returns at most.
    static constexpr std::size_t maxReported = 16;

    /// \brief Demand for one model.
    struct rate {
        std::string model;
        double tokensPerSecond { 0 };
    };

    /// Counts a request that has arrived, whether or not it is answered later.
    /// \param tokens of the request
    /// \param now must not be earlier than in the previous call
    void recordDemand(const std::string& model, double tokens, monotonic_time now);

    /// \return the models with the highest demand, the highest first; at most maxReported, none below
    ///         minRate.
    std::vector<rate> rates(monotonic_time now) const;

    /// \return the number of models for which demand is stored.
    std::size_t size() const { return m_demands.size(); }

private:
    struct demand {
        /// Decayed sum of the tokens, as of `updatedAt`.
        double tokens { 0 };
        monotonic_time updatedAt;
    };

    static double rateOf(const demand& value, monotonic_time now);
    void removeUnused(monotonic_time now);

    std::map<std::string, demand> m_demands;
};

} // namespace sagesaddle
