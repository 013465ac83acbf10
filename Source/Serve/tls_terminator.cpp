#include "Serve/tls_terminator.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ssl.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <thread>
#include <vector>

namespace sagesaddle {

namespace {

constexpr std::size_t ioThreads = 2;
constexpr std::size_t bufferBytes = 16 * 1024;
constexpr std::chrono::seconds handshakeTimeout { 5 };
constexpr std::chrono::seconds closeTimeout { 2 };
constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

using tcp = asio::ip::tcp;

tcp::endpoint endpointOf(const address& value)
{
    return { asio::ip::make_address(value.ip), value.port };
}

asio::ssl::context makeTlsContext(const std::string& certificateFile)
{
    asio::ssl::context tls(asio::ssl::context::tls_server);
    tls.set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2
        | asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
    tls.use_certificate_chain_file(certificateFile);
    tls.use_private_key_file(certificateFile, asio::ssl::context::pem);
    return tls;
}

// A caller's TLS connection and the connection to the target that it is forwarded to. All of its callbacks
// run on the strand of the caller's socket.
class tls_connection : public std::enable_shared_from_this<tls_connection> {
public:
    tls_connection(tcp::socket socket, asio::ssl::context& tls, tcp::endpoint target)
        : m_callerSocket(std::move(socket), tls)
        , m_targetSocket(m_callerSocket.get_executor())
        , m_timer(m_callerSocket.get_executor())
        , m_target(std::move(target))
    {
    }

    void start()
    {
        closeAfter(handshakeTimeout);
        m_callerSocket.async_handshake(
            asio::ssl::stream_base::server, [self = shared_from_this()](std::error_code error) {
                if (error)
                    self->close();
                else
                    self->connect();
            });
    }

private:
    void connect()
    {
        m_targetSocket.async_connect(m_target, [self = shared_from_this()](std::error_code error) {
            if (error)
                return self->close();
            std::error_code ignored;
            self->m_timer.cancel();
            self->m_callerSocket.lowest_layer().set_option(tcp::no_delay(true), ignored);
            self->m_targetSocket.set_option(tcp::no_delay(true), ignored);
            self->forwardToTarget();
            self->forwardToCaller();
        });
    }

    void forwardToTarget()
    {
        m_callerSocket.async_read_some(
            asio::buffer(m_toTarget), [self = shared_from_this()](std::error_code error, std::size_t size) {
                std::error_code ignored;
                if (error) {
                    self->m_targetSocket.shutdown(tcp::socket::shutdown_send, ignored);
                    return;
                }
                asio::async_write(self->m_targetSocket, asio::buffer(self->m_toTarget, size),
                    [self](std::error_code failure, std::size_t) {
                        if (!failure)
                            self->forwardToTarget();
                    });
            });
    }

    void forwardToCaller()
    {
        m_targetSocket.async_read_some(
            asio::buffer(m_toCaller), [self = shared_from_this()](std::error_code error, std::size_t size) {
                if (error)
                    return self->endCallerConnection();
                asio::async_write(self->m_callerSocket, asio::buffer(self->m_toCaller, size),
                    [self](std::error_code failure, std::size_t) {
                        if (failure)
                            self->close();
                        else
                            self->forwardToCaller();
                    });
            });
    }

    void endCallerConnection()
    {
        closeAfter(closeTimeout);
        m_callerSocket.async_shutdown([self = shared_from_this()](std::error_code) { self->close(); });
    }

    void closeAfter(std::chrono::seconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](std::error_code error) {
            if (!error)
                self->close();
        });
    }

    void close()
    {
        std::error_code ignored;
        m_timer.cancel();
        m_targetSocket.close(ignored);
        m_callerSocket.lowest_layer().close(ignored);
    }

    asio::ssl::stream<tcp::socket> m_callerSocket;
    tcp::socket m_targetSocket;
    asio::steady_timer m_timer;
    tcp::endpoint m_target;
    std::array<char, bufferBytes> m_toTarget {};
    std::array<char, bufferBytes> m_toCaller {};
};

} // namespace

struct tls_terminator::impl {
    impl(const address& listen, const std::string& certificateFile, const address& forwardTo)
        : tls(makeTlsContext(certificateFile))
        , acceptor(context, endpointOf(listen))
        , retryTimer(context)
        , target(endpointOf(forwardTo))
    {
        accept();
        for (std::size_t i = 0; i < ioThreads; ++i)
            threads.emplace_back([this] { context.run(); });
    }

    ~impl()
    {
        context.stop();
        for (auto& thread : threads)
            thread.join();
    }

    void accept()
    {
        acceptor.async_accept(asio::make_strand(context), [this](std::error_code error, tcp::socket socket) {
            if (error)
                return acceptLater();
            std::make_shared<tls_connection>(std::move(socket), tls, target)->start();
            accept();
        });
    }

    // The error may be temporary, such as too many open files.
    void acceptLater()
    {
        retryTimer.expires_after(acceptRetryDelay);
        retryTimer.async_wait([this](std::error_code error) {
            if (!error)
                accept();
        });
    }

    asio::io_context context;
    asio::ssl::context tls;
    tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    tcp::endpoint target;
    std::vector<std::thread> threads;
};

tls_terminator::tls_terminator(
    const address& listen, const std::string& certificateFile, const address& target)
    : m_impl(std::make_unique<impl>(listen, certificateFile, target))
{
}

tls_terminator::~tls_terminator() = default;

} // namespace sagesaddle
