#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief A process's claim of an idempotency key, made before it runs the call.
struct key_claim {
    /// Unique to the claim; a claim that is appended twice has the same id.
    std::string id;
    /// Hash of team and idempotency key.
    std::string keyHash;
    /// Wall time of the writer, in milliseconds since 1970.
    std::uint64_t timeMs { 0 };

    auto operator<=>(const key_claim&) const = default;
};

/// \brief Frees the key of a claim whose writer did not run the call and never will.
struct claim_release {
    std::string claimId;
    std::string keyHash;

    auto operator<=>(const claim_release&) const = default;
};

/// \brief One part of a snapshot: of all claims that are remembered below an offset.
struct claim_snapshot_part {
    /// The snapshot covers the records below this offset.
    std::uint64_t through { 0 };
    /// Number of this part, from 0.
    std::uint32_t part { 0 };
    /// How many parts the snapshot has.
    std::uint32_t parts { 1 };
    /// \see claim_table::forgottenThroughMs
    std::uint64_t forgottenThroughMs { 0 };
    /// In the order of their offsets.
    std::vector<key_claim> claims;

    auto operator<=>(const claim_snapshot_part&) const = default;
};

/// Any record of a claims stream.
using claim_record = std::variant<key_claim, claim_release, claim_snapshot_part>;

/// \brief Error: a text is not a record of a claims stream.
class claim_record_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Parses a record as written by formatClaimRecord().
/// \throws claim_record_error that names what is wrong
claim_record parseClaimRecord(std::string_view text);

/// \return the record as JSON.
std::string formatClaimRecord(const claim_record& record);

/// \return the hash under which a team's idempotency key is claimed; it differs between teams.
std::string hashClaimKey(std::string_view team, std::string_view key);

} // namespace sagesaddle
