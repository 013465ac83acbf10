#pragma once

#include "measure_tally.h"
#include "measure_trace.h"

#include "Support/fleet.h"

#include <memory>
#include <string>

namespace sagesaddle::measure {

/// \brief The processes of a deployment: the real daemons, and stand-ins for the rest.
class measure_fleet {
public:
    /// \param baseline whether the daemons decide by the naive versions
    measure_fleet(const deployment& of, const trace& given, bool baseline);

    testing::fleet& processes() { return *m_fleet; }

    std::size_t engineCount() const { return m_of.engines; }

    /// \return what the stand-ins counted since the start.
    fleet_counts counts();

private:
    testing::fleet_options planOf(const deployment& of, const trace& given, bool baseline) const;

    deployment m_of;
    address m_storeAddress;
    std::unique_ptr<testing::temp_folder> m_folder;
    std::unique_ptr<testing::child_process> m_store;
    std::unique_ptr<testing::fleet> m_fleet;
};

} // namespace sagesaddle::measure
