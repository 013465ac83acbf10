#pragma once

#include "Record/fold.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle::testing {

/// \brief What a history amounts to, kept as JSON and checked whole after every change.
struct naive_state {
    std::uint64_t revision { 0 };
    /// By kind and name.
    std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
    std::uint64_t epoch { 0 };
    std::set<std::string> members;
    std::map<std::string, std::pair<std::string, std::uint64_t>> leases;
    /// Planned copies by model and upstream, with whether each is pinned.
    std::map<std::pair<std::string, std::string>, bool> plan;
    std::set<std::string> ids;

    bool operator==(const naive_state&) const = default;
};

/// Folds one record, copying the whole state and checking all of it.
fold_outcome naiveFold(naive_state& state, std::uint64_t offset, const std::string& text);

/// \return the production state in the naive form, without ids.
naive_state toNaiveState(const fleet_state& state);

} // namespace sagesaddle::testing
