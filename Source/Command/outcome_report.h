#pragma once

#include "Base/address.h"
#include "Command/command_report.h"
#include "Command/config_writer.h"

#include <vector>

namespace sagesaddle {

/// \return the report of a submitted change: its offset and revision where it was accepted; otherwise the
/// reason, and the operator whose change was accepted first.
command_report reportOutcome(const change_outcome& outcome, const change_record& change);

/// Waits for a revision to be in force at the entries and adds the result to the report. Does nothing where
/// `entries` is empty.
void addActivationReport(command_report& report, const std::vector<address>& entries, std::uint64_t revision);

} // namespace sagesaddle
