#pragma once

#include "Base/clock.h"
#include "Base/priority.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sagesaddle::measure {

/// \brief Sizes and limits of a deployment.
struct deployment {
    std::string name;
    std::size_t engines { 0 };
    std::size_t services { 0 };
    std::size_t models { 0 };
    std::size_t adapters { 0 };
    double storeLoadsPerSecond { 1 };
    /// Loads that the weight store serves at the same time.
    std::uint32_t storeAtOnce { 8 };
    std::uint32_t adapterLoadMs { 20 };
    /// Requests a second, on average.
    double requestsPerSecond { 0 };
};

/// \return the deployment of that name.
/// \throws std::invalid_argument where there is none
deployment findDeployment(const std::string& name);

/// \brief A team of a workload.
struct workload_team {
    std::string name;
    /// Fraction of the workload's requests, 0 to 1.
    double fraction { 0 };
    /// Tokens a second.
    double rate { 0 };
    /// Tokens.
    double burst { 0 };
    /// Sends several times its rate for a part of the workload.
    bool greedy { false };
};

/// \brief Kind of a request: a chat with a model, or a call of a service that may run twice (Stock) or not
/// (Order).
enum class workload_request_kind {
    Chat,
    Stock,
    Order,
};

/// \brief One request of a workload.
struct workload_request {
    /// Time to send it, since the start of the workload.
    milliseconds at { 0 };
    /// Index of the team.
    std::size_t team { 0 };
    workload_request_kind kind { workload_request_kind::Chat };
    std::string model;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    /// Maximum tokens of the answer.
    std::uint32_t tokens { 0 };
    /// Index of the entry that the load balancer chooses while it has all entries.
    std::size_t entry { 0 };
};

/// \brief A bursty workload with its teams; the requests are in the order of their times.
struct workload {
    std::vector<workload_team> teams;
    std::vector<workload_request> requests;
    milliseconds length { 0 };
};

inline constexpr std::size_t entryCount = 3;
inline constexpr std::uint32_t serviceCallTokens = 10;

/// \return the time at which the demand for one model grows tenfold.
milliseconds demandShiftTime();

/// \return the workload of a deployment; equal seeds give equal workloads.
workload generateWorkload(const deployment& sizes, std::uint64_t seed);

/// \return the time within which a request of this priority must be answered.
milliseconds deadlineOf(sagesaddle::priority requestPriority);

/// \return the tokens that a request is charged.
double chargeOf(const workload_request& request);

/// \return the prompt of each chat request.
const std::string& promptText();

} // namespace sagesaddle::measure
