#pragma once

#include "Base/address.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {

/// \brief Status of an entry, or why it could not be read.
struct entry_status {
    address admin;
    /// The entry's `/admin/status` document; null where it could not be read.
    nlohmann::json document;
    /// Why the document could not be read; empty where it was.
    std::string failure;
};

/// Requests the status of an entry, with a timeout of 1 s; a failure is part of the result.
entry_status fetchStatus(const address& admin);

/// \brief Entries where a revision is in force, and entries that did not confirm it.
struct activation_report {
    /// Name, address and revision of each entry that has the revision or a later one.
    std::vector<std::string> inForce;
    /// Entries that could not be reached, or do not have the revision.
    std::vector<std::string> unconfirmed;
};

/// Polls the entries until a revision is in force at all of them, and starts no further round of requests
/// after 4 s.
activation_report awaitInForce(const std::vector<address>& entries, std::uint64_t revision);

/// \return the report as lines for people.
std::string formatActivationText(const activation_report& report);

} // namespace sagesaddle
