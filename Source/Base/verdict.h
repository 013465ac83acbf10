#pragma once

#include <optional>
#include <string_view>

namespace sagesaddle {

/// \brief Whether a request may have been executed, as reported to its caller.
///
/// The verdict of a request only moves forward, from NotRun to MayHaveRun to Answered. It must be advanced
/// before the bytes that could make it true are sent.
enum class verdict {
    NotRun,
    MayHaveRun,
    Answered,
};

/// \return the later of two verdicts.
verdict laterVerdict(verdict current, verdict next);

/// \return the verdict's name in documents and frames: `not_run`, `may_have_run` or `answered`.
std::string_view nameOf(verdict value);

/// \return the verdict with that name, or nothing if no verdict has it.
std::optional<verdict> parseVerdict(std::string_view name);

} // namespace sagesaddle
