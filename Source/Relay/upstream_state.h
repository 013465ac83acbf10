#pragma once

#include "Fleet/holding_name.h"
#include "Fleet/upstream_list.h"
#include "Relay/upstream_connection.h"
#include "Route/fault_share.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace sagesaddle {

class relay_exchange;

/// \brief Load that other entries put on an upstream, as last heard.
struct peer_load {
    int inFlight { 0 };
    double tokensAhead { 0 };
    double memoryTokens { 0 };

    auto operator<=>(const peer_load&) const = default;
};

/// \brief An upstream as this entry sees it: its listing, its connections and this entry's work there.
struct upstream_state {
    upstream_state(event_loop& loop, upstream_entry listed)
        : entry(std::move(listed))
        , pool(loop, entry.where)
    {
    }

    upstream_entry entry;
    upstream_pool pool;
    /// `model` or `model/adapter` that it holds, as far as known.
    std::set<std::string> loadedModels;
    /// Whether `loadedModels` came from the coordinator, which knows it sooner than the listing.
    bool hasCoordinatorUpdate { false };
    int inFlight { 0 };
    double tokensAhead { 0 };
    double memoryTokens { 0 };
    peer_load foreign;
    monotonic_time suspectUntil {};
    /// Failures in a row, which lengthen the suspicion.
    int failures { 0 };
    fault_share faults;
    /// When the last byte of any answer came.
    monotonic_time lastActivityAt {};
    /// Sent nothing for too long while it had requests; it is tried with one request at a time.
    bool isSilent { false };
    /// A connection that is tried, to see whether a silent one is back; and when the last one was.
    upstream_connection_ptr probe;
    monotonic_time probedAt {};
    std::unordered_set<relay_exchange*> requests;
    bool isGone { false };
    /// Said in an answer that it is about to end; holds until it starts anew.
    bool isLeaving { false };
    /// Until then it wants nothing from this process.
    monotonic_time requestedBackoffUntil {};

    /// \param holding `model` or `model/adapter`; empty where none is needed
    bool hasLoaded(const std::string& holding) const
    {
        return holding.empty() || loadedModels.contains(holding);
    }
    /// \return whether it takes new requests, as far as it and the list say.
    bool isOpen(monotonic_time now) const
    {
        return !entry.isDraining && !isLeaving && now >= requestedBackoffUntil;
    }
    bool isSuspect(monotonic_time now) const { return now < suspectUntil; }
};

using upstream_state_ptr = std::shared_ptr<upstream_state>;

} // namespace sagesaddle
