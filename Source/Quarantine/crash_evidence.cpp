#include "Quarantine/crash_evidence.h"

#include "Quarantine/prompt_id.h"

#include <algorithm>
#include <optional>

namespace sagesaddle {

namespace {

// The most crashes that a part needs, however few of the recent ones it explains.
constexpr unsigned maxNeededCrashes = 6;
// Crashes that a whole prompt needs.
constexpr unsigned wholePromptCrashes = 3;
// Crashes from which on the answers to a whole prompt are counted. Most prompts never come again.
constexpr unsigned watchedPromptCrashes = 2;
// Crashes needed by a part whose last quarantine has ended.
constexpr unsigned minCrashesOnProbation = 1;
// Answers to requests without the part that show that the upstreams answer at all.
constexpr std::uint64_t minOtherAnswers = 8;
// Crashes within this time of each other have one cause, such as the loss of a link or of power.
constexpr milliseconds sameCauseWindow { 50 };
// Time in which a sound part that is requested at all gets an answer that is reported.
constexpr milliseconds answerWindow { 1200 };
// Time in which all gateways have told a new coordinator what they know.
constexpr milliseconds introductionTime { 300 };
// Age at which a crash is no evidence any more.
constexpr milliseconds crashLifetime { 60000 };
constexpr milliseconds firstQuarantine { 300000 };
// Each further quarantine of a part takes twice as long as the one before, up to this.
constexpr milliseconds longestQuarantine { 3600000 };
// Time after a quarantine in which a single crash renews it.
constexpr milliseconds probation { 3600000 };
constexpr std::size_t maxCrashes = 128;
constexpr std::size_t maxPartsOfRecord = 256;
constexpr std::size_t maxWatched = 128;
constexpr std::size_t maxQuarantines = 1024;

} // namespace

crash_evidence::crash_evidence(unsigned minCrashes)
    : m_minCrashes(minCrashes)
{
}

void crash_evidence::onCrash(const upstream_crash& crash, monotonic_time now)
{
    if (now - crash.at > crashLifetime)
        return;
    if (!m_crashes.contains(crash.process) && m_crashes.size() >= maxCrashes) {
        m_crashes.erase(std::min_element(m_crashes.begin(), m_crashes.end(),
            [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
    }
    const auto [place, isNew] = m_crashes.try_emplace(crash.process);
    crash_record& record = place->second;
    record.at = isNew ? crash.at : std::min(record.at, crash.at);
    for (const std::uint64_t part : crash.parts) {
        if (record.parts.size() < maxPartsOfRecord || record.parts.contains(part))
            ++record.parts[part];
        record.isExplained = record.isExplained || isQuarantined(part);
    }
}

void crash_evidence::onAnswers(const part_answers& answers, monotonic_time now)
{
    const auto found = m_watched.find(answers.part);
    if (found == m_watched.end())
        return;
    watched_part& watched = found->second;
    watched.since = std::min(watched.since, now - answers.watchedFor);
    watched.answers += answers.answers;
    if (answers.answers > 0)
        watched.lastAnswerAt = now;
}

void crash_evidence::adopt(const quarantined_part& part, monotonic_time now)
{
    const milliseconds left = std::chrono::duration_cast<milliseconds>(part.until - now);
    if (left <= milliseconds(0)
        || (m_quarantines.size() >= maxQuarantines && !m_quarantines.contains(part.part)))
        return;
    quarantine& entry = m_quarantines[part.part];
    const monotonic_time until = std::min(part.until, now + longestQuarantine);
    if (!entry.isOnProbation && entry.until >= until)
        return;
    entry.duration = std::max({ entry.duration, firstQuarantine, std::min(left, longestQuarantine) });
    entry.until = until;
    entry.isOnProbation = false;
    onQuarantinesChanged();
    explainCrashes();
}

void crash_evidence::expire(monotonic_time now)
{
    std::erase_if(m_crashes, [&](const auto& item) { return now - item.second.at > crashLifetime; });
    for (auto& [part, entry] : m_quarantines) {
        if (entry.isOnProbation || now < entry.until)
            continue;
        entry.isOnProbation = true;
        onQuarantinesChanged();
        // The crashes so far led to the quarantine that ends now.
        for (auto& [process, record] : m_crashes)
            record.isExplained = record.isExplained || record.parts.contains(part);
    }
    std::erase_if(m_quarantines,
        [&](const auto& item) { return item.second.isOnProbation && now >= item.second.until + probation; });
}

crash_evidence::crash_counts crash_evidence::countCrashes() const
{
    std::vector<const crash_record*> unexplained;
    for (const auto& [process, record] : m_crashes) {
        if (!record.isExplained)
            unexplained.push_back(&record);
    }
    std::sort(unexplained.begin(), unexplained.end(),
        [](const crash_record* left, const crash_record* right) { return left->at < right->at; });
    crash_counts counts;
    for (std::size_t index = 0; index < unexplained.size(); ++index) {
        const crash_record& record = *unexplained[index];
        for (const auto& [part, reports] : record.parts) {
            crash_count& count = counts[part];
            const auto watched = m_watched.find(part);
            if (watched != m_watched.end() && record.at <= watched->second.lastAnswerAt)
                continue;
            count.reports += reports;
            if (++count.crashes == 1)
                count.crashesSince = static_cast<unsigned>(unexplained.size() - index);
            if (count.moments > 0 && record.at - count.lastAt < sameCauseWindow)
                continue;
            ++count.moments;
            count.lastAt = record.at;
        }
    }
    return counts;
}

bool crash_evidence::isOnProbation(std::uint64_t part) const
{
    const auto found = m_quarantines.find(part);
    return found != m_quarantines.end() && found->second.isOnProbation;
}

void crash_evidence::updateWatched(const crash_counts& counts, monotonic_time now)
{
    const std::size_t before = m_watched.size();
    std::erase_if(m_watched,
        [&](const auto& item) { return !counts.contains(item.first) || isQuarantined(item.first); });
    bool hasChanged = m_watched.size() != before;
    std::vector<std::pair<unsigned, std::uint64_t>> wanted;
    for (const auto& [part, count] : counts) {
        if (!isQuarantined(part) && !m_watched.contains(part)
            && (!isWholePrompt(part) || count.moments >= watchedPromptCrashes))
            wanted.emplace_back(count.moments, part);
    }
    // Where not all can be watched, those with the most crashes are.
    std::sort(wanted.begin(), wanted.end(), std::greater<>());
    for (const auto& [crashes, part] : wanted) {
        if (m_watched.size() >= maxWatched)
            break;
        m_watched.emplace(part, watched_part { now, now, 0, {}, m_allAnswers });
        hasChanged = true;
    }
    m_revision += hasChanged ? 1 : 0;
}

unsigned crash_evidence::neededMoments(std::uint64_t part, const crash_count& count) const
{
    if (isWholePrompt(part))
        return wholePromptCrashes;
    const unsigned perExplained = (count.crashesSince + count.crashes - 1) / count.crashes;
    return std::max(m_minCrashes, std::min(m_minCrashes + perExplained - 1, maxNeededCrashes));
}

bool crash_evidence::isGuilty(std::uint64_t part, const crash_count& count, monotonic_time now) const
{
    if (isOnProbation(part))
        return count.moments >= minCrashesOnProbation;
    const auto found = m_watched.find(part);
    if (found == m_watched.end() || count.crashes == 0)
        return false;
    const watched_part& watched = found->second;
    const milliseconds window = isWholePrompt(part) ? milliseconds(0) : answerWindow;
    if (now - watched.since < window || now - watched.addedAt < introductionTime)
        return false;
    return count.moments >= neededMoments(part, count)
        && m_allAnswers >= watched.earlierAnswers + watched.answers + minOtherAnswers;
}

quarantine_decision crash_evidence::decide(std::uint64_t part, const crash_count& count, monotonic_time now)
{
    const auto watched = m_watched.find(part);
    const unsigned answers = watched == m_watched.end() ? 0 : watched->second.answers;
    quarantine& entry = m_quarantines[part];
    entry.duration = entry.duration == milliseconds(0) ? firstQuarantine
                                                       : std::min(entry.duration * 2, longestQuarantine);
    entry.until = now + entry.duration;
    entry.isOnProbation = false;
    onQuarantinesChanged();
    return { { part, entry.until }, count.crashes, count.crashesSince, answers };
}

void crash_evidence::explainCrashes()
{
    for (auto& [process, record] : m_crashes) {
        record.isExplained = record.isExplained
            || std::any_of(record.parts.begin(), record.parts.end(),
                [this](const auto& item) { return isQuarantined(item.first); });
    }
}

std::vector<quarantine_decision> crash_evidence::update(monotonic_time now)
{
    std::vector<quarantine_decision> decisions;
    expire(now);
    while (true) {
        const auto counts = countCrashes();
        updateWatched(counts, now);
        // The part with the most crashes explains them best. Of several, the one that the fewest reports name
        // does: the others were pending in sound requests, too.
        using strength = std::pair<unsigned, int>;
        const auto strengthOf = [](const crash_count& count) {
            return strength(count.moments, -static_cast<int>(count.reports));
        };
        std::optional<strength> best;
        for (const auto& [part, count] : counts) {
            if (isGuilty(part, count, now) && (!best || strengthOf(count) > *best))
                best = strengthOf(count);
        }
        if (!best || m_quarantines.size() >= maxQuarantines)
            return decisions;
        for (const auto& [part, count] : counts) {
            if (strengthOf(count) == *best && isGuilty(part, count, now))
                decisions.push_back(decide(part, count, now));
        }
        explainCrashes();
    }
}

void crash_evidence::onQuarantinesChanged()
{
    ++m_revision;
    ++m_quarantineRevision;
}

bool crash_evidence::isQuarantined(std::uint64_t part) const
{
    const auto found = m_quarantines.find(part);
    return found != m_quarantines.end() && !found->second.isOnProbation;
}

std::vector<quarantined_part> crash_evidence::quarantined() const
{
    std::vector<quarantined_part> parts;
    for (const auto& [part, entry] : m_quarantines) {
        if (!entry.isOnProbation)
            parts.push_back({ part, entry.until });
    }
    return parts;
}

std::vector<std::uint64_t> crash_evidence::watched() const
{
    std::vector<std::uint64_t> parts;
    for (const auto& [part, entry] : m_watched)
        parts.push_back(part);
    return parts;
}

} // namespace sagesaddle
