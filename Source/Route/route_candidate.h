#pragma once

#include "Record/objects.h"
#include "Route/upstream_load.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace sagesaddle {

/// Index of an upstream in a copy_map; never used again for another name.
using upstream_id = std::uint32_t;
using upstream_id_list = std::vector<upstream_id>;

/// \brief How far an upstream is from the entry.
enum class zone_distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// \brief An upstream as the router sees it.
struct route_candidate {
    std::string name;
    upstream record;
    zone_distance distance { zone_distance::SameZone };
    std::uint64_t rank { 0 };
    /// Ranks the models for a cold load here, the same at every entry.
    std::uint64_t coldLoadSeed { 0 };
    bool isConfigured { false };
    bool linkDown { false };
    bool leaving { false };
    bool draining { false };
    bool hasReport { false };
    std::uint64_t freeMemoryMb { 0 };
    std::vector<std::string> residentModels;
    std::vector<std::string> loadingModels;
    std::vector<std::uint64_t> prefixes;
    upstream_load load;

    bool acceptsRequests() const
    {
        return isConfigured && !linkDown && !leaving && !draining && !record.leaving;
    }
    double slots() const { return std::max<std::uint32_t>(record.slots, 1); }
};

} // namespace sagesaddle
