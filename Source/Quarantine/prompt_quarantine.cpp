#include "Quarantine/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

// Crashes that are kept for the next coordinator.
constexpr std::size_t maxKnownCrashes = 64;
constexpr milliseconds knownCrashLifetime { 30000 };
// Crashes without an answer that a gateway by itself needs, which sees few of the fleet's answers.
constexpr unsigned minOwnCrashes = 5;
// Time for which the answers of a part that is not watched any more are kept for a new coordinator.
constexpr milliseconds unwatchedLifetime { 5000 };
// Parts that a coordinator may have watched or quarantined; further ones are ignored.
constexpr std::size_t maxParts = 2048;

milliseconds timeUntil(monotonic_time until, monotonic_time now)
{
    return std::chrono::duration_cast<milliseconds>(until - now);
}

} // namespace

prompt_quarantine::prompt_quarantine()
    : m_ownEvidence(minOwnCrashes)
{
}

void prompt_quarantine::onCrash(const upstream_crash& crash)
{
    if (crash.parts.empty())
        return;
    m_ownEvidence.onCrash(crash, crash.at);
    m_crashes.push_back({ crash, false });
    if (m_crashes.size() > maxKnownCrashes)
        m_crashes.pop_front();
}

void prompt_quarantine::onAnswerUnderWay(const std::vector<std::uint64_t>& parts, monotonic_time now)
{
    m_ownEvidence.onAllAnswers(1);
    if (!m_answers.empty())
        ++m_allAnswers.total;
    for (const std::uint64_t part : parts) {
        m_ownEvidence.onAnswers({ part, 1, {} }, now);
        const auto found = m_answers.find(part);
        if (found != m_answers.end())
            ++found->second.total;
    }
}

std::vector<quarantined_part> prompt_quarantine::onTold(const quarantine_update& told, monotonic_time now)
{
    for (auto& [part, count] : m_answers) {
        if (!count.droppedAt)
            count.droppedAt = now;
    }
    for (const std::uint64_t part : told.watched) {
        if (m_answers.size() < maxParts)
            m_answers.try_emplace(part, answer_count { 0, 0, now, true, {} });
        const auto found = m_answers.find(part);
        if (found != m_answers.end())
            found->second.droppedAt.reset();
    }
    std::erase_if(m_answers, [&](const auto& item) {
        return item.second.droppedAt && now - *item.second.droppedAt >= unwatchedLifetime;
    });
    if (m_answers.empty())
        m_allAnswers = {};
    std::vector<quarantined_part> added;
    std::map<std::uint64_t, quarantine> quarantined;
    for (const auto& notice : told.quarantined) {
        if (notice.left <= milliseconds(0) || quarantined.size() >= maxParts)
            continue;
        quarantined.emplace(notice.part, quarantine { now + notice.left, true });
        if (!m_quarantined.contains(notice.part))
            added.push_back({ notice.part, now + notice.left });
    }
    // The coordinator did not know yet of those that were not reported.
    for (const auto& [part, entry] : m_quarantined) {
        if (!entry.isReported)
            quarantined.try_emplace(part, entry);
    }
    m_quarantined = std::move(quarantined);
    return added;
}

std::vector<quarantine_decision> prompt_quarantine::update(bool isCoordinated, monotonic_time now)
{
    std::erase_if(m_crashes, [&](const auto& item) { return now - item.crash.at > knownCrashLifetime; });
    std::erase_if(m_quarantined, [&](const auto& item) { return now >= item.second.until; });
    if (isCoordinated)
        return {};
    for (const auto& [part, entry] : m_quarantined)
        m_ownEvidence.adopt({ part, entry.until }, now);
    auto decisions = m_ownEvidence.update(now);
    for (const auto& decision : decisions)
        m_quarantined[decision.part.part] = { decision.part.until, false };
    return decisions;
}

std::optional<milliseconds> prompt_quarantine::timeToEnd(
    const std::vector<std::uint64_t>& parts, monotonic_time now) const
{
    std::optional<milliseconds> longest;
    for (const std::uint64_t part : parts) {
        const auto found = m_quarantined.find(part);
        if (found != m_quarantined.end() && found->second.until > now)
            longest = std::max(longest.value_or(milliseconds(1)), timeUntil(found->second.until, now));
    }
    return longest;
}

bool prompt_quarantine::hasUrgentReport() const
{
    return std::any_of(m_crashes.begin(), m_crashes.end(), [](const auto& item) { return !item.isReported; })
        || std::any_of(m_quarantined.begin(), m_quarantined.end(),
            [](const auto& item) { return !item.second.isReported; })
        // The first answer to a request with a watched part shows that the part is sound.
        || std::any_of(m_answers.begin(), m_answers.end(),
            [](const auto& item) { return item.second.reported == 0 && item.second.total > 0; });
}

quarantine_report prompt_quarantine::takeReport(monotonic_time now)
{
    quarantine_report report;
    for (auto& item : m_crashes) {
        if (!std::exchange(item.isReported, true))
            report.crashes.push_back({ item.crash.process,
                std::max(timeUntil(now, item.crash.at), milliseconds(0)), item.crash.parts });
    }
    report.allAnswers = m_allAnswers.total - std::exchange(m_allAnswers.reported, m_allAnswers.total);
    for (auto& [part, count] : m_answers) {
        if (count.total > count.reported || !std::exchange(count.isKnown, true))
            report.answers.push_back({ part, count.total - std::exchange(count.reported, count.total),
                timeUntil(now, count.since) });
    }
    for (auto& [part, entry] : m_quarantined) {
        if (!std::exchange(entry.isReported, true) && entry.until > now)
            report.quarantined.push_back({ part, timeUntil(entry.until, now) });
    }
    return report;
}

void prompt_quarantine::onReportsLost()
{
    for (auto& item : m_crashes)
        item.isReported = false;
    m_allAnswers.reported = 0;
    for (auto& [part, count] : m_answers) {
        count.reported = 0;
        count.isKnown = false;
    }
    for (auto& [part, entry] : m_quarantined)
        entry.isReported = false;
}

} // namespace sagesaddle
