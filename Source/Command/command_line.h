#pragma once

#include "Base/address.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief Arguments of `check`.
struct check_request {
    std::string folder;
};

/// \brief Arguments of `diff`.
struct diff_request {
    std::string folder;
    address log;
};

/// \brief Arguments of `apply`.
struct apply_request {
    std::string folder;
    address log;
    std::string operatorName;
    /// Revision that the folder was prepared against; the newest one where it is not given.
    std::optional<std::uint64_t> revision;
    /// Admin addresses of the entries that must confirm that the change is in force.
    std::vector<address> entries;
};

/// \brief Arguments of `status`.
struct status_request {
    /// Admin addresses.
    std::vector<address> entries;
};

/// \brief Arguments of `explain TRACE`.
struct explain_request {
    std::string traceId;
    /// Admin addresses.
    std::vector<address> entries;
};

/// \brief Arguments of `explain ID --lines=FILE`.
struct explain_logs_request {
    std::string requestId;
    /// Log files of gateways; `-` is standard input.
    std::vector<std::string> files;
};

/// \brief Arguments of `check-config`.
struct check_config_request {
    std::string file;
    /// File of the configuration in force; empty if nothing is to be compared.
    std::string inForceFile;
};

/// \brief Arguments of `keys new`.
struct keys_new_request {
    std::string team;
    /// Id of the new key; a random one where it is empty.
    std::string id;
};

/// \brief Arguments of `keys withdraw`.
struct keys_withdraw_request {
    std::string id;
    address log;
    std::string operatorName;
    /// Admin addresses of the entries that must confirm that the key is withdrawn.
    std::vector<address> entries;
};

/// \brief Arguments of `keys list`.
struct keys_list_request {
    address log;
};

using command_request = std::variant<check_request, diff_request, apply_request, status_request,
    explain_request, keys_new_request, keys_withdraw_request, keys_list_request, explain_logs_request,
    check_config_request>;

/// \brief A parsed command line.
struct command_line {
    command_request request;
    /// Whether the report is printed as JSON.
    bool json { false };
};

/// \return the text that `--help` prints.
const std::string& commandUsage();

/// \param arguments without the program's name
/// \throws docopt's exceptions for help, version and wrong usage; std::invalid_argument that names the
/// option, its value and the allowed values
command_line parseCommandLine(const std::vector<std::string>& arguments);

} // namespace sagesaddle
