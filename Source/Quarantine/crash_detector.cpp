#include "Quarantine/crash_detector.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Time after a broken connection in which a live upstream sends something or accepts a connection.
constexpr milliseconds livenessWindow { 150 };
// What an upstream sent right before its crash may be read up to this time after the first broken connection.
constexpr milliseconds readDelay { 15 };
// Upstreams and parts beyond these numbers are ignored.
constexpr std::size_t maxSuspected = 1024;
constexpr std::size_t maxPartsPerCrash = 512;

} // namespace

void crash_detector::onConnectionBroken(
    const upstream_process& process, const std::vector<std::uint64_t>& parts, monotonic_time now)
{
    auto found = m_suspected.find(process.upstream);
    if (found == m_suspected.end()) {
        if (m_suspected.size() >= maxSuspected)
            return;
        found = m_suspected.emplace(process.upstream, upstream_crash { process, now, {} }).first;
    }
    upstream_crash& crash = found->second;
    if (crash.process != process)
        crash = { process, now, {} };
    for (const std::uint64_t part : parts) {
        const auto place = std::lower_bound(crash.parts.begin(), crash.parts.end(), part);
        const bool isKnown = place != crash.parts.end() && *place == part;
        if (!isKnown && crash.parts.size() < maxPartsPerCrash)
            crash.parts.insert(place, part);
    }
}

void crash_detector::onActivity(const std::string& upstream, monotonic_time now)
{
    if (m_suspected.empty())
        return;
    const auto found = m_suspected.find(upstream);
    if (found != m_suspected.end() && now - found->second.at >= readDelay)
        m_suspected.erase(found);
}

std::vector<upstream_crash> crash_detector::takeCrashes(monotonic_time now)
{
    std::vector<upstream_crash> crashes;
    for (auto entry = m_suspected.begin(); entry != m_suspected.end();) {
        if (now - entry->second.at < livenessWindow) {
            ++entry;
            continue;
        }
        crashes.push_back(std::move(entry->second));
        entry = m_suspected.erase(entry);
    }
    return crashes;
}

std::optional<monotonic_time> crash_detector::nextDueAt() const
{
    std::optional<monotonic_time> next;
    for (const auto& [upstream, crash] : m_suspected) {
        const monotonic_time due = crash.at + livenessWindow;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

} // namespace sagesaddle
