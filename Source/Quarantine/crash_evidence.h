#pragma once

#include "Quarantine/upstream_crash.h"

#include <map>

namespace sagesaddle {

/// \brief A decision to refuse the requests with a prompt part, with its evidence.
struct quarantine_decision {
    quarantined_part part;
    /// Crashes without an answer in between at which the part was pending.
    unsigned crashes { 0 };
    /// All crashes in that time that no other quarantined part explains.
    unsigned allCrashes { 0 };
    /// Answers to requests with the part since it was watched.
    unsigned answers { 0 };

    auto operator<=>(const quarantine_decision&) const = default;
};

/// \brief Decides which prompt parts crash the upstreams that answer them, from the crashes and answers of
/// all gateways. No I/O and no clock; not thread-safe. Memory is bounded.
///
/// Most requests that were pending at a crash are sound. A sound part is answered elsewhere, while a part
/// that crashes upstreams is not: a part is quarantined once it was pending at several crashes without an
/// answer in between, while other requests had answers. Without those the upstreams may be out of reach,
/// whatever is sent. Crashes at the same moment have one cause and count once, and a crash that a quarantined
/// part explains does not count against the other parts that were pending. The fewer of the recent crashes a
/// part explains, the more of them are needed.
///
/// A whole prompt needs fewer crashes than a part that requests share: it comes again only if its request is
/// repeated, and sound requests seldom are often enough to meet that many crashes.
///
/// A quarantine ends after a time, in case the upstreams have been repaired or the part was sound. From then
/// on a single crash renews it, for longer.
class crash_evidence {
public:
    /// \param minCrashes crashes without an answer that a part needs to be quarantined
    explicit crash_evidence(unsigned minCrashes);

    /// Adds a crash. Several gateways may report the same one.
    void onCrash(const upstream_crash& crash, monotonic_time now);
    /// Adds answers to requests with a watched part; those for other parts are ignored.
    void onAnswers(const part_answers& answers, monotonic_time now);
    /// Adds answers to any requests with prompts, those with watched parts included.
    void onAllAnswers(std::uint32_t answers) { m_allAnswers += answers; }
    /// Takes over a quarantine that was decided elsewhere.
    void adopt(const quarantined_part& part, monotonic_time now);
    /// Ends quarantines and drops evidence that is out of date, and decides anew.
    /// \return the new quarantines
    std::vector<quarantine_decision> update(monotonic_time now);

    bool isQuarantined(std::uint64_t part) const;
    /// \return the parts in quarantine, sorted.
    std::vector<quarantined_part> quarantined() const;
    /// \return the parts whose answers must be counted, sorted.
    std::vector<std::uint64_t> watched() const;
    /// \return a number that grows with each change of quarantined() or watched().
    std::uint64_t revision() const { return m_revision; }
    /// \return a number that grows with each change of quarantined().
    std::uint64_t quarantineRevision() const { return m_quarantineRevision; }

private:
    struct crash_record {
        monotonic_time at {};
        /// Gateways' reports that name each part.
        std::map<std::uint64_t, unsigned> parts;
        /// Whether a quarantined part was pending.
        bool isExplained { false };
    };

    struct watched_part {
        /// Since when the gateways count its answers.
        monotonic_time since {};
        /// When this object began to watch it, which is later if another one did before.
        monotonic_time addedAt {};
        unsigned answers { 0 };
        monotonic_time lastAnswerAt {};
        /// Answers to any requests before that time.
        std::uint64_t earlierAnswers { 0 };
    };

    /// Crashes since the last answer at which a part was pending, and that no quarantined part explains.
    struct crash_count {
        unsigned crashes { 0 };
        /// Moments of these crashes; those within a short time are one.
        unsigned moments { 0 };
        /// Reports of gateways that name the part.
        unsigned reports { 0 };
        /// Begin of the last moment.
        monotonic_time lastAt {};
        /// All unexplained crashes since the first one.
        unsigned crashesSince { 0 };
    };
    using crash_counts = std::map<std::uint64_t, crash_count>;

    struct quarantine {
        monotonic_time until {};
        milliseconds duration { 0 };
        /// Whether the time is over, so that requests are sent again.
        bool isOnProbation { false };
    };

    void expire(monotonic_time now);
    crash_counts countCrashes() const;
    void updateWatched(const crash_counts& counts, monotonic_time now);
    bool isOnProbation(std::uint64_t part) const;
    /// \return the moments of crashes that a part needs to be quarantined.
    unsigned neededMoments(std::uint64_t part, const crash_count& count) const;
    bool isGuilty(std::uint64_t part, const crash_count& count, monotonic_time now) const;
    quarantine_decision decide(std::uint64_t part, const crash_count& count, monotonic_time now);
    void explainCrashes();
    void onQuarantinesChanged();

    unsigned m_minCrashes;
    std::map<upstream_process, crash_record> m_crashes;
    std::map<std::uint64_t, watched_part> m_watched;
    std::map<std::uint64_t, quarantine> m_quarantines;
    std::uint64_t m_allAnswers { 0 };
    std::uint64_t m_revision { 1 };
    std::uint64_t m_quarantineRevision { 1 };
};

} // namespace sagesaddle
