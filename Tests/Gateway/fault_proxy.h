#pragma once

#include "Loop/tcp_listener.h"
#include "Loop/tcp_stream.h"

#include <map>
#include <memory>

namespace sagesaddle {

/// \brief A loopback proxy that delays nothing by itself and breaks connections as told.
class fault_proxy {
public:
    enum class behaviour {
        Passing,
        /// Bytes in both directions stay where they are; connections are accepted.
        Silent,
        /// What the callers send is passed on, what comes back is not.
        OneWay,
        /// Every connection is cut at once.
        Cutting,
    };

    fault_proxy(event_loop& loop, address target);
    ~fault_proxy();

    address where() const { return { "127.0.0.1", m_listener.port() }; }
    void setMode(behaviour mode);
    /// Cuts the connections that are open now.
    void cutAll();

private:
    struct pair {
        std::unique_ptr<tcp_stream> near;
        std::unique_ptr<tcp_stream> far;
    };

    void accept(evutil_socket_t socket);
    void pass(pair& which);
    void drop(const pair* which);

    event_loop& m_loop;
    address m_target;
    behaviour m_mode { behaviour::Passing };
    std::map<const pair*, std::shared_ptr<pair>> m_pairs;
    std::shared_ptr<pair> m_dropped;
    tcp_listener m_listener;
};

} // namespace sagesaddle
