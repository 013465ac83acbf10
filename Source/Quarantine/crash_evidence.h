#pragma once

#include "Quarantine/upstream_crash.h"

#include <map>
#include <set>

namespace sagesaddle {

/// \brief A decision to refuse the requests with a prompt part, with its evidence.
struct quarantine_decision {
    quarantined_part part;
    /// Crashes that only this part explains.
    unsigned crashes { 0 };
    /// Answers to requests with the part since it was watched.
    unsigned answers { 0 };

    auto operator<=>(const quarantine_decision&) const = default;
};

/// \brief Decides which prompt parts crash the upstreams that answer them, from the crashes and answers of
/// all gateways. No I/O and no clock; not thread-safe. Memory is bounded.
///
/// Most requests that were pending at a crash are sound. A sound part is answered elsewhere, while a part
/// that crashes upstreams never is: a part is quarantined once it was pending at several crashes and had
/// almost no answers since. Crashes at the same moment have one cause and count once, and a crash that a
/// quarantined part explains does not count against the other parts that were pending.
///
/// A quarantine ends after a time, in case the upstreams have been repaired or the part was sound. From then
/// on a single crash renews it, for longer.
class crash_evidence {
public:
    /// Adds a crash. Several gateways may report the same one.
    void onCrash(const upstream_crash& crash, monotonic_time now);
    /// Adds answers to requests with a watched part; those for other parts are ignored.
    void onAnswers(const part_answers& answers);
    /// Takes over a quarantine that was decided elsewhere.
    void adopt(const quarantined_part& part, monotonic_time now);
    /// Ends quarantines and drops evidence that is out of date, and decides anew.
    /// \return the new quarantines
    std::vector<quarantine_decision> update(monotonic_time now);
    /// Forgets everything.
    void clear();

    bool isQuarantined(std::uint64_t part) const;
    /// \return the parts in quarantine, sorted.
    std::vector<quarantined_part> quarantined() const;
    /// \return the parts whose answers must be counted, sorted.
    std::vector<std::uint64_t> watched() const;
    /// \return a number that grows with each change of quarantined() or watched().
    std::uint64_t revision() const { return m_revision; }

private:
    struct crash_record {
        monotonic_time at {};
        std::set<std::uint64_t> parts;
        /// Whether a quarantined part was pending.
        bool isExplained { false };
    };

    struct watched_part {
        monotonic_time since {};
        unsigned answers { 0 };
    };

    struct quarantine {
        monotonic_time until {};
        milliseconds duration { 0 };
        /// Whether the time is over, so that requests are sent again.
        bool isOnProbation { false };
    };

    void expire(monotonic_time now);
    /// \return how often each part was pending at a crash that no quarantined part explains.
    std::map<std::uint64_t, unsigned> countCrashes() const;
    void updateWatched(const std::map<std::uint64_t, unsigned>& crashes, monotonic_time now);
    bool isOnProbation(std::uint64_t part) const;
    bool isGuilty(std::uint64_t part, unsigned crashes, monotonic_time now) const;
    quarantine_decision decide(std::uint64_t part, unsigned crashes, monotonic_time now);
    void explainCrashes();

    std::map<upstream_process, crash_record> m_crashes;
    std::map<std::uint64_t, watched_part> m_watched;
    std::map<std::uint64_t, quarantine> m_quarantines;
    std::uint64_t m_revision { 1 };
};

} // namespace sagesaddle
