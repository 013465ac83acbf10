#pragma once

#include "Record/objects.h"
#include "Route/upstream_load.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace sagesaddle {

/// Index of an upstream in a copy_map; never reused for another upstream name.
using upstream_id = std::uint32_t;
using upstream_id_list = std::vector<upstream_id>;

/// \brief How far an upstream is from this entry.
enum class zone_distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// \brief What this entry knows of an upstream.
struct route_candidate {
    std::string name;
    /// The upstream as last configured; kept after its removal.
    upstream record;
    zone_distance distance { zone_distance::SameZone };
    /// Orders upstreams at the same distance; differs between entries, so that their subsets differ.
    std::uint64_t rank { 0 };
    /// Seed to rank this engine for the cold load of a model; the same at every entry, so that they agree.
    std::uint64_t coldLoadSeed { 0 };
    /// The configuration contains the upstream.
    bool isConfigured { false };
    /// Its side process was disconnected or stopped answering.
    bool linkDown { false };
    /// The platform lists the upstream as leaving.
    bool leaving { false };
    /// The last load report says that it takes no new requests.
    bool draining { false };
    /// A load report was received.
    bool hasReport { false };
    std::uint64_t freeMemoryMb { 0 };
    std::vector<std::string> residentModels;
    /// Models that are being loaded.
    std::vector<std::string> loadingModels;
    /// Hashes of the prompt prefixes in its cache, sorted.
    std::vector<std::uint64_t> prefixes;
    upstream_load load;

    /// \return whether new requests may be sent to the upstream, apart from its load and failures.
    bool acceptsRequests() const
    {
        return isConfigured && !linkDown && !leaving && !draining && !record.leaving;
    }

    /// \return the requests that the upstream runs at once, at least 1.
    double slots() const { return std::max<std::uint32_t>(record.slots, 1); }
};

} // namespace sagesaddle
