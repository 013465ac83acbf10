#include "Loop/status_server.h"
#include "Support/free_port.h"
#include "Support/loop_until.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("status server: pipelined requests wait while the answers before them are unread, and none is lost")
{
    // Far more bytes of answers than the sockets' buffers hold.
    constexpr int requests = 3000;
    constexpr std::size_t answerBytes = 10000;
    event_loop loop;
    int handled = 0;
    const address where = testing::freeAddress();
    const status_server server(loop, where, [&](const http_head&) {
        ++handled;
        return status_server::reply { 200, "text/plain", std::string(answerBytes, 'x') };
    });
    std::size_t received = 0;
    tcp_stream caller(loop, where, milliseconds(10000));
    caller.setHandlers({ {},
        [&] {
            received += caller.readable().size();
            caller.consume(caller.readable().size());
        },
        {}, {} });
    caller.setReadPaused(true);
    for (int request = 0; request < requests; ++request)
        caller.write("GET / HTTP/1.1\r\n\r\n");
    loopFor(loop, milliseconds(300));
    CHECK(handled > 0);
    CHECK(handled < requests);
    caller.setReadPaused(false);
    CHECK(loopUntil(loop, [&] { return handled == requests && received >= requests * answerBytes; }));
}

TEST_CASE("status server: a head whose many short fields occupy too much memory is not read to its end")
{
    event_loop loop;
    const address where = testing::freeAddress();
    const status_server server(loop, where, [](const http_head&) { return status_server::reply {}; });
    bool isClosed = false;
    tcp_stream caller(loop, where, milliseconds(10000));
    caller.setHandlers({ {}, {}, {}, [&](stream_end) { isClosed = true; } });
    std::string head = "GET / HTTP/1.1\r\n";
    for (int field = 0; field < 3000; ++field)
        head += "a: b\r\n";
    caller.write(head);
    CHECK(loopUntil(loop, [&] { return isClosed; }));
}
