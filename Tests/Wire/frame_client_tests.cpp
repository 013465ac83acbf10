#include "Support/free_port.h"
#include "Wire/frame_client.h"
#include "Wire/frame_codec.h"
#include "Wire/frame_server.h"
#include "Wire/io_thread_pool.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

using namespace sagesaddle;

namespace {

constexpr std::chrono::seconds waitTimeout { 30 };

// Records the events that callbacks saw; thread-safe, so that a test can wait for them.
class event_recorder {
public:
    void add(std::string line)
    {
        const std::scoped_lock lock(m_mutex);
        m_lines.push_back(std::move(line));
        m_changed.notify_all();
    }

    bool waitFor(const std::string& part, std::size_t times = 1)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, waitTimeout, [&] { return countLocked(part) >= times; });
    }

    std::vector<std::string> lines()
    {
        const std::scoped_lock lock(m_mutex);
        return m_lines;
    }

private:
    std::size_t countLocked(const std::string& part) const
    {
        std::size_t found = 0;
        for (const std::string& line : m_lines)
            found += line.find(part) != std::string::npos ? 1 : 0;
        return found;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
};

frame_client::handlers recordingHandlers(event_recorder& seen)
{
    return { .onMessage =
                 [&](message value) {
                     seen.add("message " + std::to_string(std::get<answer_data>(value).sequence));
                 },
        .onUp = [&] { seen.add("up"); },
        .onDown = [&] { seen.add("down"); },
        .onProblem = [&](const std::string& reason) { seen.add("problem " + reason); } };
}

// Sends bytes to a server and waits until the server closes the connection.
void sendRaw(const address& server, const std::vector<std::uint8_t>& bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(server.ip), server.port });
    asio::write(socket, asio::buffer(bytes));
    std::error_code closed;
    std::uint8_t byte = 0;
    asio::read(socket, asio::buffer(&byte, 1), closed);
    CHECK(closed);
}

} // namespace

TEST_CASE("frame client: messages from many threads arrive whole and in the order of each thread")
{
    constexpr std::size_t senders = 4;
    constexpr std::uint32_t messages = 500;
    io_thread_pool pool(4);
    event_recorder seen;
    std::mutex mutex;
    std::map<std::uint64_t, std::uint32_t> nextOf;
    std::atomic<std::size_t> arrived { 0 };
    std::atomic<bool> ordered { true };
    frame_server server(pool, { "127.0.0.1", 0 },
        { .onMessage =
                [&](connection_id, message value) {
                    const auto& data = std::get<answer_data>(value);
                    const std::scoped_lock lock(mutex);
                    if (data.sequence != nextOf[data.id]++ || data.bytes.size() != data.sequence * 37 % 5000)
                        ordered = false;
                    if (++arrived == senders * messages)
                        seen.add("all");
                },
            .onClosed = {} });
    frame_client client(pool, server.listenAddress(), recordingHandlers(seen));
    REQUIRE(seen.waitFor("up"));
    std::vector<std::thread> threads;
    for (std::uint64_t sender = 0; sender < senders; ++sender) {
        threads.emplace_back([&, sender] {
            for (std::uint32_t i = 0; i < messages; ++i)
                while (!client.send(answer_data { sender, i, std::string(i * 37 % 5000, 'x') }))
                    std::this_thread::yield();
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    CHECK(seen.waitFor("all"));
    CHECK(ordered);
}

TEST_CASE("frame client: reconnects when the server is back, and reports it")
{
    io_thread_pool pool(2);
    const address listen = testing::freeAddress();
    event_recorder seen;
    frame_client client(pool, listen, recordingHandlers(seen));
    REQUIRE(seen.waitFor("problem"));
    CHECK_FALSE(client.send(load_ask { 1 }));
    for (std::size_t round = 1; round <= 2; ++round) {
        frame_server server(pool, listen,
            { .onMessage = [&](connection_id, const message&) { seen.add("served"); }, .onClosed = {} });
        REQUIRE(seen.waitFor("up", round));
        CHECK(client.send(load_ask { round }));
        REQUIRE(seen.waitFor("served", round));
    }
    CHECK(seen.waitFor("down", 2));
}

TEST_CASE("frame server: an oversized or invalid frame closes its connection with a reason")
{
    io_thread_pool pool(2);
    event_recorder seen;
    frame_server server(pool, { "127.0.0.1", 0 },
        { .onMessage = [&](connection_id, const message&) { seen.add("message"); },
            .onClosed = [&](connection_id id) { seen.add("closed " + std::to_string(id)); },
            .onProblem = [&](connection_id, const std::string& reason) { seen.add(reason); } });
    sendRaw(server.listenAddress(), { 0xff, 0xff, 0xff, 0xff });
    CHECK(seen.waitFor("over the limit"));
    CHECK(seen.waitFor("closed 1"));
    sendRaw(server.listenAddress(), { 4, 0, 0, 0, 1, 2, 3, 4 });
    CHECK(seen.waitFor("verifier rejects"));
    CHECK(seen.waitFor("closed 2"));
    for (const std::string& line : seen.lines())
        CHECK(line != "message");
}

TEST_CASE("frame server: the send queue of a peer that does not read is bounded")
{
    io_thread_pool pool(2);
    event_recorder seen;
    frame_server server(pool, { "127.0.0.1", 0 },
        { .onMessage = [&](connection_id, const message&) { seen.add("asked"); }, .onClosed = {} });
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address("127.0.0.1"), server.listenAddress().port });
    asio::write(socket, asio::buffer(encodeFrame(load_ask { 1 })));
    REQUIRE(seen.waitFor("asked"));
    constexpr std::uint32_t maxMessages = 200;
    const std::string megabyte(1024 * 1024, 'x');
    std::uint32_t sent = 0;
    while (sent < maxMessages && server.send(1, answer_data { 1, sent, megabyte }))
        ++sent;
    CHECK(sent > 0);
    CHECK(sent < maxMessages);
}

TEST_CASE("frame client: no callback runs after its destruction, even if messages keep arriving")
{
    io_thread_pool pool(4);
    for (int round = 0; round < 20; ++round) {
        event_recorder seen;
        frame_server server(pool, { "127.0.0.1", 0 },
            { .onMessage =
                    [&](connection_id id, const message&) {
                        for (std::uint32_t i = 0; i < 200; ++i)
                            server.send(id, answer_data { 1, i, "x" });
                    },
                .onClosed = {} });
        auto alive = std::make_unique<std::atomic<bool>>(true);
        std::atomic<int> lateCallbacks { 0 };
        auto client = std::make_unique<frame_client>(pool, server.listenAddress(),
            frame_client::handlers { .onMessage =
                                         [&](const message&) {
                                             lateCallbacks += *alive ? 0 : 1;
                                             seen.add("message");
                                         },
                .onUp = [&] { seen.add("up"); },
                .onDown = {} });
        REQUIRE(seen.waitFor("up"));
        client->send(load_ask { 1 });
        REQUIRE(seen.waitFor("message"));
        client.reset();
        *alive = false;
        CHECK(lateCallbacks == 0);
    }
}
