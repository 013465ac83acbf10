#include "Gateway/fault_proxy.h"

#include <vector>

namespace sagesaddle {

fault_proxy::fault_proxy(event_loop& loop, address target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_listener(loop, { "127.0.0.1", 0 }, [this](evutil_socket_t socket) { accept(socket); })
{
}

fault_proxy::~fault_proxy() = default;

void fault_proxy::accept(evutil_socket_t socket)
{
    if (m_mode == behaviour::Cutting) {
        evutil_closesocket(socket);
        return;
    }
    auto made = std::make_shared<pair>();
    pair* const raw = made.get();
    made->near = std::make_unique<tcp_stream>(m_loop, socket);
    made->far = std::make_unique<tcp_stream>(m_loop, m_target, seconds(30));
    m_pairs.emplace(raw, made);
    for (auto* stream : { made->near.get(), made->far.get() })
        stream->handle({ {}, [this, raw] { pass(*raw); }, {},
            [this, raw](stream_end) {
                pass(*raw);
                drop(raw);
            } });
}

void fault_proxy::pass(pair& which)
{
    const auto move = [](tcp_stream& from, tcp_stream& to) {
        const auto bytes = from.readable();
        to.write(bytes);
        from.consume(bytes.size());
    };
    if (m_mode == behaviour::Passing || m_mode == behaviour::OneWay)
        move(*which.near, *which.far);
    if (m_mode == behaviour::Passing)
        move(*which.far, *which.near);
}

void fault_proxy::drop(const pair* which)
{
    const auto found = m_pairs.find(which);
    if (found == m_pairs.end())
        return;
    found->second->near->handle({});
    found->second->far->handle({});
    // Kept until the next one goes, since its own handler may be running.
    m_dropped = std::move(found->second);
    m_pairs.erase(found);
}

void fault_proxy::setMode(behaviour mode)
{
    m_mode = mode;
    if (mode == behaviour::Cutting)
        cutAll();
    for (const auto& [key, value] : m_pairs)
        pass(*value);
}

void fault_proxy::cutAll()
{
    std::vector<const pair*> all;
    for (const auto& [key, value] : m_pairs)
        all.push_back(key);
    for (const auto* which : all)
        drop(which);
}

} // namespace sagesaddle
