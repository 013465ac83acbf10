#pragma once

#include "Agree/log_client.h"
#include "Agree/state_replica.h"
#include "Record/fold.h"
#include "Record/log_record.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief An accepted change: its operator, its offset in the log and the revision that it made.
struct accepted_change {
    std::string operatorName;
    std::uint64_t offset { 0 };
    std::uint64_t revision { 0 };

    auto operator<=>(const accepted_change&) const = default;
};

/// \brief Whether an appended change was accepted.
struct change_outcome {
    fold_outcome outcome { fold_outcome::Malformed };
    /// Why the change was not accepted; empty where it was.
    std::string reason;
    /// Offset of the change in the log.
    std::uint64_t offset { 0 };
    /// Revision of the state after the change; the one that it made where it was accepted.
    std::uint64_t revision { 0 };
    /// The last accepted change before this one, unless it made the revision that this one is based on.
    std::optional<accepted_change> winner;

    auto operator<=>(const change_outcome&) const = default;
};

/// \brief Reads the fleet's declared state from the log, and appends changes to it.
class config_writer {
public:
    explicit config_writer(const address& log);

    /// \return the state at the log's end.
    /// \throws log_error, std::runtime_error
    fleet_state_ptr readState();

    /// Appends a change and reads the log to find its outcome. An append that failed is repeated, also where
    /// its answer was lost: the log may then have the record more than once, and the first one counts.
    /// \throws log_error, whose verdict tells whether the change may have taken effect; std::runtime_error
    /// where the log does not have the appended change
    change_outcome submit(const change_record& change, std::uint32_t schema);

private:
    void append(const std::string& text);

    log_client m_log;
    state_replica m_replica;
    std::optional<accepted_change> m_lastAccepted;
};

} // namespace sagesaddle
