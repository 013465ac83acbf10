#include "Limit/rate_limiter.h"

#include "Limit/rate_limiter_core.h"

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace sagesaddle {

namespace {

/// Longest time that a request waits for credit from other entries.
constexpr milliseconds maxCreditWait = 2 * askTimeout;
constexpr milliseconds maintenanceInterval { 250 };

/// \return a random number that two processes are very unlikely to share. It is at most 2^62, so that
/// the ids of asks, which count up from it, do not overflow.
std::uint64_t randomRunId()
{
    std::random_device device;
    const std::uint64_t high = device();
    return (((high << 32) | device()) >> 2) + 1;
}

rate_limiter_core::sharing_options sharingOptionsOf(rate_sharing sharing)
{
    rate_limiter_core::sharing_options options;
    options.borrows = sharing == rate_sharing::Dynamic;
    return options;
}

} // namespace

struct rate_limiter::impl {
    send_to_peer send;
    /// Guards `core`. Nothing is sent while it is held.
    std::mutex mutex;
    rate_limiter_core core;
    /// Notified when a grant was received; also ends its wait when the limiter stops.
    std::condition_variable_any grantReceived;
    std::jthread maintenanceThread;

    impl(std::string self, send_to_peer sender, rate_limiter_core::sharing_options sharing)
        : send(std::move(sender))
        , core(std::move(self), randomRunId(), sharing)
    {
    }

    /// Sends asks without holding the lock. A holder to which an ask cannot be sent counts as away.
    void sendAll(const std::vector<addressed_ask>& asks)
    {
        for (const addressed_ask& each : asks) {
            if (send(each.holder, each.ask))
                continue;
            const std::scoped_lock lock(mutex);
            core.onAskNotSent(each.ask, monotonicNow());
        }
    }

    void runMaintenanceLoop(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            std::unique_lock lock(mutex);
            grantReceived.wait_for(lock, stop, maintenanceInterval, [] { return false; });
            if (stop.stop_requested())
                return;
            const auto asks = core.runMaintenance(monotonicNow());
            lock.unlock();
            sendAll(asks);
        }
    }
};

rate_limiter::rate_limiter(std::string self, send_to_peer send, rate_sharing sharing)
    : m_impl(std::make_unique<impl>(std::move(self), std::move(send), sharingOptionsOf(sharing)))
{
    m_impl->maintenanceThread
        = std::jthread([this](const std::stop_token& stop) { m_impl->runMaintenanceLoop(stop); });
}

rate_limiter::~rate_limiter() = default;

void rate_limiter::update(fleet_state_ptr state, monotonic_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->core.update(std::move(state), now);
}

rate_decision rate_limiter::admit(const std::string& team, double tokens, monotonic_time deadline)
{
    const auto needed = static_cast<token_count>(std::ceil(std::clamp(tokens, 0.0, 1e15)));
    const monotonic_time until = std::min(deadline, monotonicNow() + maxCreditWait);
    std::unique_lock lock(m_impl->mutex);
    while (true) {
        const monotonic_time now = monotonicNow();
        rate_decision decision = m_impl->core.admit(team, needed, now);
        if (decision.admitted) {
            const auto asks = m_impl->core.asksAfterAdmission(team, now);
            lock.unlock();
            m_impl->sendAll(asks);
            return decision;
        }
        if (decision.reason == "request_over_burst" || now >= until)
            return decision;
        const auto asks = m_impl->core.asksForShortfall(team, needed, now);
        if (asks.empty() && !m_impl->core.isAwaitingGrant(team, now))
            return decision;
        lock.unlock();
        m_impl->sendAll(asks);
        lock.lock();
        if (m_impl->core.isAwaitingGrant(team, monotonicNow()))
            m_impl->grantReceived.wait_until(lock, until);
    }
}

credit_grant rate_limiter::answer(const credit_ask& ask, monotonic_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->core.answer(ask, now);
}

void rate_limiter::onGrant(const credit_grant& grant, monotonic_time now)
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->core.onGrant(grant, now);
    }
    m_impl->grantReceived.notify_all();
}

std::uint64_t rate_limiter::runId() const
{
    return m_impl->core.runId();
}

bool rate_limiter::mustRejoin() const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->core.mustRejoin();
}

} // namespace sagesaddle
