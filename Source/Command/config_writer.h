#pragma once

#include "Agree/log_client.h"
#include "Agree/state_replica.h"
#include "Record/fold.h"
#include "Record/log_record.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sagesaddle {

/// \brief A change that was accepted: who made it, and the revision that it made.
struct accepted_change {
    std::string operatorName;
    std::uint64_t offset { 0 };
    std::uint64_t revision { 0 };

    auto operator<=>(const accepted_change&) const = default;
};

/// \brief What became of a change that was appended.
struct change_outcome {
    fold_outcome outcome { fold_outcome::Malformed };
    std::string reason;
    std::uint64_t offset { 0 };
    /// Revision that it made, where it was accepted.
    std::uint64_t revision { 0 };
    /// The last accepted change before it, where that made another revision than it was made against.
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

    /// Appends a change and reads back what became of it. An append whose answer was lost is sent again.
    /// \throws log_error, its verdict telling whether the change may have taken effect
    change_outcome submit(const change_record& change, std::uint32_t schema);

private:
    void append(const std::string& text);

    log_client m_log;
    state_replica m_replica;
    std::optional<accepted_change> m_lastAccepted;
};

} // namespace sagesaddle
