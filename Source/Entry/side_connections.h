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

/// \brief The links to the side processes of the records; opened, closed and told of changes.
///
/// Lock order: this class's lock, then the exchange table's. Links are destroyed outside of both,
/// since a link's destructor waits for its callbacks.
class side_connections {
public:
    struct handlers {
        std::function<void(const load_report&)> onLoad;
        /// The link stands or is gone; a side that says nothing for too long counts as gone until it does.
        std::function<void(const std::string& upstream, bool up)> onLink;
        /// A frame came for a request that is no longer under way here.
        std::function<void(const std::string& upstream)> onStrayFrame;
    };

    side_connections(io_thread_pool& pool, exchange_table& exchanges, handlers callbacks);
    ~side_connections();

    side_connections(const side_connections&) = delete;
    side_connections& operator=(const side_connections&) = delete;

    /// Takes in a newer state: upstreams come, go and move.
    void update(const fleet_state_ptr& state);

    /// \return false where nothing was sent.
    bool send(const std::string& upstream, const message& value);

    /// Asks sides for their load, and tells of those that have fallen silent; to be called often.
    void checkLiveness();

    /// \return the upstreams, and whether the link to each stands.
    std::map<std::string, bool> connectionStates() const;

private:
    struct side {
        address endpoint;
        std::shared_ptr<frame_client> client;
        /// The newest view did not go out yet.
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
