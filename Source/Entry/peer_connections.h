#pragma once

#include "Base/address.h"
#include "Record/fleet_state.h"
#include "Wire/frame_server.h"
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

/// \brief Exchanges frames with the other entries: requests arrive at a server, answers at one client per
/// entry.
///
/// Nothing is sent or received before start() and after stop(). Thread-safe. Clients are destroyed while the
/// lock is not held, since the destructor of a client waits for its callbacks.
class peer_connections {
public:
    /// \brief Called on the I/O threads.
    struct handlers {
        /// Answer the requests of other entries.
        std::function<tail_answer(const tail_request&)> onTailRequest;
        std::function<credit_grant(const credit_ask&)> onCreditAsk;
        /// Receive the answers of other entries.
        std::function<void(const std::string& entry, const tail_answer&)> onTailAnswer;
        std::function<void(const credit_grant&)> onGrant;
    };

    /// \param self name of this entry in the records
    /// \param seeds entries to connect to until a state lists the entries; each is named by its `ip:port`
    peer_connections(io_thread_pool& pool, std::string self, const std::vector<address>& seeds);
    ~peer_connections();

    peer_connections(const peer_connections&) = delete;
    peer_connections& operator=(const peer_connections&) = delete;

    /// Starts to listen and to connect to the other entries.
    /// \throws std::system_error if it cannot listen on the address
    void start(const address& listen, handlers callbacks);

    /// Closes all connections; waits for running callbacks.
    void stop();

    /// Applies a newer state, in which entries may be added, removed or have another address.
    void update(const fleet_state& state);

    /// Sends a message to another entry.
    /// \return false if nothing was sent
    bool send(const std::string& entry, const message& value);

    /// \return the other entries and whether each is connected.
    std::map<std::string, bool> connectionStates() const;

private:
    struct peer {
        address endpoint;
        std::shared_ptr<frame_client> client;
    };

    void openMissingClients();
    std::shared_ptr<frame_client> openClient(const std::string& entry, const address& endpoint);
    void onRequest(connection_id connection, const message& value);
    void onAnswer(const std::string& entry, const message& value);

    io_thread_pool& m_pool;
    const std::string m_self;
    handlers m_handlers;
    mutable std::mutex m_mutex;
    bool m_running { false };
    /// Entries to be connected to.
    std::map<std::string, address> m_targets;
    std::map<std::string, address> m_seeds;
    std::map<std::string, peer> m_peers;
    std::unique_ptr<frame_server> m_server;
};

} // namespace sagesaddle
