#include "Gateway/gateway_settings.h"

#include "Settings/settings_reader.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// An hour bounds every span, so that a slip of a unit shows.
constexpr integer_range spanRange { 1, 3600000 };
constexpr double mostRetrySlack = 100000;
constexpr integer_range descriptorRange { 64, 1 << 20 };
constexpr double mostGraceSeconds = 3600;
constexpr double mostCores = 1024;
constexpr double mostLinkMbps = 1e6;

} // namespace

std::vector<std::string> settingsNeedingRestart(const gateway_settings& running, const gateway_settings& next)
{
    std::vector<std::string> names;
    const auto compare = [&](const char* name, const auto& one, const auto& other) {
        if (one != other)
            names.emplace_back(name);
    };
    compare("process.name", running.name, next.name);
    compare("process.zone", running.zone, next.zone);
    compare("listen.callers", running.callers, next.callers);
    compare("listen.readiness", running.readiness, next.readiness);
    compare("listen.peers", running.peers, next.peers);
    compare("listen.metrics", running.metrics, next.metrics);
    compare("store.address", running.store, next.store);
    compare("bounds.lease_ms", running.handoverPause, next.handoverPause);
    compare("limits.descriptors", running.descriptors, next.descriptors);
    compare("limits.cores", running.cores, next.cores);
    compare("limits.link_mbps", running.linkMbps, next.linkMbps);
    return names;
}

gateway_settings parseGatewaySettings(settings_reader& reader)
{
    const gateway_settings standard;
    gateway_settings settings;
    settings.name = reader.requiredName("process", "name");
    settings.zone = reader.requiredText("process", "zone");
    settings.callers = reader.requiredAddress("listen", "callers");
    settings.readiness = reader.requiredAddress("listen", "readiness");
    settings.peers = reader.requiredAddress("listen", "peers");
    settings.metrics = reader.optionalAddress("listen", "metrics");
    settings.store = reader.requiredAddress("store", "address");
    const auto standardGrace = static_cast<double>(standard.grace.count()) / 1000;
    settings.grace = milliseconds(static_cast<std::int64_t>(
        reader.number("bounds", "grace_s", standardGrace, 0.1, mostGraceSeconds) * 1000));
    settings.revocationBound = reader.duration("bounds", "revoke_ms", standard.revocationBound, spanRange);
    settings.handoverPause = reader.duration("bounds", "lease_ms", standard.handoverPause, spanRange);
    settings.retryRatio = reader.number("bounds", "retry_ratio", standard.retryRatio, 0, 10);
    settings.retrySlack = reader.number("bounds", "retry_slack", standard.retrySlack, 0, mostRetrySlack);
    settings.descriptors = reader.integer("limits", "descriptors", standard.descriptors, descriptorRange);
    settings.cores = reader.number("limits", "cores", standard.cores, 0.001, mostCores);
    settings.linkMbps = reader.number("limits", "link_mbps", standard.linkMbps, 0.001, mostLinkMbps);
    settings.level = parseLogLevel(reader.choice(
        "log", "level", std::string(nameOf(standard.level)), { "debug", "info", "warning", "error" }));
    reader.finish();
    return settings;
}

} // namespace sagesaddle
