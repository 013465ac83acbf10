#pragma once

#include "Command/command_line.h"
#include "Command/command_report.h"

namespace sagesaddle {

/// Runs a command.
/// \return the command's report; a failure is reported with its exit code instead of thrown
command_report runCommand(const command_request& request);

} // namespace sagesaddle
