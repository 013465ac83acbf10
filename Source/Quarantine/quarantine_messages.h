#pragma once

#include "Quarantine/upstream_crash.h"

namespace sagesaddle {

/// \brief A crash as a gateway tells it to another host, whose clock differs.
struct reported_crash {
    upstream_process process;
    /// Time since the crash.
    milliseconds age { 0 };
    /// See upstream_crash::parts.
    std::vector<std::uint64_t> parts;

    auto operator<=>(const reported_crash&) const = default;
};

/// \brief A quarantined part as one host tells it to another.
struct quarantine_notice {
    std::uint64_t part { 0 };
    /// Time until the quarantine ends.
    milliseconds left { 0 };

    auto operator<=>(const quarantine_notice&) const = default;
};

/// \brief What a gateway tells the coordinator about crashes of upstreams.
struct quarantine_report {
    std::vector<reported_crash> crashes;
    /// Answers to requests with watched parts since the last report.
    std::vector<part_answers> answers;
    /// Answers to all requests with prompts since the last report; 0 while no part is watched.
    std::uint32_t allAnswers { 0 };
    /// Quarantines that the coordinator may not know.
    std::vector<quarantine_notice> quarantined;

    auto operator<=>(const quarantine_report&) const = default;

    bool isEmpty() const { return *this == quarantine_report {}; }
};

/// \brief What the coordinator tells the gateways: both lists are complete.
struct quarantine_update {
    /// Parts whose answers the gateways are to count.
    std::vector<std::uint64_t> watched;
    std::vector<quarantine_notice> quarantined;

    auto operator<=>(const quarantine_update&) const = default;
};

} // namespace sagesaddle
