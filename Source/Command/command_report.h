#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace sagesaddle {

/// \brief Exit code of a command; scripts rely on the numbers.
enum class exit_code {
    Done = 0,
    /// Wrong arguments, or a failure that has no code of its own.
    Failed = 1,
    /// The records are invalid, or conflict with the fleet's state.
    InvalidRecords = 2,
    /// Another operator's change was accepted first.
    LostRace = 3,
    /// The log could not be reached; the report says whether the change may have taken effect.
    LogUnreachable = 4,
    /// The change was accepted, but not every given entry confirmed that it is in force.
    Unconfirmed = 5,
    /// No object, request or trace has the given name or id.
    NotFound = 6,
};

/// \brief Result of a command, for people and for scripts.
struct command_report {
    exit_code code { exit_code::Done };
    /// Lines for people.
    std::string text;
    /// The same for scripts, printed with `--json`.
    nlohmann::json document = nlohmann::json::object();
};

} // namespace sagesaddle
