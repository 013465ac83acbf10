#pragma once

#include "Base/address.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief What an entry says of itself, or why it could not be asked.
struct entry_status {
    address admin;
    /// Its `/admin/status` document; null where there is none.
    nlohmann::json document;
    /// Why there is none.
    std::string failure;
};

/// Asks an entry for its status.
entry_status fetchStatus(const address& admin);

/// \brief At which entries a revision is in force, as far as they could be asked.
struct activation_report {
    std::vector<std::string> inForce;
    /// Entries that could not be asked, or do not have the revision.
    std::vector<std::string> unconfirmed;
};

/// Asks entries until all have a revision in force, for 4 s at most.
activation_report awaitInForce(const std::vector<address>& entries, std::uint64_t revision);

/// \return the report as lines for people.
std::string formatActivationText(const activation_report& report);

} // namespace sagesaddle
