#pragma once

#include "Command/command_line.h"
#include "Command/command_report.h"

namespace sagesaddle {

/// Checks a folder of records by itself and as the first change of an empty fleet.
command_report run(const check_request& request);

/// Shows what `apply` would change.
command_report run(const diff_request& request);

/// Makes the fleet declare what a folder does.
command_report run(const apply_request& request);

/// Shows what each entry is doing.
command_report run(const status_request& request);

/// Shows why a request was routed or refused.
command_report run(const explain_request& request);

/// Tells from gateways' logs why a request ended as it did.
command_report run(const explain_logs_request& request);

/// Makes a random secret and the record of its key.
command_report run(const keys_new_request& request);

/// Withdraws a key, whatever else is changed at the same time.
command_report run(const keys_withdraw_request& request);

/// Lists the keys without their secrets, which nobody has.
command_report run(const keys_list_request& request);

} // namespace sagesaddle
