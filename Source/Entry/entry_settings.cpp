#include "Entry/entry_settings.h"

#include "Settings/settings_reader.h"

namespace sagesaddle {

namespace {

/// A request body must fit into one frame.
constexpr std::int64_t maxBodyLimit = std::int64_t { 12 } << 20;
constexpr std::int64_t maxHeldAnswerLimit = std::int64_t { 64 } << 20;
constexpr std::int64_t hourMs = 3600000;

void readCallers(settings_reader& reader, entry_settings& settings)
{
    settings.callerListenAddress = reader.requiredAddress("callers", "listen");
    settings.workers = static_cast<std::uint32_t>(reader.integer("callers", "workers", 512, { 2, 2048 }));
    settings.certificateFile = reader.text("callers", "certificate_file", "");
    settings.bodyTimeout
        = reader.duration("callers", "body_timeout_ms", settings.bodyTimeout, { 100, 600000 });
    settings.drainDelay = reader.duration("callers", "drain_wait_ms", settings.drainDelay, { 0, 60000 });
    settings.drainTimeout
        = reader.duration("callers", "drain_limit_ms", settings.drainTimeout, { 0, hourMs });
}

request_limits readLimits(settings_reader& reader)
{
    const request_limits defaults;
    request_limits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(reader.integer("callers", "max_body_bytes",
        static_cast<std::int64_t>(defaults.maxBodyBytes), { 1024, maxBodyLimit }));
    limits.maxHeldAnswerBytes = static_cast<std::size_t>(reader.integer("callers", "max_held_answer_bytes",
        static_cast<std::int64_t>(defaults.maxHeldAnswerBytes), { 1024, maxHeldAnswerLimit }));
    limits.defaultAnswerTokens = static_cast<std::uint32_t>(
        reader.integer("requests", "default_answer_tokens", defaults.defaultAnswerTokens, { 1, 1000000 }));
    limits.maxAnswerTokens = static_cast<std::uint32_t>(
        reader.integer("requests", "max_answer_tokens", defaults.maxAnswerTokens, { 1, 1000000 }));
    limits.serviceCallTokens = static_cast<std::uint32_t>(
        reader.integer("requests", "service_call_tokens", defaults.serviceCallTokens, { 0, 1000000 }));
    limits.interactiveTimeout
        = reader.duration("requests", "interactive_timeout_ms", defaults.interactiveTimeout, { 10, hourMs });
    limits.batchTimeout
        = reader.duration("requests", "batch_timeout_ms", defaults.batchTimeout, { 10, hourMs });
    limits.maxTimeout = reader.duration("requests", "max_timeout_ms", defaults.maxTimeout, { 10, hourMs });
    return limits;
}

void readPlanner(settings_reader& reader, entry_settings& settings)
{
    const placement_planner::options defaults;
    settings.planningEnabled = reader.flag("planner", "enabled", true);
    settings.planner.copyTokensPerSecond
        = reader.number("planner", "copy_tokens_per_s", defaults.copyTokensPerSecond, 1, 1e9);
    settings.planner.addAbove = reader.number("planner", "add_above", defaults.addAbove, 0.05, 1);
    settings.planner.removeBelow = reader.number("planner", "remove_below", defaults.removeBelow, 0, 1);
    settings.planner.coolDown
        = reader.duration("planner", "cool_down_ms", defaults.coolDown, { 1000, hourMs });
    settings.planner.spreadFrom
        = reader.number("planner", "spread_from_tokens_per_s", defaults.spreadFrom, 0, 1e9);
    settings.planner.maxLoading = static_cast<std::size_t>(reader.integer(
        "planner", "max_loading", static_cast<std::int64_t>(defaults.maxLoading), { 1, 10000 }));
}

void readBaselines(settings_reader& reader, entry_settings& settings)
{
    settings.staticRates = reader.choice("baseline", "rates", "shared", { "shared", "static" }) == "static";
    settings.roundRobin
        = reader.choice("baseline", "routing", "loads", { "loads", "round_robin" }) == "round_robin";
    if (reader.choice("baseline", "placement", "planned", { "planned", "static" }) == "static")
        settings.planningEnabled = false;
}

} // namespace

entry_settings parseEntrySettings(settings_reader& reader)
{
    entry_settings settings;
    settings.name = reader.requiredName("process", "name");
    settings.region = reader.requiredName("process", "region");
    settings.zone = reader.requiredName("process", "zone");
    readCallers(reader, settings);
    settings.limits = readLimits(reader);
    settings.adminListenAddress = reader.requiredAddress("admin", "listen");
    settings.peerListenAddress = reader.requiredAddress("peers", "listen");
    settings.seedPeers = reader.addressList("peers", "seeds");
    settings.logAddress = reader.requiredAddress("log", "address");
    settings.maxStateAge = reader.duration("log", "fresh_for_ms", settings.maxStateAge, { 200, 10000 });
    settings.hostListAddress = reader.optionalAddress("hosts", "address");
    settings.hostListPeriod = reader.duration("hosts", "period_ms", settings.hostListPeriod, { 50, 60000 });
    settings.traceCollector = reader.optionalAddress("traces", "address");
    settings.logOptions.level
        = parseLogLevel(reader.choice("logging", "level", "info", { "debug", "info", "warning", "error" }));
    settings.logOptions.file = reader.text("logging", "file", "");
    settings.retriesPerRequest = reader.number("requests", "retries_per_request", 0.1, 0, 1);
    settings.retryReserve = reader.number("requests", "retry_reserve", 10, 0, 1000);
    readPlanner(reader, settings);
    readBaselines(reader, settings);
    reader.finish();
    return settings;
}

} // namespace sagesaddle
