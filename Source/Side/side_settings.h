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

/// \brief What a side process is started with.
struct side_settings {
    /// Name of its upstream in the records.
    std::string name;
    address frames;
    address target;
    address admin;
    address log;
    std::optional<address> traces;
    log_options logging;
    /// Requests that run on the upstream at once, at most, whatever the records say.
    std::uint32_t workers { 64 };
    /// Requests that wait at most.
    std::uint32_t maxWaiting { 1024 };
    /// The baseline serves measurements only.
    queue_order queueOrder { queue_order::Fair };
    /// After this time an order that was sent has taken effect or never will; counts only for engines
    /// that do not check fencing numbers.
    milliseconds orderSettlingTime { 10000 };
    /// Time between two looks at the engine's report while no order is outstanding.
    milliseconds reportPollInterval { 250 };
};

/// Takes the settings out of a reader.
/// \throws settings_error naming every fault
side_settings parseSideSettings(settings_reader& reader);

} // namespace sagesaddle
