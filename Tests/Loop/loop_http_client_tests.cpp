#include "Loop/loop_http_client.h"
#include "Loop/status_server.h"
#include "Support/damaged_statuses.h"
#include "Support/loop_until.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t { 4 } << 20U;
constexpr const char* request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Server that answers whatever it receives with the same text.
struct fixed_answer_server {
    event_loop& loop;
    std::vector<std::unique_ptr<tcp_stream>> streams;
    std::string answer;
    int accepted { 0 };
    int closed { 0 };
    tcp_listener listener;

    fixed_answer_server(event_loop& serverLoop, std::string text)
        : loop(serverLoop)
        , answer(std::move(text))
        , listener(serverLoop, { "127.0.0.1", 0 }, [this](evutil_socket_t socket) {
            ++accepted;
            streams.push_back(std::make_unique<tcp_stream>(loop, socket));
            tcp_stream* const stream = streams.back().get();
            stream->setHandlers({ {},
                [this, stream] {
                    stream->consume(stream->readable().size());
                    stream->write(answer);
                },
                {}, [this](stream_end) { ++closed; } });
        })
    {
    }

    address endpoint() const { return { "127.0.0.1", listener.port() }; }
};

} // namespace

TEST_CASE("loop http client: a connection is reused for the next call")
{
    event_loop loop;
    fixed_answer_server server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    loop_http_client client(loop, server.endpoint(), maxAnswerBytes);
    for (int call = 0; call < 3; ++call) {
        std::optional<http_answer> got;
        client.call(
            request, seconds(10), [&](std::optional<http_answer> answer) { got = std::move(answer); });
        REQUIRE(loopUntil(loop, [&] { return got.has_value(); }));
        CHECK(got->body == "hi");
    }
    CHECK(server.accepted == 1);
}

TEST_CASE("loop http client: a call without an answer times out and its connection is not reused")
{
    event_loop loop;
    fixed_answer_server server(loop, "");
    loop_http_client client(loop, server.endpoint(), maxAnswerBytes);
    bool ended = false;
    client.call(request, milliseconds(30), [&](const std::optional<http_answer>& answer) {
        ended = true;
        CHECK_FALSE(answer.has_value());
    });
    REQUIRE(loopUntil(loop, [&] { return ended; }));
    server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    bool answered = false;
    client.call(request, seconds(10),
        [&](const std::optional<http_answer>& answer) { answered = answer.has_value(); });
    CHECK(loopUntil(loop, [&] { return answered; }));
    CHECK(server.accepted == 2);
}

TEST_CASE("loop http client: a large answer over a slow link may take longer than the timeout in total")
{
    event_loop loop;
    fixed_answer_server server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
    loop_http_client client(loop, server.endpoint(), maxAnswerBytes);
    std::optional<http_answer> got;
    bool ended = false;
    client.call(request, milliseconds(400), [&](std::optional<http_answer> answer) {
        ended = true;
        got = std::move(answer);
    });
    for (int part = 0; part < 8 && !ended; ++part) {
        loopFor(loop, milliseconds(100));
        server.streams.at(0)->write("x");
    }
    REQUIRE(loopUntil(loop, [&] { return ended; }));
    REQUIRE(got.has_value());
    CHECK(got->body == "xxxxxxxx");
}

TEST_CASE("loop http client: a call fails when its answer exceeds the size limit")
{
    event_loop loop;
    constexpr std::size_t farOverLimit = std::size_t { 64 } << 20U;
    const std::string piece(65536, 'x');
    fixed_answer_server server(loop, "HTTP/1.1 200 OK\r\n\r\n");
    std::size_t written = 0;
    timer writing(loop, [&] {
        if (written < farOverLimit && server.streams.back()->unwritten() < piece.size()) {
            server.streams.back()->write(piece);
            written += piece.size();
        }
        writing.start({});
    });
    loop_http_client client(loop, server.endpoint(), maxAnswerBytes);
    bool ended = false;
    bool hasAnswer = true;
    client.call(request, seconds(5), [&](const std::optional<http_answer>& answer) {
        ended = true;
        hasAnswer = answer.has_value();
    });
    REQUIRE(loopUntil(loop, [&] { return server.accepted == 1; }));
    writing.start({});
    CHECK(loopUntil(loop, [&] { return ended; }));
    CHECK_FALSE(hasAnswer);
    CHECK(written < farOverLimit / 2);
}

// Guards against answers without end that fill the memory: the client stopped reading them, but kept their
// connections open until the next call.
TEST_CASE("loop http client: a connection with an unacceptable answer is closed without a further call")
{
    const std::string endlessField = "HTTP/1.1 200 OK\r\nField: " + std::string(65536, 'x');
    const std::string endlessBody = "HTTP/1.1 200 OK\r\n\r\n" + std::string(65536, 'x');
    const std::string endlessChunk
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n" + std::string(65536, 'x');
    for (const std::string& answer : { endlessField, endlessBody, endlessChunk, std::string("no answer") }) {
        CAPTURE(answer.substr(0, 60));
        event_loop loop;
        fixed_answer_server server(loop, answer);
        loop_http_client client(loop, server.endpoint(), 4096);
        int ends = 0;
        client.call(request, seconds(5), [&](const std::optional<http_answer>& got) {
            ++ends;
            CHECK_FALSE(got.has_value());
        });
        REQUIRE(loopUntil(loop, [&] { return ends == 1; }));
        CHECK(loopUntil(loop, [&] { return server.closed > 0; }));
    }
}

TEST_CASE("loop http client: a second answer is not taken for the answer to the next call")
{
    event_loop loop;
    const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    fixed_answer_server server(loop, one + one);
    loop_http_client client(loop, server.endpoint(), maxAnswerBytes);
    int ends = 0;
    client.call(request, seconds(10), [&](const std::optional<http_answer>&) { ++ends; });
    REQUIRE(loopUntil(loop, [&] { return ends == 1; }));
    client.call(request, seconds(10), [&](const std::optional<http_answer>&) { ++ends; });
    REQUIRE(loopUntil(loop, [&] { return ends == 2; }));
    CHECK(server.accepted == 2);
}

TEST_CASE("loop http client: a refused connection counts as no answer")
{
    event_loop loop;
    address unused;
    {
        fixed_answer_server server(loop, "");
        unused = server.endpoint();
    }
    loop_http_client client(loop, unused, maxAnswerBytes);
    bool ended = false;
    client.call(
        request, seconds(10), [&](const std::optional<http_answer>& answer) { ended = !answer.has_value(); });
    CHECK(loopUntil(loop, [&] { return ended; }));
}

TEST_CASE("status server: answers several requests on one connection")
{
    event_loop loop;
    int port = 0;
    {
        tcp_listener portFinder(
            loop, { "127.0.0.1", 0 }, [](evutil_socket_t socket) { evutil_closesocket(socket); });
        port = portFinder.port();
    }
    status_server server(loop, { "127.0.0.1", static_cast<std::uint16_t>(port) },
        [](const http_head& head) -> status_server::reply {
            return { 503, "text/plain", head.target };
        });
    loop_http_client client(loop, { "127.0.0.1", static_cast<std::uint16_t>(port) }, maxAnswerBytes);
    for (int call = 0; call < 2; ++call) {
        std::optional<http_answer> got;
        client.call(
            request, seconds(10), [&](std::optional<http_answer> answer) { got = std::move(answer); });
        REQUIRE(loopUntil(loop, [&] { return got.has_value(); }));
        CHECK(got->status == 503);
        CHECK(got->body == "/");
    }
}

// Guards against calls to the store, orders and reports whose answers are none.
TEST_CASE(
    "loop http client: a call fails when its answer has a damaged status, and its connection is not reused")
{
    for (const std::string status : damagedStatuses) {
        CAPTURE(status);
        event_loop loop;
        fixed_answer_server server(loop, "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nhi");
        loop_http_client client(loop, server.endpoint(), maxAnswerBytes);
        int ends = 0;
        for (int call = 1; call <= 2; ++call) {
            client.call(request, seconds(10), [&](const std::optional<http_answer>& answer) {
                ++ends;
                CHECK_FALSE(answer.has_value());
            });
            REQUIRE(loopUntil(loop, [&] { return ends == call; }));
        }
        CHECK(server.accepted == 2);
    }
}
