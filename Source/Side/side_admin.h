#pragma once

#include "Side/engine_control.h"
#include "Wire/messages.h"

#include <functional>
#include <optional>
#include <string>

namespace sagesaddle {

class http_call;
class metric_registry;

/// \brief What operators see of a side process.
struct side_status {
    load_report load;
    bool hasView { false };
    std::uint64_t viewOffset { 0 };
    bool draining { false };
    std::optional<engine_status> engine;
};

/// \brief What the admin pages are made from.
struct side_admin_sources {
    std::string name;
    metric_registry& metrics;
    std::function<side_status()> status;
};

/// Answers `/healthz`, `/readyz`, `/metrics` and `/admin/status`.
void handleAdminRequest(const side_admin_sources& sources, http_call& call);

} // namespace sagesaddle
