#include "Wire/frame_server.h"

#include "Wire/callback_gate.h"
#include "Wire/frame_codec.h"
#include "Wire/frame_connection.h"
#include "Wire/io_thread_pool_impl.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <condition_variable>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace sagesaddle {

namespace {

constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

asio::ip::tcp::endpoint endpointOf(const address& value)
{
    return { asio::ip::make_address(value.ip), value.port };
}

} // namespace

// Lock order: the gate, then `mutex`, then the queue mutex of a connection.
struct frame_server::impl : std::enable_shared_from_this<frame_server::impl> {
    impl(io_thread_pool& pool, const address& listen, handlers callbacks)
        : context(pool.internals().context)
        , acceptor(asio::make_strand(context), endpointOf(listen))
        , retryTimer(acceptor.get_executor())
        , events(std::move(callbacks))
    {
        listenAddress = { acceptor.local_endpoint().address().to_string(), acceptor.local_endpoint().port() };
    }

    void accept()
    {
        acceptor.async_accept(asio::make_strand(context),
            [self = shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
                if (error == asio::error::operation_aborted || !self->acceptor.is_open())
                    return;
                if (error)
                    return self->acceptLater();
                self->addConnection(std::move(socket));
                self->accept();
            });
    }

    // The error may be temporary, such as too many open files.
    void acceptLater()
    {
        retryTimer.expires_after(acceptRetryDelay);
        retryTimer.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error && self->acceptor.is_open())
                self->accept();
        });
    }

    void addConnection(asio::ip::tcp::socket socket)
    {
        const std::scoped_lock lock(mutex);
        if (stopped)
            return;
        const connection_id id = nextId++;
        frame_connection::handlers callbacks;
        callbacks.onMessage = [self = shared_from_this(), id](message value) {
            self->gate.run([&] { self->events.onMessage(id, std::move(value)); });
        };
        callbacks.onClosed = [self = shared_from_this(), id](
                                 const std::string& reason) { self->removeConnection(id, reason); };
        auto connection = std::make_shared<frame_connection>(std::move(socket), std::move(callbacks));
        connections.emplace(id, connection);
        connection->start();
    }

    void removeConnection(connection_id id, const std::string& reason)
    {
        {
            const std::scoped_lock lock(mutex);
            connections.erase(id);
        }
        connectionRemoved.notify_all();
        gate.run([&] {
            if (events.onProblem)
                events.onProblem(id, reason);
            if (events.onClosed)
                events.onClosed(id);
        });
    }

    std::shared_ptr<frame_connection> find(connection_id id)
    {
        const std::scoped_lock lock(mutex);
        const auto found = connections.find(id);
        return found == connections.end() ? nullptr : found->second;
    }

    std::vector<std::shared_ptr<frame_connection>> all()
    {
        const std::scoped_lock lock(mutex);
        std::vector<std::shared_ptr<frame_connection>> result;
        result.reserve(connections.size());
        for (const auto& [id, connection] : connections)
            result.push_back(connection);
        return result;
    }

    std::future<void> closeAcceptor()
    {
        auto closed = std::make_shared<std::promise<void>>();
        std::future<void> result = closed->get_future();
        asio::post(acceptor.get_executor(), [self = shared_from_this(), closed] {
            std::error_code ignored;
            self->retryTimer.cancel();
            self->acceptor.close(ignored);
            closed->set_value();
        });
        return result;
    }

    void stop()
    {
        gate.close();
        // Waits, so that another server can listen on the address once this one is destroyed.
        closeAcceptor().wait();
        const std::scoped_lock lock(mutex);
        stopped = true;
        for (const auto& [id, connection] : connections)
            connection->close("this process is stopping");
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    handlers events;
    address listenAddress;
    callback_gate gate;
    std::mutex mutex;
    std::condition_variable connectionRemoved;
    std::map<connection_id, std::shared_ptr<frame_connection>> connections;
    connection_id nextId { 1 };
    bool stopped { false };
};

frame_server::frame_server(io_thread_pool& pool, const address& listen, handlers callbacks)
    : m_impl(std::make_shared<impl>(pool, listen, std::move(callbacks)))
{
    asio::post(m_impl->acceptor.get_executor(), [self = m_impl] { self->accept(); });
}

frame_server::~frame_server()
{
    m_impl->stop();
}

address frame_server::listenAddress() const
{
    return m_impl->listenAddress;
}

bool frame_server::send(connection_id connection, const message& value)
{
    const std::shared_ptr<frame_connection> found = m_impl->find(connection);
    return found && found->send(encodeFrame(value));
}

void frame_server::broadcast(const message& value)
{
    const std::vector<std::uint8_t> frame = encodeFrame(value);
    for (const auto& connection : m_impl->all())
        connection->send(frame);
}

void frame_server::finish(std::chrono::milliseconds limit)
{
    m_impl->closeAcceptor();
    for (const auto& connection : m_impl->all())
        connection->endSending();
    std::unique_lock lock(m_impl->mutex);
    m_impl->connectionRemoved.wait_for(lock, limit, [this] { return m_impl->connections.empty(); });
}

void frame_server::stopAccepting()
{
    m_impl->closeAcceptor();
}

} // namespace sagesaddle
