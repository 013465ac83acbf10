#pragma once

#include "Quarantine/crash_evidence.h"
#include "Quarantine/quarantine_messages.h"

#include <deque>
#include <optional>

namespace sagesaddle {

/// \brief A gateway's part in the quarantine of prompt parts that crash upstreams: it reports the crashes and
/// answers of its own requests, and keeps to what the coordinator decides. No I/O and no clock; not
/// thread-safe. Memory is bounded.
///
/// While nobody coordinates, it decides for itself, on the evidence of its own requests. What it knows is
/// reported anew to each coordinator, so that a new one knows what the last one did.
class prompt_quarantine {
public:
    prompt_quarantine();

    /// Adds a crash that requests of this gateway met.
    void onCrash(const upstream_crash& crash);
    /// Counts an answer that went on after its beginning.
    /// \param parts ids of the request's prompt, see prompt_id.h; empty if its prompt has none
    void onAnswerUnderWay(const std::vector<std::uint64_t>& parts, monotonic_time now);
    /// Applies what the coordinator says.
    /// \return the parts that were not in quarantine before
    std::vector<quarantined_part> onTold(const quarantine_update& told, monotonic_time now);
    /// Decides on this gateway's own evidence, where nobody coordinates, and ends quarantines.
    /// \return the new quarantines
    std::vector<quarantine_decision> update(bool isCoordinated, monotonic_time now);

    /// \param parts ids of a request's prompt, see prompt_id.h
    /// \return the time until the request may be sent; nothing if it may be sent now
    std::optional<milliseconds> timeToEnd(const std::vector<std::uint64_t>& parts, monotonic_time now) const;
    /// \return whether any part is in quarantine.
    bool isActive() const { return !m_quarantined.empty(); }

    /// \return whether something should be reported without delay.
    bool hasUrgentReport() const;
    /// \return what the next report has to say.
    quarantine_report takeReport(monotonic_time now);
    /// Forgets what was reported, for the next coordinator knows none of it.
    void onReportsLost();

private:
    struct known_crash {
        upstream_crash crash;
        bool isReported { false };
    };

    struct quarantine {
        monotonic_time until {};
        /// Whether the coordinator knows of it.
        bool isReported { false };
    };

    struct answer_count {
        std::uint32_t total { 0 };
        std::uint32_t reported { 0 };
        monotonic_time since {};
        /// Whether the coordinator knows for how long they are counted.
        bool isKnown { false };
        /// Since when the coordinator does not watch the part any more.
        std::optional<monotonic_time> droppedAt;
    };

    /// Newest last.
    std::deque<known_crash> m_crashes;
    /// Evidence of this gateway's own requests.
    crash_evidence m_ownEvidence;
    /// Of the watched parts, and of those that were until a short time ago: a new coordinator does not know
    /// at once all that the last one watched.
    std::map<std::uint64_t, answer_count> m_answers;
    /// Of all requests, while any part is watched.
    answer_count m_allAnswers;
    std::map<std::uint64_t, quarantine> m_quarantined;
};

} // namespace sagesaddle
