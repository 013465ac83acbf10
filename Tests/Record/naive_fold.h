#pragma once

#include "Record/fold.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle::testing {

/// \brief The state after a history of records, in a simple form: objects as JSON, checked as a whole after
/// every change. The reference for fleet_state and fold.
struct naive_state {
    std::uint64_t revision { 0 };
    /// Declared objects by kind and name.
    std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
    /// Number of the current membership epoch.
    std::uint64_t epoch { 0 };
    std::set<std::string> members;
    /// Holder and fencing token by duty.
    std::map<std::string, std::pair<std::string, std::uint64_t>> leases;
    /// Whether each planned copy is pinned, by model and upstream.
    std::map<std::pair<std::string, std::string>, bool> plan;
    /// Ids of all folded records.
    std::set<std::string> ids;

    bool operator==(const naive_state&) const = default;
};

/// \brief Folds one record. Copies the whole state and checks all of it.
fold_outcome naiveFold(naive_state& state, std::uint64_t offset, const std::string& text);

/// \return the same state in the naive form, without ids.
naive_state toNaiveState(const fleet_state& state);

} // namespace sagesaddle::testing
