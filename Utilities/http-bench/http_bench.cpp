// Compares the HTTP clients of CivetWeb and libcurl on an event stream and on peers that stop answering.
// Prints a JSON line for each measurement; -1 stands for what never happened.

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
constexpr milliseconds clientTimeout { 300 };
constexpr milliseconds freezeTime { 3000 };
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

void freezeBeforeAnswer(tcp::socket&)
{
    std::this_thread::sleep_for(freezeTime);
}

void freezeInStream(tcp::socket& socket)
{
    write(socket, std::string(streamHead) + event);
    std::this_thread::sleep_for(freezeTime);
}

struct client_result {
    double firstByteMs { -1 };
    double endMs { -1 };
};

using client_run = std::function<client_result(const address&)>;

double elapsedMs(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

client_result runCivetweb(const address& peer)
{
    client_result result;
    std::array<char, 256> error {};
    const auto start = std::chrono::steady_clock::now();
    mg_connection* connection = mg_connect_client(peer.ip.c_str(), peer.port, 0, error.data(), error.size());
    if (!connection)
        return result;
    mg_printf(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    if (mg_get_response(connection, error.data(), error.size(), static_cast<int>(clientTimeout.count()))
        >= 0) {
        std::array<char, bufferBytes> buffer {};
        while (mg_read(connection, buffer.data(), buffer.size()) > 0) {
            if (result.firstByteMs < 0)
                result.firstByteMs = elapsedMs(start);
        }
    }
    result.endMs = elapsedMs(start);
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
    const auto start = std::chrono::steady_clock::now();
    http_sink sink;
    sink.onData = [&](std::string_view) {
        if (result.firstByteMs < 0)
            result.firstByteMs = elapsedMs(start);
    };
    try {
        client.stream(request, sink);
    } catch (const http_error&) {
        // The time until the client gave up is the result.
    }
    result.endMs = elapsedMs(start);
    return result;
}

void measure(
    const std::string& scenario, const std::string& client, const peer_script& script, const client_run& run)
{
    asio::io_context context;
    const address peerAddress = testing::freeAddress();
    tcp::acceptor acceptor(context, { asio::ip::make_address(peerAddress.ip), peerAddress.port });
    std::thread peer([&] {
        tcp::socket socket = acceptor.accept();
        std::string request;
        std::error_code ignored;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        script(socket);
    });
    const client_result result = run(peerAddress);
    peer.join();
    std::cout << R"({"scene":")" << scenario << R"(","client":")" << client << R"(","first_byte_ms":)"
              << result.firstByteMs << R"(,"end_ms":)" << result.endMs << "}" << std::endl;
}

} // namespace

int main()
{
    mg_init_library(0);
    const auto curlWithTimeout = [](const address& peer) { return runLibcurl(peer, clientTimeout); };
    const auto curlWithLongTimeout = [](const address& peer) { return runLibcurl(peer, freezeTime); };
    measure("stream of 3 events, 200 ms apart", "civetweb", streamEvents, runCivetweb);
    measure("stream of 3 events, 200 ms apart", "libcurl", streamEvents, curlWithLongTimeout);
    measure("no answer for 3 s, 300 ms asked for", "civetweb", freezeBeforeAnswer, runCivetweb);
    measure("no answer for 3 s, 300 ms asked for", "libcurl", freezeBeforeAnswer, curlWithTimeout);
    measure("frozen for 3 s after one event, 300 ms asked for", "civetweb", freezeInStream, runCivetweb);
    measure("frozen for 3 s after one event, 300 ms asked for", "libcurl", freezeInStream, curlWithTimeout);
    return 0;
}
