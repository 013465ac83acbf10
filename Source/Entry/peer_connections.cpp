#include "Entry/peer_connections.h"

#include "Base/overloaded.h"
#include "Watch/log.h"
#include "Wire/frame_client.h"
#include "Wire/frame_codec.h"

namespace sagesaddle {

peer_connections::peer_connections(io_thread_pool& pool, std::string self, const std::vector<address>& seeds)
    : m_pool(pool)
    , m_self(std::move(self))
{
    for (const auto& seed : seeds)
        m_seeds[formatAddress(seed)] = seed;
    m_targets = m_seeds;
}

peer_connections::~peer_connections()
{
    stop();
}

void peer_connections::start(const address& listen, handlers callbacks)
{
    m_handlers = std::move(callbacks);
    frame_server::handlers serverHandlers;
    serverHandlers.onMessage
        = [this](connection_id connection, const message& value) { onRequest(connection, value); };
    {
        const std::lock_guard lock(m_mutex);
        m_server = std::make_unique<frame_server>(m_pool, listen, std::move(serverHandlers));
        m_running = true;
        openMissingClients();
    }
}

void peer_connections::stop()
{
    std::map<std::string, peer> closing;
    std::unique_ptr<frame_server> server;
    const std::lock_guard lock(m_mutex);
    m_running = false;
    closing.swap(m_peers);
    server.swap(m_server);
}

void peer_connections::update(const fleet_state& state)
{
    std::vector<std::shared_ptr<frame_client>> staleClients;
    const std::lock_guard lock(m_mutex);
    m_targets.clear();
    for (const auto& [name, record] : state.entries) {
        if (name != m_self)
            m_targets[name] = record.peer;
    }
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const auto target = m_targets.find(it->first);
        if (target != m_targets.end() && target->second == it->second.endpoint) {
            ++it;
            continue;
        }
        staleClients.push_back(std::move(it->second.client));
        it = m_peers.erase(it);
    }
    openMissingClients();
}

// The caller holds the lock.
void peer_connections::openMissingClients()
{
    if (!m_running)
        return;
    for (const auto& [name, endpoint] : m_targets) {
        if (!m_peers.contains(name))
            m_peers[name] = { endpoint, openClient(name, endpoint) };
    }
}

std::shared_ptr<frame_client> peer_connections::openClient(const std::string& entry, const address& endpoint)
{
    frame_client::handlers callbacks;
    callbacks.onMessage = [this, entry](const message& value) { onAnswer(entry, value); };
    return std::make_shared<frame_client>(m_pool, endpoint, std::move(callbacks));
}

bool peer_connections::send(const std::string& entry, const message& value)
{
    std::shared_ptr<frame_client> client;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_peers.find(entry);
        if (found == m_peers.end())
            return false;
        client = found->second.client;
    }
    return client->send(value);
}

std::map<std::string, bool> peer_connections::connectionStates() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, bool> states;
    for (const auto& [name, value] : m_peers)
        states[name] = value.client->isUp();
    return states;
}

void peer_connections::onRequest(connection_id connection, const message& value)
{
    std::optional<message> answer;
    std::visit(overloaded {
                   [&](const tail_request& request) { answer = m_handlers.onTailRequest(request); },
                   [&](const credit_ask& ask) { answer = m_handlers.onCreditAsk(ask); },
                   [](const auto&) {},
               },
        value);
    if (!answer)
        return;
    try {
        const std::lock_guard lock(m_mutex);
        if (m_server)
            m_server->send(connection, *answer);
    } catch (const frame_error& error) {
        writeLog(log_level::Error, "an answer to another entry cannot be sent; dropping it",
            { { "error", error.what() } });
    }
}

void peer_connections::onAnswer(const std::string& entry, const message& value)
{
    std::visit(overloaded {
                   [&](const tail_answer& answer) { m_handlers.onTailAnswer(entry, answer); },
                   [&](const credit_grant& grant) { m_handlers.onGrant(grant); },
                   [](const auto&) {},
               },
        value);
}

} // namespace sagesaddle
