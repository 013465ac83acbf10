#pragma once

#include "Base/clock.h"
#include "Base/priority.h"
#include "Record/fleet_state.h"
#include "Wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief What the router needs to know of a request.
struct route_request {
    /// Model or adapter; empty where `service` is set.
    std::string model;
    std::string service;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    /// Hashes of the prompt's prefixes, the longest last.
    std::vector<std::uint64_t> prefixes;
    /// Estimated tokens of the request.
    double tokens { 0 };
    monotonic_time deadline;
    /// Upstreams that were already tried for the request.
    std::set<std::string> tried;
    /// Whether an engine may load the model for the request where no copy is ready.
    bool mayLoad { true };
};

/// \brief The upstream for a request, or why there is none.
struct route_choice {
    /// Name of the upstream; empty where no upstream can take the request.
    std::string upstream;
    /// Why this upstream was chosen, or why none was: a short code such as `least_loaded`, `prefix`,
    /// `loading`, `placed`, `adapter_load`, `cold_load`, `unknown_model`, `no_upstream`, `model_loading`,
    /// `deadline`.
    std::string reason;
    /// Time after which a retry may succeed, in milliseconds; 0 where an upstream was chosen or a retry
    /// cannot help.
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const route_choice&) const = default;
};

/// \brief Chooses an upstream for each request.
///
/// The choice depends on the configuration, the load reports and the requests that this entry has in flight.
///
/// Performs no I/O and reads no clock; not thread-safe.
class router {
public:
    /// \param region region of this entry
    /// \param zone availability zone of this entry
    /// \param seed for random choices and for the subset of copies that this entry prefers
    router(std::string region, std::string zone, std::uint64_t seed);
    ~router();

    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// \brief Takes over a new configuration.
    void update(fleet_state_ptr state);

    /// \brief Chooses an upstream that was not tried before. The caller reports the request with onSent().
    route_choice choose(const route_request& request, monotonic_time now);

    /// \brief The request was sent to the upstream.
    /// \param tokens estimated tokens of the request; the same number goes to onDone() or onDeadlinePassed()
    void onSent(const std::string& upstream, double tokens, monotonic_time now);

    /// \brief A request has ended: the upstream answered or rejected it.
    /// \param failed the upstream broke off its answer or returned an error of its own
    void onDone(const std::string& upstream, double tokens, bool failed, monotonic_time now);

    /// \brief The deadline of a request passed before its answer was complete.
    void onDeadlinePassed(
        const std::string& upstream, double tokens, monotonic_time sentAt, monotonic_time now);

    /// \brief A load report arrived.
    void onReport(const load_report& report, monotonic_time now);

    /// \brief The upstream's side process can be reached, or was disconnected or stopped answering.
    void onLink(const std::string& upstream, bool up, monotonic_time now);

    /// \brief The platform lists the upstream as leaving; it gets no further requests.
    void onLeaving(const std::string& upstream);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
