#pragma once

#include <optional>
#include <string_view>

namespace sagesaddle {

/// \brief Whether a request may have run, as told to its caller.
///
/// A verdict only moves upwards: from NotRun to MayHaveRun to Answered. It is raised before the bytes
/// that could make it true leave the process.
enum class verdict {
    NotRun,
    MayHaveRun,
    Answered,
};

/// \return the later of two verdicts.
verdict laterVerdict(verdict current, verdict next);

/// \return the verdict's name in documents and frames: `not_run`, `may_have_run` or `answered`.
std::string_view nameOf(verdict value);

/// \return the verdict with that name, or nothing where there is none.
std::optional<verdict> parseVerdict(std::string_view name);

} // namespace sagesaddle
