#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Route/waiting_queue.h"
#include "Watch/log.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sagesaddle {

class settings_reader;

/// \brief Settings of a side process.
struct side_settings {
    /// Name of its upstream in the records.
    std::string name;
    /// Listen address for the entries' connections.
    address frames;
    /// Address of the upstream.
    address target;
    /// Listen address of the admin pages.
    address admin;
    /// Address of the platform's log, in which fencing tokens and idempotency keys are recorded.
    address log;
    /// Address of the trace collector; empty if spans are not exported.
    std::optional<address> traces;
    /// Level and file of this process's own log lines.
    log_options logging;
    /// Maximum number of requests that run on the upstream at once; the records may set a lower limit.
    std::uint32_t workers { 64 };
    /// Maximum number of requests in the queue.
    std::uint32_t maxWaiting { 1024 };
    /// Fifo is a baseline for measurements only.
    queue_order queueOrder { queue_order::Fair };
    /// An order that was sent takes effect within this time or never. Used for engines that do not check
    /// fencing tokens; see memory_ledger::options::settlingTime.
    milliseconds orderSettlingTime { 10000 };
    /// Interval between two reads of the engine's report while no order is outstanding and no request waits
    /// for a model.
    milliseconds reportPollInterval { 250 };
};

/// Reads the settings of a side process.
/// \throws settings_error with all errors found
side_settings parseSideSettings(settings_reader& reader);

} // namespace sagesaddle
