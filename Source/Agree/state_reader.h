#pragma once

#include "Agree/state_replica.h"

#include <string>

namespace sagesaddle {

/// Reads a stream up to its end into a replica.
/// \param observe called with each record as it is folded
/// \throws log_error; std::runtime_error where records have lapsed and the log has no snapshot of them
void readToEnd(log_client& log, const std::string& stream, state_replica& replica,
    const state_replica::observer& observe = {});

} // namespace sagesaddle
