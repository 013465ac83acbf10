#pragma once

#include "Command/command_line.h"
#include "Command/command_report.h"

namespace sagesaddle {

/// Runs a command.
/// \return its report; failures are reports too
command_report runCommand(const command_request& request);

} // namespace sagesaddle
