#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief A process's wish to run a call that may run once.
struct key_claim {
    /// Unique for the claim; a claim appended twice has the same id.
    std::string id;
    /// Hash of team and idempotency key.
    std::string keyHash;
    /// Wall time of the writer, in milliseconds since 1970.
    std::uint64_t timeMs { 0 };

    auto operator<=>(const key_claim&) const = default;
};

/// \brief The writer of a claim did not run the call and never will: the key is free again.
struct claim_release {
    std::string claimId;
    std::string keyHash;

    auto operator<=>(const claim_release&) const = default;
};

/// \brief One part of all claims remembered below an offset.
struct claim_snapshot_part {
    /// The snapshot covers the records below this offset.
    std::uint64_t through { 0 };
    std::uint32_t part { 0 };
    std::uint32_t parts { 1 };
    /// \see claim_table::forgottenThroughMs
    std::uint64_t forgottenThroughMs { 0 };
    /// In the order of their offsets.
    std::vector<key_claim> claims;

    auto operator<=>(const claim_snapshot_part&) const = default;
};

/// Any record of a claims stream.
using claim_record = std::variant<key_claim, claim_release, claim_snapshot_part>;

/// \brief A text that is no record of a claims stream.
class claim_record_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// \throws claim_record_error saying what is wrong
claim_record parseClaimRecord(std::string_view text);

/// \return the record as JSON.
std::string formatClaimRecord(const claim_record& record);

/// \return the hash under which a team's idempotency key is claimed.
std::string hashClaimKey(std::string_view team, std::string_view key);

} // namespace sagesaddle
