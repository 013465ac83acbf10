#pragma once

#include "Limit/share_tenure.h"
#include "Record/fleet_state.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle::testing {

/// \brief Builds states of a fleet; each call appends one record.
class fleet_state_builder {
public:
    fleet_state_builder& withTeam(const std::string& name, double rate, double burst)
    {
        m_state.teams[name] = team { name, rate, burst, priority::Interactive };
        ++m_state.nextOffset;
        return *this;
    }

    fleet_state_builder& withoutTeam(const std::string& name)
    {
        m_state.teams.erase(name);
        ++m_state.nextOffset;
        return *this;
    }

    /// Appends a membership epoch, whose number is the offset of its record.
    fleet_state_builder& withEpoch(std::vector<std::string> members, member_run_ids runs = {})
    {
        std::sort(members.begin(), members.end());
        m_state.pastEpochs.push_back(m_state.epoch);
        if (m_state.pastEpochs.size() > maxPastEpochs)
            m_state.pastEpochs.erase(m_state.pastEpochs.begin());
        m_state.epoch = { m_state.nextOffset, std::move(members), std::move(runs) };
        ++m_state.nextOffset;
        return *this;
    }

    fleet_state_ptr state() const { return std::make_shared<const fleet_state>(m_state); }

private:
    fleet_state m_state { 1 };
};

} // namespace sagesaddle::testing
