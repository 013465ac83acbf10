#pragma once

#include "Serve/http_client.h"

#include "load_test_result.h"

#include <cstdint>
#include <vector>

namespace sagesaddle {

/// \brief A load test: each of several streams sends the same request again and again on a connection of its
/// own.
struct load_test_plan {
    /// Servers; the streams are distributed over them in turn.
    std::vector<address> servers;
    /// The request; its server is set for each stream.
    http_request request;
    /// Number of streams, each with one request in progress.
    std::uint32_t streams { 1 };
    /// Maximum number of requests of all streams.
    std::uint64_t requests { 0 };
    /// Time after which no request is started.
    milliseconds duration { 0 };
};

/// Runs a load test until its requests are sent or its time is over, and all started requests ended.
/// \return the measurements of all streams together
load_test_result runLoadTest(const load_test_plan& plan);

} // namespace sagesaddle
