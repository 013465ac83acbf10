#pragma once

#include "Base/address.h"
#include "Command/command_report.h"
#include "Command/config_writer.h"

#include <vector>

namespace sagesaddle {

/// \return what became of a change: where it was accepted, or which operator's change came first.
command_report reportOutcome(const change_outcome& outcome, const change_record& change);

/// Adds at which entries a revision is in force; asks nobody where `entries` is empty.
void addActivationReport(command_report& report, const std::vector<address>& entries, std::uint64_t revision);

} // namespace sagesaddle
