#pragma once

#include "Fleet/model_ref.h"
#include "Fleet/upstream_list.h"
#include "Relay/upstream_connection.h"
#include "Route/failure_ratio.h"
#include "Route/upstream_pace.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace sagesaddle {

class relay_exchange;

/// \brief Load that the other gateways put on an upstream, as last reported by the coordinator.
struct peer_load {
    int inFlight { 0 };
    /// Prompt tokens that the upstream has not read yet.
    double tokensAhead { 0 };
    /// Tokens that the requests occupy in the upstream's KV cache.
    double kvCacheTokens { 0 };

    auto operator<=>(const peer_load&) const = default;
};

/// \brief An upstream as this gateway sees it: its list entry, its connections and this gateway's requests.
struct upstream_state {
    upstream_state(event_loop& loop, upstream_entry listed)
        : entry(std::move(listed))
        , pool(loop, entry.endpoint)
    {
    }

    upstream_entry entry;
    upstream_pool pool;
    /// Loaded models and adapters, as `model` or `model/adapter`.
    std::set<std::string> loadedModels;
    /// Whether `loadedModels` came from the coordinator, which is more current than the list.
    bool hasCoordinatorUpdate { false };
    /// Requests of this gateway.
    int inFlight { 0 };
    /// Prompt tokens of this gateway's requests that the upstream has not read yet.
    double tokensAhead { 0 };
    /// Tokens that this gateway's requests are expected to occupy in the upstream's KV cache.
    double kvCacheTokens { 0 };
    peer_load peerLoad;
    /// End of the time for which the upstream is suspect after failures. A suspect upstream may still be
    /// chosen where all others would be much later, so this is no backoff, during which it gets no requests.
    monotonic_time suspectUntil {};
    /// Failures since the last byte of an answer, up to a bound; each doubles the time for which the upstream
    /// is avoided.
    int failures { 0 };
    failure_ratio faults;
    /// Stays as it is unless relay_options::learnsUpstreamSpeed is set.
    upstream_pace pace;
    /// Whether the beginning of a slow start was logged and its end was not.
    bool isStartShown { false };
    /// When the upstream last sent a byte of an answer or accepted a probe's connection.
    monotonic_time lastActivityAt {};
    /// Whether the upstream sent nothing for too long while it had requests. It then gets one request at a
    /// time, and only if no other upstream can take it.
    bool isSilent { false };
    /// Connection attempt that checks whether a silent upstream is back.
    upstream_connection_ptr probe;
    /// When the last such attempt began, or the upstream became silent if none did since.
    monotonic_time probedAt {};
    std::unordered_set<relay_exchange*> requests;
    /// Whether the upstream left the list.
    bool isGone { false };
    /// Whether an answer said that the upstream is shutting down; reset only by a new process.
    bool isLeaving { false };
    /// Whether the upstream's zone is evacuated, so that it is sent nothing.
    bool isEvacuated { false };
    /// End of the backoff that the upstream requested from this gateway.
    monotonic_time requestedBackoffUntil {};

    /// \param modelRef `model` or `model/adapter`; empty if the request needs neither
    bool hasLoaded(const std::string& modelRef) const
    {
        return modelRef.empty() || loadedModels.contains(modelRef);
    }
    /// \return whether the upstream takes new requests, according to the list, to its own answers and to the
    /// operator's evacuations.
    bool isOpen(monotonic_time now) const
    {
        return !isEvacuated && !entry.isDraining && !isLeaving && now >= requestedBackoffUntil;
    }
    /// \return whether the upstream is avoided after failures.
    bool isSuspect(monotonic_time now) const { return now < suspectUntil; }
};

using upstream_state_ptr = std::shared_ptr<upstream_state>;

} // namespace sagesaddle
