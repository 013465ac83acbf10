#pragma once

#include "Command/command_line.h"
#include "Command/command_report.h"

// Each command returns its report, or throws record_error for invalid records, log_error where the log failed
// and other std::exceptions; runCommand turns these into reports.

namespace sagesaddle {

/// Checks a folder of records by itself and as the first change of an empty fleet.
command_report run(const check_request& request);

/// Shows what `apply` would change.
command_report run(const diff_request& request);

/// Makes the fleet declare the objects of a folder.
command_report run(const apply_request& request);

/// Shows the status of each entry.
command_report run(const status_request& request);

/// Shows the decisions that entries recorded for a trace.
command_report run(const explain_request& request);

/// Explains from gateways' logs why a request ended as it did.
command_report run(const explain_logs_request& request);

/// Checks a configuration of the gateways, and compares it with the one in force.
command_report run(const check_config_request& request);

/// Makes a random secret and the record of its key.
command_report run(const keys_new_request& request);

/// Withdraws a key; tries again, up to 10 times in all, where another operator's change was accepted first.
command_report run(const keys_withdraw_request& request);

/// Lists the keys without their secrets, which are stored nowhere.
command_report run(const keys_list_request& request);

} // namespace sagesaddle
