#pragma once

#include "Record/fleet_state.h"
#include "Wire/messages.h"

#include <memory>
#include <string>
#include <vector>

namespace sagesaddle::bench {

/// \brief How large a fleet is.
struct fleet_size {
    int models { 0 };
    int upstreams { 0 };
    int entries { 0 };
    int zones { 0 };
    int teams { 0 };
};

/// \return the size aimed at, or a part of it.
/// \param percent part of it, in percent
fleet_size sizeOf(int percent);

std::string modelName(int index);
std::string upstreamName(int index);
std::string entryName(int index);
std::string teamName(int index);

/// \return a state of that size: a few copies of each model, more of some, all entries in the epoch.
fleet_state makeFleet(const fleet_size& size);

/// \return what each upstream would report.
std::vector<load_report> makeReports(const fleet_state& state);

/// \return bytes in use on the heap of this process.
std::size_t heapBytes();

} // namespace sagesaddle::bench
