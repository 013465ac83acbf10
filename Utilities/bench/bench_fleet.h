#pragma once

#include "Record/fleet_state.h"
#include "Wire/messages.h"

#include <memory>
#include <string>
#include <vector>

namespace sagesaddle::bench {

/// \brief Number of objects of each kind in a fleet.
struct fleet_size {
    int models { 0 };
    int upstreams { 0 };
    int entries { 0 };
    int zones { 0 };
    int teams { 0 };
};

/// \return the target size of a fleet, scaled; each number is at least 1.
/// \param percent of the target size
fleet_size sizeOf(int percent);

std::string modelName(int index);
std::string upstreamName(int index);
std::string entryName(int index);
std::string teamName(int index);

/// \return a state of that size: each model has a few copies, some have many; no membership epoch names the
/// entries.
fleet_state makeFleet(const fleet_size& size);

/// \return a load report of each upstream, with its placed models loaded.
std::vector<load_report> makeReports(const fleet_state& state);

/// \return bytes in use on the heap of this process.
std::size_t heapBytes();

} // namespace sagesaddle::bench
