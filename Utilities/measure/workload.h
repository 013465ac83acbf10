#pragma once

#include "Base/clock.h"
#include "Base/priority.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sagesaddle::measure {

/// \brief The sizes and limits of a deployment.
struct deployment {
    std::string name;
    std::size_t engines { 0 };
    std::size_t services { 0 };
    std::size_t models { 0 };
    std::size_t adapters { 0 };
    double storeLoadsPerSecond { 1 };
    std::uint32_t storeAtOnce { 8 };
    std::uint32_t adapterLoadMs { 20 };
    /// Requests a second, on average.
    double requestsPerSecond { 0 };
};

/// \return the deployment of that name.
/// \throws std::invalid_argument where there is none
deployment findDeployment(const std::string& name);

/// \brief A team of a trace.
struct workload_team {
    std::string name;
    /// Share of the requests.
    double share { 0 };
    double rate { 0 };
    double burst { 0 };
    /// Sends several times its rate for a part of the trace.
    bool greedy { false };
};

/// \brief What kind of call a request of the trace is.
enum class workload_request_kind {
    Chat,
    Stock,
    Order,
};

/// \brief One request of the trace.
struct workload_request {
    milliseconds at { 0 };
    std::size_t team { 0 };
    workload_request_kind kind { workload_request_kind::Chat };
    std::string model;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    std::uint32_t tokens { 0 };
    std::size_t entry { 0 };
};

/// \brief A bursty trace with its teams.
struct trace {
    std::vector<workload_team> teams;
    std::vector<workload_request> requests;
    milliseconds length { 0 };
};

inline constexpr std::size_t entryCount = 3;
inline constexpr std::uint32_t serviceCallTokens = 10;

/// \return when the hot model's demand moves tenfold.
milliseconds demandShiftTime();

/// \return the trace of a deployment; equal seeds give equal traces.
trace generateWorkload(const deployment& of, std::uint64_t seed);

/// \return the time that a request of the class may take.
milliseconds deadlineOf(sagesaddle::priority of);

/// \return the tokens that a request is charged.
double chargeOf(const workload_request& request);

/// \return the text that a chat request sends.
const std::string& promptText();

} // namespace sagesaddle::measure
