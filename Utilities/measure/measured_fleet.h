#pragma once

#include "run_summary.h"
#include "workload.h"

#include "Support/fleet.h"

#include <memory>
#include <string>

namespace sagesaddle::measure {

/// \brief The processes of a deployment: the real daemons, and fakes of engines, services, the log and the
/// store.
class measured_fleet {
public:
    /// \param baseline whether the daemons decide by the baseline policies
    measured_fleet(const deployment& sizes, const workload& load, bool baseline);

    testing::fleet& processes() { return *m_fleet; }

    std::size_t engineCount() const { return m_sizes.engines; }

    /// \return the counts of the running fakes since their start.
    fleet_counts counts();

private:
    testing::fleet_options makePlan(const deployment& sizes, const workload& load, bool baseline) const;

    deployment m_sizes;
    address m_storeAddress;
    std::unique_ptr<testing::temp_folder> m_folder;
    std::unique_ptr<testing::child_process> m_store;
    std::unique_ptr<testing::fleet> m_fleet;
};

} // namespace sagesaddle::measure
