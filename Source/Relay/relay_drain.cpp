// The relay's functions for stopping without cutting requests.
#include "Relay/relay.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Weight of a new observation in the usual duration of a model's requests.
constexpr double durationWeight = 0.1;

} // namespace

bool relay::isIdle() const
{
    return m_running == 0 && std::all_of(m_callers.begin(), m_callers.end(), [](const auto& item) {
        return item.second->unwritten() == 0;
    });
}

bool relay::mayStart(const relay_exchange& request)
{
    return !m_drain || m_drain->admits(monotonicNow(), statsOf(request).usualDuration);
}

void relay::recordDuration(const relay_exchange& request)
{
    const monotonic_duration observed = monotonicNow() - request.transmittedAt();
    monotonic_duration& usual = statsOf(request).usualDuration;
    if (usual == monotonic_duration::zero())
        usual = observed;
    else
        usual += std::chrono::duration_cast<monotonic_duration>(durationWeight * (observed - usual));
}

} // namespace sagesaddle
