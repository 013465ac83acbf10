#pragma once

#include "Base/clock.h"
#include "Entry/exchange.h"
#include "Record/fleet_state.h"
#include "Route/liveness_monitor.h"
#include "Wire/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sagesaddle {

class frame_client;
class io_thread_pool;

/// \brief Connections to the side processes of all upstreams in the records.
///
/// Sends each side process its part of the state (the side view) when that changes, and monitors its
/// liveness.
///
/// Thread-safe. Lock order: the lock of this class, then that of the exchange table. Clients are destroyed
/// while neither is held, since the destructor of a client waits for its callbacks.
class side_connections {
public:
    /// \brief Called on the I/O threads, or on the thread that calls checkLiveness().
    struct handlers {
        std::function<void(const load_report&)> onLoad;
        /// The side process was connected or disconnected. One that stops answering counts as disconnected
        /// until it sends something again.
        std::function<void(const std::string& upstream, bool up)> onLink;
        /// A frame arrived for a request that is no longer in flight.
        std::function<void(const std::string& upstream)> onStrayFrame;
    };

    side_connections(io_thread_pool& pool, exchange_table& exchanges, handlers callbacks);
    ~side_connections();

    side_connections(const side_connections&) = delete;
    side_connections& operator=(const side_connections&) = delete;

    /// Applies a newer state, in which upstreams may be added, removed or have another address.
    void update(const fleet_state_ptr& state);

    /// Sends a message to the side process of an upstream.
    /// \return false if nothing was sent
    bool send(const std::string& upstream, const message& value);

    /// Probes side processes that may be silent, and reports those that have become silent. Call it often:
    /// silence is detected only by these calls.
    void checkLiveness();

    /// \return the upstreams and whether the side process of each is connected.
    std::map<std::string, bool> connectionStates() const;

private:
    struct side {
        address endpoint;
        std::shared_ptr<frame_client> client;
        /// The newest side view could not be sent yet.
        bool isViewPending { false };
    };
    using client_list = std::vector<std::shared_ptr<frame_client>>;

    std::shared_ptr<frame_client> openClient(const std::string& upstream, const address& endpoint);
    void onMessage(const std::string& upstream, message value);
    void onUp(const std::string& upstream);
    void onDown(const std::string& upstream);
    template <typename Frame> void deliver(const std::string& upstream, Frame frame);
    void recordConnection(const std::string& upstream, bool up);
    void onReceived(const std::string& upstream);
    void sendView(const std::string& upstream);
    client_list removeStaleClients(const fleet_state& state);

    io_thread_pool& m_pool;
    exchange_table& m_exchanges;
    const handlers m_handlers;
    mutable std::mutex m_mutex;
    fleet_state_ptr m_state;
    std::map<std::string, side> m_sides;
    liveness_monitor m_liveness { {} };
};

} // namespace sagesaddle
