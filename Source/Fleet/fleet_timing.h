#pragma once

#include "Base/clock.h"

namespace sagesaddle {

/// \brief Intervals and timeouts between the gateways and their coordinator, all derived from the number of
/// gateways.
///
/// A larger fleet reports less often, which bounds the coordinator's load. The timeouts and age bounds grow
/// with the report interval, so a healthy gateway is never considered lost because the fleet is large.
struct fleet_timing {
    /// Time between a gateway's full reports, unless something requires one sooner.
    milliseconds reportInterval { 0 };
    /// Shortest time between two full reports of a gateway. In between, it requests only credit.
    milliseconds minReportInterval { 0 };
    /// A gateway that got no update from the coordinator for this long considers it gone.
    milliseconds coordinatorTimeout { 0 };
    /// The coordinator considers a gateway that sent no report for this long gone, and its requests ended.
    milliseconds gatewayExpiry { 0 };
    /// Age up to which a report counts as the gateway's present state.
    milliseconds maxReportAge { 0 };
    /// Age up to which the coordinator's confirmation of the configuration saves a gateway from reading the
    /// configuration itself.
    milliseconds maxConfirmationAge { 0 };
    /// Time between a gateway's reads of the coordinator lease while it gets no messages from a coordinator.
    milliseconds leaseReadInterval { 0 };

    auto operator<=>(const fleet_timing&) const = default;
};

/// \param gateways number of gateways in the fleet; 0 counts as 1
fleet_timing fleetTimingFor(unsigned gateways);

} // namespace sagesaddle
