#pragma once

#include "Base/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief A process of an upstream; a restarted upstream is another process.
struct upstream_process {
    std::string upstream;
    /// Start of the process, in Unix milliseconds.
    std::int64_t startedAt { 0 };

    auto operator<=>(const upstream_process&) const = default;
};

/// \brief The crash of an upstream, as one gateway saw it.
struct upstream_crash {
    upstream_process process;
    monotonic_time at {};
    /// Ids of the shared prompt parts and of the whole prompts of the requests whose answers had not begun,
    /// or had just begun; see prompt_id.h. Sorted and without duplicates.
    std::vector<std::uint64_t> parts;

    auto operator<=>(const upstream_crash&) const = default;
};

/// \brief Answers that went on after their beginning, for requests with a prompt part.
struct part_answers {
    std::uint64_t part { 0 };
    std::uint32_t answers { 0 };
    /// Time for which they were counted.
    milliseconds watchedFor { 0 };

    auto operator<=>(const part_answers&) const = default;
};

/// \brief A prompt part, or a whole prompt, whose requests are refused until a time.
struct quarantined_part {
    std::uint64_t part { 0 };
    monotonic_time until {};

    auto operator<=>(const quarantined_part&) const = default;
};

/// \return the id of a prompt part as logs name it: in hexadecimal.
std::string formatPartId(std::uint64_t part);

} // namespace sagesaddle
