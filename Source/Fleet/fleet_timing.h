#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Times of the exchange between the gateways and their coordinator, all from the size of the fleet;
/// pure.
///
/// The coordinator's work is bounded by spreading the reports: what compares with the age of a report or of
/// the news follows from their pause, so that a sound gateway never looks lost because the fleet is large.
struct fleet_timing {
    /// Between a gateway's whole reports, where nothing asks for one sooner.
    milliseconds reportInterval { 0 };
    /// Shortest time between two whole reports of a gateway; in between, it asks for credit only.
    milliseconds minReportInterval { 0 };
    /// Without news, the coordinator counts as away.
    milliseconds coordinatorTimeout { 0 };
    /// Without a report, a gateway counts as gone and its work as ended.
    milliseconds gatewayExpiry { 0 };
    /// Age of a report up to which it tells how things are.
    milliseconds maxReportAge { 0 };
    /// Age of the coordinator's evidence of the configuration up to which a gateway does not read it itself.
    milliseconds maxConfirmationAge { 0 };
    /// Between two looks of a gateway for a coordinator in the store while it hears none.
    milliseconds leaseReadInterval { 0 };

    auto operator<=>(const fleet_timing&) const = default;
};

/// \param gateways gateways in the fleet; 0 counts as one
fleet_timing fleetTimingFor(unsigned gateways);

} // namespace sagesaddle
