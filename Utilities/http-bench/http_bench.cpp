// Compares CivetWeb's HTTP client with libcurl's on a stream and on peers that freeze.

#include "Serve/http_client.h"
#include "Support/free_port.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <civetweb.h>
#include <functional>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace sagesaddle;
using tcp = asio::ip::tcp;

constexpr milliseconds eventGap { 200 };
constexpr milliseconds wantedTimeout { 300 };
constexpr milliseconds frozenFor { 3000 };
constexpr std::size_t bufferBytes = 4096;
constexpr const char* streamHead
    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* event = "9\r\ndata: x\n\n\r\n";

using peer_script = std::function<void(tcp::socket&)>;

void write(tcp::socket& socket, const std::string& text)
{
    std::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
}

void streamEvents(tcp::socket& socket)
{
    write(socket, streamHead);
    for (int i = 0; i < 3; ++i) {
        write(socket, event);
        std::this_thread::sleep_for(eventGap);
    }
    write(socket, "0\r\n\r\n");
}

void freezeAtOnce(tcp::socket&)
{
    std::this_thread::sleep_for(frozenFor);
}

void freezeInStream(tcp::socket& socket)
{
    write(socket, std::string(streamHead) + event);
    std::this_thread::sleep_for(frozenFor);
}

struct client_result {
    double firstByteMs { -1 };
    double endMs { -1 };
};

using client_run = std::function<client_result(const address&)>;

double millisecondsSince(std::chrono::steady_clock::time_point began)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
}

client_result runCivetweb(const address& peer)
{
    client_result result;
    std::array<char, 256> error {};
    const auto began = std::chrono::steady_clock::now();
    mg_connection* connection = mg_connect_client(peer.ip.c_str(), peer.port, 0, error.data(), error.size());
    if (!connection)
        return result;
    mg_printf(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    if (mg_get_response(connection, error.data(), error.size(), static_cast<int>(wantedTimeout.count()))
        >= 0) {
        std::array<char, bufferBytes> buffer {};
        while (mg_read(connection, buffer.data(), buffer.size()) > 0) {
            if (result.firstByteMs < 0)
                result.firstByteMs = millisecondsSince(began);
        }
    }
    result.endMs = millisecondsSince(began);
    mg_close_connection(connection);
    return result;
}

client_result runLibcurl(const address& peer, milliseconds timeout)
{
    client_result result;
    http_client client;
    http_request request;
    request.server = peer;
    request.timeout = timeout;
    const auto began = std::chrono::steady_clock::now();
    http_sink sink;
    sink.onData = [&](std::string_view) {
        if (result.firstByteMs < 0)
            result.firstByteMs = millisecondsSince(began);
    };
    try {
        client.stream(request, sink);
    } catch (const http_error&) {
        // The time at which it gave up is the result.
    }
    result.endMs = millisecondsSince(began);
    return result;
}

void measure(
    const std::string& scene, const std::string& client, const peer_script& script, const client_run& run)
{
    asio::io_context context;
    const address at = testing::freeAddress();
    tcp::acceptor acceptor(context, { asio::ip::make_address(at.ip), at.port });
    std::thread peer([&] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        std::error_code ignored;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        script(socket);
    });
    const client_result result = run(at);
    peer.join();
    std::cout << R"({"scene":")" << scene << R"(","client":")" << client << R"(","first_byte_ms":)"
              << result.firstByteMs << R"(,"end_ms":)" << result.endMs << "}" << std::endl;
}

} // namespace

int main()
{
    mg_init_library(0);
    const auto curlBounded = [](const address& peer) { return runLibcurl(peer, wantedTimeout); };
    const auto curlLong = [](const address& peer) { return runLibcurl(peer, frozenFor); };
    measure("stream of 3 events, 200 ms apart", "civetweb", streamEvents, runCivetweb);
    measure("stream of 3 events, 200 ms apart", "libcurl", streamEvents, curlLong);
    measure("no answer for 3 s, 300 ms asked for", "civetweb", freezeAtOnce, runCivetweb);
    measure("no answer for 3 s, 300 ms asked for", "libcurl", freezeAtOnce, curlBounded);
    measure("frozen for 3 s after one event, 300 ms asked for", "civetweb", freezeInStream, runCivetweb);
    measure("frozen for 3 s after one event, 300 ms asked for", "libcurl", freezeInStream, curlBounded);
    return 0;
}
