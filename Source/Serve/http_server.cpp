#include "Serve/http_server.h"

#include "Serve/tls_terminator.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <civetweb.h>
#include <mutex>
#include <stdexcept>
#include <strings.h>
#include <system_error>
#include <thread>

namespace sagesaddle {

namespace {

// One in this many workers is reserved for rejecting requests while all others are in use.
constexpr std::uint32_t workersPerReservedOne = 16;

// mg_read returns only when the buffer is full or the body has ended. Reads are therefore small while the
// caller sends slowly, which bounds the wait in one read, and double in size while it sends fast.
constexpr std::size_t minReadBytes = 64;
constexpr std::size_t maxReadBytes = 2048;
constexpr std::chrono::milliseconds fastReadTime { 1 };
constexpr std::chrono::milliseconds wakeInterval { 20 };

void initialiseCivetwebOnce()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(0); });
}

// Opens a connection to CivetWeb's listener: CivetWeb checks its stop flag only when a connection arrives or
// every two seconds.
void wakeListener(const address& listen)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    std::error_code ignored;
    socket.connect({ asio::ip::make_address(listen.ip), listen.port }, ignored);
}

std::uint16_t portOf(mg_context* context)
{
    mg_server_port port {};
    mg_get_server_ports(context, 1, &port);
    return static_cast<std::uint16_t>(port.port);
}

std::string headText(
    std::uint16_t status, const http_call::header_list& headers, const http_call::header_list& extra)
{
    const char* reason = mg_get_response_code_text(nullptr, status);
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto* list : { &headers, &extra }) {
        for (const auto& [name, value] : *list)
            text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

} // namespace

http_call::http_call(mg_connection* connection, const header_list& extraHeaders)
    : m_connection(connection)
    , m_extraHeaders(extraHeaders)
{
    const mg_request_info* info = mg_get_request_info(connection);
    for (int i = 0; i < info->num_headers; ++i)
        m_headers.emplace_back(info->http_headers[i].name, info->http_headers[i].value);
}

std::string http_call::method() const
{
    return mg_get_request_info(m_connection)->request_method;
}

std::string http_call::path() const
{
    const char* uri = mg_get_request_info(m_connection)->request_uri;
    return uri ? uri : "";
}

std::string http_call::query() const
{
    const char* query = mg_get_request_info(m_connection)->query_string;
    return query ? query : "";
}

std::vector<std::string> http_call::header(std::string_view name) const
{
    std::vector<std::string> values;
    for (const auto& [key, value] : m_headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            values.push_back(value);
    }
    return values;
}

bool http_call::acceptsChunks() const
{
    const char* version = mg_get_request_info(m_connection)->http_version;
    return version && std::string_view(version) == "1.1";
}

std::string http_call::callerIp() const
{
    return mg_get_request_info(m_connection)->remote_addr;
}

body_failure http_call::readBody(std::string& body, std::size_t limit, milliseconds timeout)
{
    const long long contentLength = mg_get_request_info(m_connection)->content_length;
    if (contentLength > 0 && static_cast<unsigned long long>(contentLength) > limit)
        return body_failure::TooLarge;
    const auto deadline = monotonicNow() + timeout;
    std::array<char, maxReadBytes> buffer {};
    std::size_t readBytes = minReadBytes;
    while (true) {
        const auto startedAt = monotonicNow();
        const int count = mg_read(m_connection, buffer.data(), readBytes);
        const auto endedAt = monotonicNow();
        if (count < 0 || endedAt > deadline)
            return body_failure::Incomplete;
        if (count == 0)
            break;
        body.append(buffer.data(), static_cast<std::size_t>(count));
        if (body.size() > limit)
            return body_failure::TooLarge;
        readBytes = endedAt - startedAt < fastReadTime ? std::min(readBytes * 2, maxReadBytes) : minReadBytes;
    }
    if (contentLength > 0 && body.size() != static_cast<std::size_t>(contentLength))
        return body_failure::Incomplete;
    return body_failure::None;
}

void http_call::respond(std::uint16_t status, const header_list& headers, std::string_view body)
{
    m_answered = true;
    std::string text = headText(status, headers, m_extraHeaders);
    if (m_closesAfterResponse)
        text.append("Connection: close\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    if (method() != "HEAD")
        text.append(body);
    mg_write(m_connection, text.data(), text.size());
}

bool http_call::startStream(std::uint16_t status, const header_list& headers)
{
    m_answered = true;
    const std::string text = headText(status, headers, m_extraHeaders) + "Transfer-Encoding: chunked\r\n\r\n";
    return mg_write(m_connection, text.data(), text.size()) == static_cast<int>(text.size());
}

bool http_call::sendChunk(std::string_view bytes)
{
    if (bytes.empty())
        return true;
    return mg_send_chunk(m_connection, bytes.data(), static_cast<unsigned>(bytes.size())) > 0;
}

bool http_call::endStream()
{
    return mg_send_chunk(m_connection, "", 0) > 0;
}

void http_call::closeAfterResponse()
{
    m_closesAfterResponse = true;
    mg_disable_connection_keep_alive(m_connection);
}

void http_call::abandon()
{
    m_answered = true;
    mg_disable_connection_keep_alive(m_connection);
}

struct http_server::impl {
    impl(options chosen, handler answer)
        : settings(std::move(chosen))
        , onCall(std::move(answer))
    {
    }

    ~impl() { stop(); }

    void startTlsTerminator()
    {
        try {
            tlsTerminator
                = std::make_unique<tls_terminator>(settings.listen, settings.certificateFile, httpAddress);
        } catch (const std::system_error& error) {
            throw std::runtime_error("cannot serve TLS on " + formatAddress(settings.listen)
                + " with the certificate file " + settings.certificateFile + ": " + error.what()
                + "; check that the port is free and that the file has a certificate and its key as PEM");
        }
    }

    void stop()
    {
        if (!context)
            return;
        std::atomic<bool> stopped { false };
        std::thread stopping([&] {
            mg_stop(context);
            stopped = true;
        });
        while (!stopped) {
            wakeListener(httpAddress);
            std::this_thread::sleep_for(wakeInterval);
        }
        stopping.join();
        context = nullptr;
    }

    options settings;
    handler onCall;
    mg_context* context { nullptr };
    /// Where CivetWeb listens: the address of the options or, with TLS, a loopback port behind the TLS
    /// terminator.
    address httpAddress;
    std::unique_ptr<tls_terminator> tlsTerminator;

    std::atomic<std::uint32_t> openConnections { 0 };

    static int onRequest(mg_connection* connection, void* user)
    {
        auto& self = *static_cast<impl*>(user);
        http_call call(connection, self.settings.extraHeaders);
        const std::uint32_t open = self.openConnections;
        if (open > self.settings.workers / 2)
            call.closeAfterResponse();
        if (open > self.settings.workers - self.settings.workers / workersPerReservedOne)
            call.markOverloaded();
        self.onCall(call);
        return 1;
    }

    static int onOpen(const mg_connection* connection, void** /*data*/)
    {
        ++static_cast<impl*>(mg_get_user_data(mg_get_context(connection)))->openConnections;
        return 0;
    }

    static void onClose(const mg_connection* connection)
    {
        --static_cast<impl*>(mg_get_user_data(mg_get_context(connection)))->openConnections;
    }
};

http_server::http_server(options settings, handler onCall)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(onCall)))
{
    initialiseCivetwebOnce();
    const auto& chosen = m_impl->settings;
    const bool tls = !chosen.certificateFile.empty();
    const std::string port = tls ? "127.0.0.1:0" : formatAddress(chosen.listen);
    const std::string workers = std::to_string(chosen.workers);
    const std::string requestTimeout = std::to_string(chosen.requestTimeout.count());
    const std::string keepAliveTimeout = std::to_string(chosen.keepAliveTimeout.count());
    const std::string maxHeader = std::to_string(chosen.maxHeaderBytes);
    std::vector<const char*> list { "listening_ports", port.c_str(), "num_threads", workers.c_str(),
        "request_timeout_ms", requestTimeout.c_str(), "keep_alive_timeout_ms", keepAliveTimeout.c_str(),
        "enable_keep_alive", "yes", "tcp_nodelay", "1", "max_request_size", maxHeader.c_str(), "decode_url",
        "no" };
    list.push_back(nullptr);

    mg_callbacks callbacks {};
    callbacks.init_connection = &impl::onOpen;
    callbacks.connection_close = &impl::onClose;
    m_impl->context = mg_start(&callbacks, m_impl.get(), list.data());
    if (!m_impl->context)
        throw std::runtime_error("cannot listen for HTTP on " + port
            + "; check that the address belongs to this host and that the port is free");
    m_impl->httpAddress = tls ? address { "127.0.0.1", portOf(m_impl->context) } : chosen.listen;
    mg_set_request_handler(m_impl->context, "/", &impl::onRequest, m_impl.get());
    if (tls)
        m_impl->startTlsTerminator();
}

http_server::~http_server() = default;

} // namespace sagesaddle
