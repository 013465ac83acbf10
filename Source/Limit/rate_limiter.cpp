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

/// Time that a request waits for credit from other entries.
constexpr milliseconds longestWait = 2 * askTimeout;
constexpr milliseconds housekeepInterval { 250 };

/// \return a number that two processes hardly share, with room above it to count on.
std::uint64_t drawRun()
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
    /// Guards `member`. Nothing is sent while it is held.
    std::mutex mutex;
    rate_limiter_core member;
    /// Notified when a grant came or the gate stops.
    std::condition_variable_any granted;
    std::jthread housekeeper;

    impl(std::string self, send_to_peer sender, rate_limiter_core::sharing_options sharing)
        : send(std::move(sender))
        , member(std::move(self), drawRun(), sharing)
    {
    }

    /// Sends asks without the lock; the holder of one that cannot be sent counts as away.
    void sendAll(const std::vector<addressed_ask>& asks)
    {
        for (const addressed_ask& each : asks) {
            if (send(each.holder, each.ask))
                continue;
            const std::scoped_lock lock(mutex);
            member.onAskNotSent(each.ask, monotonicNow());
        }
    }

    void housekeep(const std::stop_token& stop)
    {
        while (!stop.stop_requested()) {
            std::unique_lock lock(mutex);
            granted.wait_for(lock, stop, housekeepInterval, [] { return false; });
            if (stop.stop_requested())
                return;
            const auto asks = member.housekeep(monotonicNow());
            lock.unlock();
            sendAll(asks);
        }
    }
};

rate_limiter::rate_limiter(std::string self, send_to_peer send, rate_sharing sharing)
    : m_impl(std::make_unique<impl>(std::move(self), std::move(send), sharingOptionsOf(sharing)))
{
    m_impl->housekeeper = std::jthread([this](const std::stop_token& stop) { m_impl->housekeep(stop); });
}

rate_limiter::~rate_limiter() = default;

void rate_limiter::update(fleet_state_ptr state, monotonic_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->member.update(std::move(state), now);
}

rate_decision rate_limiter::admit(const std::string& team, double tokens, monotonic_time deadline)
{
    const auto needed = static_cast<token_count>(std::ceil(std::clamp(tokens, 0.0, 1e15)));
    const monotonic_time until = std::min(deadline, monotonicNow() + longestWait);
    std::unique_lock lock(m_impl->mutex);
    while (true) {
        const monotonic_time now = monotonicNow();
        rate_decision decision = m_impl->member.admit(team, needed, now);
        if (decision.admitted) {
            const auto ahead = m_impl->member.asksAfterAdmission(team, now);
            lock.unlock();
            m_impl->sendAll(ahead);
            return decision;
        }
        if (decision.reason == "request_over_burst" || now >= until)
            return decision;
        const auto asks = m_impl->member.asksForShortfall(team, needed, now);
        if (asks.empty() && !m_impl->member.isAwaitingGrant(team, now))
            return decision;
        lock.unlock();
        m_impl->sendAll(asks);
        lock.lock();
        if (m_impl->member.isAwaitingGrant(team, monotonicNow()))
            m_impl->granted.wait_until(lock, until);
    }
}

credit_grant rate_limiter::answer(const credit_ask& ask, monotonic_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->member.answer(ask, now);
}

void rate_limiter::onGrant(const credit_grant& grant, monotonic_time now)
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->member.onGrant(grant, now);
    }
    m_impl->granted.notify_all();
}

std::uint64_t rate_limiter::runId() const
{
    return m_impl->member.runId();
}

bool rate_limiter::mustRejoin() const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->member.mustRejoin();
}

} // namespace sagesaddle
