#pragma once

#include "Base/address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sagesaddle {

struct check_request {
    std::string folder;
};

struct diff_request {
    std::string folder;
    address log;
};

struct apply_request {
    std::string folder;
    address log;
    std::string operatorName;
    /// Revision that the folder was prepared against; the newest where it is not given.
    std::optional<std::uint64_t> revision;
    /// Admin addresses of the entries to ask whether the change is in force.
    std::vector<address> entries;
};

struct status_request {
    std::vector<address> entries;
};

struct explain_request {
    std::string traceId;
    std::vector<address> entries;
};

struct explain_logs_request {
    std::string requestId;
    /// Files of log lines; `-` is standard input.
    std::vector<std::string> files;
};

struct keys_new_request {
    std::string team;
    std::string id;
};

struct keys_withdraw_request {
    std::string id;
    address log;
    std::string operatorName;
    std::vector<address> entries;
};

struct keys_list_request {
    address log;
};

using command_request = std::variant<check_request, diff_request, apply_request, status_request,
    explain_request, keys_new_request, keys_withdraw_request, keys_list_request, explain_logs_request>;

/// \brief A parsed command line.
struct command_line {
    command_request request;
    /// Whether the report is to be JSON.
    bool json { false };
};

/// \return what `--help` prints.
const std::string& commandUsage();

/// \param arguments without the program's name
/// \throws docopt's exceptions for help, version and wrong usage; std::invalid_argument naming the option,
/// the
///         value and what is allowed
command_line parseCommandLine(const std::vector<std::string>& arguments);

} // namespace sagesaddle
