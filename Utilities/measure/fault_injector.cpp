#include "fault_injector.h"

#include "Support/calls.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sagesaddle::measure {

namespace {

constexpr milliseconds killAt { 16000 };
constexpr milliseconds freezeAt { 22000 };
constexpr milliseconds thawAt { 27000 };
constexpr milliseconds logUnreachableAt { 30000 };
constexpr milliseconds logBackAt { 36000 };
constexpr milliseconds balancerDelay { 1000 };
constexpr milliseconds recoveryTime { 3000 };
constexpr std::size_t killedEngine = 3;
constexpr std::size_t zones = 3;
constexpr std::size_t frozenZone = 1;

} // namespace

fault_injector::fault_injector(measured_fleet& target)
    : m_target(target)
{
}

std::vector<std::pair<milliseconds, milliseconds>> fault_injector::faultPeriods()
{
    return { { killAt, killAt + recoveryTime }, { freezeAt, thawAt + recoveryTime },
        { logUnreachableAt, logBackAt + recoveryTime } };
}

void fault_injector::advance(milliseconds now)
{
    testing::fleet& fleet = m_target.processes();
    if (now >= killAt && !std::exchange(m_killed, true)) {
        fleet.engine(killedEngine).process->kill();
        fleet.engineSide(killedEngine).process->kill();
    }
    if (now >= freezeAt && !std::exchange(m_frozen, true))
        setZoneFrozen(true);
    if (now >= thawAt && !std::exchange(m_thawed, true))
        setZoneFrozen(false);
    m_balancerNoticed = now >= freezeAt + balancerDelay && now < thawAt + balancerDelay;
    if (now >= logUnreachableAt && !std::exchange(m_logMadeUnreachable, true))
        testing::setFaults(fleet.log().listen, { { "away", true } });
    if (now >= logBackAt && !std::exchange(m_logRestored, true))
        testing::setFaults(fleet.log().listen, { { "away", false } });
}

void fault_injector::setZoneFrozen(bool frozen)
{
    testing::fleet& fleet = m_target.processes();
    const auto set = [frozen](testing::fleet_member& member) {
        if (!member.process->isRunning())
            return;
        if (frozen)
            member.process->freeze();
        else
            member.process->wake();
    };
    set(fleet.entry(frozenEntry));
    for (std::size_t i = frozenZone; i < m_target.engineCount(); i += zones) {
        set(fleet.engine(i));
        set(fleet.engineSide(i));
    }
}

} // namespace sagesaddle::measure
