#include "Entry/exchange.h"

#include <algorithm>

namespace sagesaddle {

namespace {

/// Bytes of an answer that may be queued for a slow caller.
constexpr std::size_t maxQueuedBytes = std::size_t { 4 } << 20U;

std::size_t sizeOf(const exchange_event& event)
{
    const auto* data = std::get_if<answer_data>(&event);
    return data ? data->bytes.size() : 0;
}

} // namespace

exchange::exchange(std::uint64_t id, std::string upstream)
    : m_id(id)
    , m_upstream(std::move(upstream))
{
}

void exchange::push(exchange_event event)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_overflowed)
            return;
        m_queuedBytes += sizeOf(event);
        if (m_queuedBytes > maxQueuedBytes) {
            m_overflowed = true;
            m_events.clear();
            event = answer_overflow {};
        }
        m_events.push_back(std::move(event));
    }
    m_arrived.notify_one();
}

exchange_event exchange::wait(monotonic_time deadline)
{
    std::unique_lock lock(m_mutex);
    if (!m_arrived.wait_until(lock, deadline, [this] { return !m_events.empty(); }))
        return wait_expired {};
    exchange_event event = std::move(m_events.front());
    m_events.pop_front();
    m_queuedBytes -= std::min(m_queuedBytes, sizeOf(event));
    return event;
}

std::shared_ptr<exchange> exchange_table::open(const std::string& upstream)
{
    const std::lock_guard lock(m_mutex);
    auto opened = std::make_shared<exchange>(m_nextId++, upstream);
    m_exchanges.emplace(opened->id(), opened);
    return opened;
}

void exchange_table::close(std::uint64_t id)
{
    const std::lock_guard lock(m_mutex);
    m_exchanges.erase(id);
}

bool exchange_table::deliver(const std::string& upstream, std::uint64_t id, exchange_event event)
{
    std::shared_ptr<exchange> owner;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_exchanges.find(id);
        if (found == m_exchanges.end() || found->second->upstream() != upstream)
            return false;
        owner = found->second;
    }
    owner->push(std::move(event));
    return true;
}

void exchange_table::pushToAll(const std::string& upstream, const exchange_event& event)
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, open] : m_exchanges) {
        if (open->upstream() == upstream)
            open->push(event);
    }
}

void exchange_table::onConnectionLost(const std::string& upstream)
{
    pushToAll(upstream, connection_lost {});
}

void exchange_table::onSilence(const std::string& upstream)
{
    pushToAll(upstream, upstream_silent {});
}

std::set<std::string> exchange_table::busyUpstreams() const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> upstreams;
    for (const auto& [id, item] : m_exchanges)
        upstreams.insert(item->upstream());
    return upstreams;
}

std::size_t exchange_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_exchanges.size();
}

} // namespace sagesaddle
