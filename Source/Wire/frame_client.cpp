#include "Wire/frame_client.h"

#include "Wire/callback_gate.h"
#include "Wire/frame_codec.h"
#include "Wire/frame_connection.h"
#include "Wire/io_thread_pool_impl.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <mutex>
#include <optional>
#include <random>
#include <utility>

namespace sagesaddle {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds minBackoff { 50 };
constexpr milliseconds maxBackoff { 2000 };
constexpr milliseconds connectTimeout { 1000 };

} // namespace

// Lock order: the gate, then `mutex`, then the queue mutex of a connection.
struct frame_client::impl : std::enable_shared_from_this<frame_client::impl> {
    impl(io_thread_pool& pool, address server, handlers callbacks)
        : strand(asio::make_strand(pool.internals().context))
        , timer(strand)
        , peer(std::move(server))
        , events(std::move(callbacks))
        , jitter(std::random_device {}())
    {
    }

    void connect()
    {
        if (stopped)
            return;
        socket.emplace(strand);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(peer.ip), peer.port);
        socket->async_connect(
            endpoint, [self = shared_from_this()](std::error_code error) { self->onConnected(error); });
        timer.expires_after(connectTimeout);
        timer.async_wait([self = shared_from_this()](std::error_code error) {
            std::error_code ignored;
            if (!error && self->socket)
                self->socket->close(ignored);
        });
    }

    void onConnected(std::error_code error)
    {
        timer.cancel();
        if (stopped)
            return;
        // The timeout may have closed the socket just after the connect succeeded.
        if (error || !socket->is_open()) {
            reconnectLater("cannot connect: " + error.message());
            return;
        }
        backoff = minBackoff;
        const auto connected = createConnection();
        {
            const std::scoped_lock lock(mutex);
            connection = connected;
        }
        gate.run([&] {
            if (events.onUp)
                events.onUp();
        });
        connected->start();
    }

    std::shared_ptr<frame_connection> createConnection()
    {
        frame_connection::handlers callbacks;
        callbacks.onMessage = [self = shared_from_this()](message value) {
            self->gate.run([&] { self->events.onMessage(std::move(value)); });
        };
        callbacks.onClosed
            = [self = shared_from_this()](const std::string& reason) { self->onDisconnected(reason); };
        auto created = std::make_shared<frame_connection>(std::move(*socket), std::move(callbacks));
        socket.reset();
        return created;
    }

    void onDisconnected(const std::string& reason)
    {
        {
            const std::scoped_lock lock(mutex);
            connection.reset();
        }
        gate.run([&] {
            if (events.onDown)
                events.onDown();
        });
        reconnectLater(reason);
    }

    void reconnectLater(const std::string& reason)
    {
        if (stopped)
            return;
        gate.run([&] {
            if (events.onProblem)
                events.onProblem("connection to " + formatAddress(peer) + ": " + reason);
        });
        std::uniform_int_distribution<milliseconds::rep> delay(backoff.count() / 2, backoff.count());
        timer.expires_after(milliseconds(delay(jitter)));
        backoff = std::min(backoff * 2, maxBackoff);
        timer.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error)
                self->connect();
        });
    }

    void stop()
    {
        gate.close();
        asio::post(strand, [self = shared_from_this()] {
            self->stopped = true;
            self->timer.cancel();
            self->socket.reset();
            if (const auto open = self->current())
                open->close("this process is stopping");
        });
    }

    std::shared_ptr<frame_connection> current()
    {
        const std::scoped_lock lock(mutex);
        return connection;
    }

    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    address peer;
    handlers events;
    callback_gate gate;

    // Used on the strand only.
    std::optional<asio::ip::tcp::socket> socket;
    std::minstd_rand jitter;
    milliseconds backoff { minBackoff };
    bool stopped { false };

    std::mutex mutex;
    std::shared_ptr<frame_connection> connection;
};

frame_client::frame_client(io_thread_pool& pool, address peer, handlers callbacks)
    : m_impl(std::make_shared<impl>(pool, std::move(peer), std::move(callbacks)))
{
    asio::post(m_impl->strand, [self = m_impl] { self->connect(); });
}

frame_client::~frame_client()
{
    m_impl->stop();
}

bool frame_client::send(const message& value)
{
    const std::shared_ptr<frame_connection> connection = m_impl->current();
    return connection && connection->send(encodeFrame(value));
}

bool frame_client::isUp() const
{
    return m_impl->current() != nullptr;
}

} // namespace sagesaddle
