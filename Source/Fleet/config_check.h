#pragma once

#include "Fleet/fleet_config.h"

#include <string>
#include <vector>

namespace sagesaddle {

/// \brief How serious a finding in a configuration is.
enum class config_severity {
    /// The gateways cannot serve what the configuration says.
    Error,
    /// The configuration can be served, but a part of it has no effect or contradicts another.
    Warning,
};

/// \brief Something in a configuration that an operator should correct or confirm.
struct config_finding {
    config_severity severity { config_severity::Error };
    /// The entry that is concerned, such as `route 'r-1'`.
    std::string place;
    /// What is wrong and what would remedy it.
    std::string text;

    auto operator<=>(const config_finding&) const = default;
};

/// \brief A difference between two configurations, in one entry.
struct config_change {
    /// The entry that differs, such as `team 'gold'`.
    std::string place;
    /// What differs, with the old and the new value; API keys are counted, never named.
    std::string text;

    auto operator<=>(const config_change&) const = default;
};

/// \brief Finds errors, entries that can never match and limits that contradict each other.
/// \return findings in the order of the configuration; empty if there are none
std::vector<config_finding> checkConfig(const fleet_config& config);

/// \brief Checks that a configuration can replace the one in force.
/// \return findings that concern the replacement; empty if there are none
std::vector<config_finding> checkReplacement(const fleet_config& inForce, const fleet_config& next);

/// \brief Lists what differs between two configurations, by the names of their entries.
std::vector<config_change> compareConfigs(const fleet_config& inForce, const fleet_config& next);

} // namespace sagesaddle
