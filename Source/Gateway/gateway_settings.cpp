#include "Gateway/gateway_settings.h"

#include "Settings/settings_reader.h"
#include "deployment_parts.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// An hour bounds every duration, so that a wrong unit is noticed.
constexpr integer_range durationRange { 1, 3600000 };
constexpr double maxRetrySlack = 100000;
constexpr integer_range descriptorRange { 64, 1 << 20 };
constexpr double maxGraceSeconds = 3600;
constexpr double maxCores = 1024;
constexpr double maxLinkMbps = 1e6;
constexpr double maxMemoryMegabytes = 1e7;

} // namespace

std::vector<std::string> settingsNeedingRestart(const gateway_settings& running, const gateway_settings& next)
{
    std::vector<std::string> names;
    const auto compare = [&](const char* name, const auto& runningValue, const auto& nextValue) {
        if (runningValue != nextValue)
            names.emplace_back(name);
    };
    compare("process.name", running.name, next.name);
    compare("process.zone", running.zone, next.zone);
    compare("listen.callers", running.callerListenAddress, next.callerListenAddress);
    compare("listen.readiness", running.readinessListenAddress, next.readinessListenAddress);
    compare("listen.peers", running.peerListenAddress, next.peerListenAddress);
    compare("listen.metrics", running.metricsListenAddress, next.metricsListenAddress);
    compare("store.address", running.storeAddress, next.storeAddress);
    compare("bounds.lease_ms", running.handoverPause, next.handoverPause);
    compare("limits.descriptors", running.descriptors, next.descriptors);
    compare("limits.cores", running.cores, next.cores);
    compare("limits.link_mbps", running.linkMbps, next.linkMbps);
    compare("deployment.parts", running.hasUnsteadyUpstreams, next.hasUnsteadyUpstreams);
    compare("limits.memory_mb", running.memoryMegabytes, next.memoryMegabytes);
    return names;
}

gateway_settings parseGatewaySettings(settings_reader& reader)
{
    const gateway_settings defaults;
    gateway_settings settings;
    settings.name = reader.requiredName("process", "name");
    settings.zone = reader.requiredText("process", "zone");
    settings.callerListenAddress = reader.requiredAddress("listen", "callers");
    settings.readinessListenAddress = reader.requiredAddress("listen", "readiness");
    settings.peerListenAddress = reader.requiredAddress("listen", "peers");
    settings.metricsListenAddress = reader.optionalAddress("listen", "metrics");
    settings.storeAddress = reader.requiredAddress("store", "address");
    const auto defaultGraceSeconds = static_cast<double>(defaults.grace.count()) / 1000;
    settings.grace = milliseconds(static_cast<std::int64_t>(
        reader.number("bounds", "grace_s", defaultGraceSeconds, 0.1, maxGraceSeconds) * 1000));
    settings.revocationBound
        = reader.duration("bounds", "revoke_ms", defaults.revocationBound, durationRange);
    settings.handoverPause = reader.duration("bounds", "lease_ms", defaults.handoverPause, durationRange);
    settings.retryRatio = reader.number("bounds", "retry_ratio", defaults.retryRatio, 0, 10);
    settings.retrySlack = reader.number("bounds", "retry_slack", defaults.retrySlack, 0, maxRetrySlack);
    settings.descriptors = reader.integer("limits", "descriptors", defaults.descriptors, descriptorRange);
    settings.cores = reader.number("limits", "cores", defaults.cores, 0.001, maxCores);
    settings.linkMbps = reader.number("limits", "link_mbps", defaults.linkMbps, 0.001, maxLinkMbps);
    settings.hasUnsteadyUpstreams = platform::hasUnsteadyUpstreams(reader.textList("deployment", "parts"));
    settings.memoryMegabytes
        = reader.number("limits", "memory_mb", defaults.memoryMegabytes, 0, maxMemoryMegabytes);
    settings.level = parseLogLevel(reader.choice(
        "log", "level", std::string(nameOf(defaults.level)), { "debug", "info", "warning", "error" }));
    reader.finish();
    return settings;
}

} // namespace sagesaddle
