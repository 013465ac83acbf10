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

/// \brief Frames to and from the other entries: asks come in on the server, answers on the links.
///
/// Nothing is sent or received before start() and after stop(). Links are destroyed outside of the
/// lock, since a link's destructor waits for its callbacks.
class peer_connections {
public:
    struct handlers {
        std::function<tail_answer(const tail_ask&)> onTailAsk;
        std::function<credit_grant(const credit_ask&)> onCreditAsk;
        std::function<void(const std::string& entry, const tail_answer&)> onTailAnswer;
        std::function<void(const credit_grant&)> onGrant;
    };

    /// \param self name of this entry in the records
    /// \param seeds peers that are asked before the records name any; each goes by its `ip:port`
    peer_connections(io_thread_pool& pool, std::string self, const std::vector<address>& seeds);
    ~peer_connections();

    peer_connections(const peer_connections&) = delete;
    peer_connections& operator=(const peer_connections&) = delete;

    /// Listens, and opens the links.
    /// \throws std::system_error where it cannot listen there
    void start(const address& listen, handlers callbacks);

    /// Closes everything; waits for the callbacks that run.
    void stop();

    /// Takes in a newer state: entries come, go and move.
    void update(const fleet_state& state);

    /// \return false where nothing was sent.
    bool send(const std::string& entry, const message& value);

    /// \return the other entries, and whether the link to each stands.
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
    std::map<std::string, address> m_targets;
    std::map<std::string, address> m_seeds;
    std::map<std::string, peer> m_peers;
    std::unique_ptr<frame_server> m_server;
};

} // namespace sagesaddle
