#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace sagesaddle {

/// \brief How a command ended; scripts rely on the numbers.
enum class exit_code {
    Done = 0,
    /// Wrong arguments, or a failure that none of the others names.
    Failed = 1,
    /// The records are not valid, or not acceptable to the fleet as it is.
    InvalidRecords = 2,
    /// Another operator's change came first.
    LostRace = 3,
    /// The log could not be reached; the report says whether the change may have taken effect.
    LogUnreachable = 4,
    /// Accepted, but not seen in force at every entry that was asked.
    Unconfirmed = 5,
    /// Nothing of that name.
    NotFound = 6,
};

/// \brief What a command says, for people and for scripts.
struct command_report {
    exit_code code { exit_code::Done };
    /// Lines for people.
    std::string text;
    /// The same for scripts.
    nlohmann::json document = nlohmann::json::object();
};

} // namespace sagesaddle
