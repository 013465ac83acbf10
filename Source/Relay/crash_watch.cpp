#include "Relay/crash_watch.h"

namespace sagesaddle {

namespace {

// Parts that a log line names.
constexpr std::size_t maxLoggedParts = 16;

std::string formatParts(const std::vector<std::uint64_t>& parts)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(parts.size(), maxLoggedParts); ++index)
        text += (index == 0 ? "" : " ") + formatPartId(parts[index]);
    return text;
}

} // namespace

crash_watch::crash_watch(event_loop& loop, relay_telemetry& telemetry, on_crash handler)
    : m_telemetry(telemetry)
    , m_onCrash(std::move(handler))
    , m_timer(loop, [this] { reportCrashes(); })
{
}

void crash_watch::onConnectionBroken(
    const upstream_entry& upstream, const relay_request& request, bool isUnderWay)
{
    m_detector.onConnectionBroken({ upstream.id, upstream.startedAt },
        isUnderWay ? std::vector<std::uint64_t>() : request.quarantineIds(), monotonicNow());
    startTimer();
}

void crash_watch::onActivity(const std::string& upstream)
{
    m_detector.onActivity(upstream, monotonicNow());
}

void crash_watch::startTimer()
{
    const auto due = m_detector.nextDueAt();
    if (due && !m_timer.isRunning())
        m_timer.start(std::max(*due - monotonicNow(), monotonic_duration::zero()));
}

void crash_watch::reportCrashes()
{
    const monotonic_time now = monotonicNow();
    for (const auto& crash : m_detector.takeCrashes(now)) {
        m_telemetry.metrics.add("sagesaddle_upstream_crashes", "Crashes of upstreams that had requests");
        m_telemetry.lines.write(log_level::Warning, "upstream_crashed",
            { { "upstream", crash.process.upstream }, { "started_at", crash.process.startedAt },
                { "pending_parts", crash.parts.size() }, { "parts", formatParts(crash.parts) } },
            now);
        m_onCrash(crash);
    }
    startTimer();
}

} // namespace sagesaddle
