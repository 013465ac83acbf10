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
    /// Model or adapter; empty where `service` is named.
    std::string model;
    std::string service;
    sagesaddle::priority priority { sagesaddle::priority::Interactive };
    /// Hashes of the prompt's prefixes, the longest last.
    std::vector<std::uint64_t> prefixes;
    double tokens { 0 };
    monotonic_time deadline;
    /// Upstreams already tried for it.
    std::set<std::string> tried;
    /// Whether a model may be loaded for it where no copy is ready.
    bool mayLoad { true };
};

/// \brief Where a request goes, or why it goes nowhere.
struct route_choice {
    /// Name of the upstream; empty where none takes it.
    std::string upstream;
    /// Why that one, or why none: a short code such as `least_loaded`, `prefix`, `loading`, `cold_load`,
    /// `unknown_model`, `no_upstream`, `model_loading`, `deadline`.
    std::string reason;
    std::uint32_t retryAfterMs { 0 };

    auto operator<=>(const route_choice&) const = default;
};

/// \brief Chooses upstreams for requests by what is known now; pure, one thread at a time.
class router {
public:
    /// \param region where this entry stands
    /// \param zone where this entry stands
    /// \param seed for the ties that are broken at random
    router(std::string region, std::string zone, std::uint64_t seed);
    ~router();

    router(const router&) = delete;
    router& operator=(const router&) = delete;

    void update(fleet_state_ptr state);

    route_choice choose(const route_request& request, monotonic_time now);

    /// The request was sent to the upstream.
    void onSent(const std::string& upstream, double tokens, monotonic_time now);

    /// An answer came to its end, or the upstream refused.
    /// \param failed the upstream broke its answer, or gave an error of its own making
    void onDone(const std::string& upstream, double tokens, bool failed, monotonic_time now);

    /// The request's deadline passed before its answer was whole.
    void onDeadlinePassed(
        const std::string& upstream, double tokens, monotonic_time sentAt, monotonic_time now);

    void onReport(const load_report& report, monotonic_time now);

    /// The link to the upstream's side process stands, or broke.
    void onLink(const std::string& upstream, bool up, monotonic_time now);

    /// The platform's list says that the upstream is leaving.
    void onLeaving(const std::string& upstream);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
