#pragma once

#include "Side/engine_control.h"
#include "Wire/messages.h"

#include <functional>
#include <optional>
#include <string>

namespace sagesaddle {

class http_call;
class metric_registry;

/// \brief State of a side process that its admin pages show.
struct side_status {
    load_report load;
    /// Whether the process has received a view of the records.
    bool hasView { false };
    /// Log offset of that view.
    std::uint64_t viewOffset { 0 };
    bool draining { false };
    /// Empty if the upstream is a plain service or before the first view.
    std::optional<engine_status> engine;
};

/// \brief Sources of the data on the admin pages.
struct side_admin_sources {
    /// Name of the upstream in the records.
    std::string name;
    metric_registry& metrics;
    std::function<side_status()> status;
};

/// Answers one request to the admin pages `/healthz`, `/readyz`, `/metrics` and `/admin/status`.
void handleAdminRequest(const side_admin_sources& sources, http_call& call);

} // namespace sagesaddle
