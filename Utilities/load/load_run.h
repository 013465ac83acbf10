#pragma once

#include "Serve/http_client.h"

#include "load_report.h"

#include <cstdint>
#include <vector>

namespace sagesaddle {

/// \brief The load to send: the same request over and over on each of several connections.
struct load_plan {
    /// Addresses that the streams are spread over.
    std::vector<address> servers;
    /// Sent to one of the servers.
    http_request request;
    /// Requests under way at once.
    std::uint32_t streams { 1 };
    /// Most requests in all.
    std::uint64_t requests { 0 };
    /// Longest time in which requests are started.
    milliseconds duration { 0 };
};

/// Sends the load.
/// \return what all streams measured
load_report runLoad(const load_plan& plan);

} // namespace sagesaddle
