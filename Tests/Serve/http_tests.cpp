#include "Serve/http_client.h"
#include "Serve/http_server.h"
#include "Support/free_port.h"
#include "Support/until.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <memory>

using namespace sagesaddle;

namespace {

http_request post(const address& server, std::string body)
{
    http_request request;
    request.method = "POST";
    request.server = server;
    request.target = "/echo?x=1";
    request.body = std::move(body);
    return request;
}

} // namespace

TEST_CASE("http: bodies of several sizes are echoed whole over one kept-alive connection")
{
    const address listen = testing::freeAddress();
    http_server server({ .listen = listen }, [](http_call& call) {
        std::string body;
        REQUIRE(call.readBody(body, 100000) == body_failure::None);
        call.respond(200, { { "X-Path", call.path() + "?" + call.query() } }, body);
    });
    http_client client;
    for (const std::size_t size : { 0U, 1U, 70000U }) {
        const http_response response = client.send(post(listen, std::string(size, 'a')));
        CHECK(response.status == 200);
        CHECK(response.body.size() == size);
        CHECK(response.header("x-path") == "/echo?x=1");
    }
}

TEST_CASE("http: a body over the size limit is rejected")
{
    const address listen = testing::freeAddress();
    http_server server({ .listen = listen }, [](http_call& call) {
        std::string body;
        const bool tooLarge = call.readBody(body, 10) == body_failure::TooLarge;
        call.respond(tooLarge ? 413 : 200, {}, "");
    });
    http_client client;
    CHECK(client.send(post(listen, std::string(11, 'a'))).status == 413);
}

TEST_CASE("http: a completed stream arrives whole, and an aborted one is an error")
{
    const address listen = testing::freeAddress();
    http_server server({ .listen = listen }, [](http_call& call) {
        call.startStream(200, {});
        call.sendChunk("one");
        call.sendChunk("two");
        if (call.path() == "/whole")
            call.endStream();
        else
            call.abandon();
    });
    http_client client;
    http_request request;
    request.server = listen;
    request.target = "/whole";
    CHECK(client.send(request).body == "onetwo");
    request.target = "/cut";
    CHECK_THROWS_AS(client.send(request), http_error);
}

TEST_CASE("http: a request whose connection is refused has the verdict NotRun")
{
    http_client client;
    http_request request;
    request.server = testing::freeAddress();
    try {
        client.send(request);
        FAIL("got an answer although nothing listens on the address");
    } catch (const http_error& error) {
        CHECK(error.ran() == verdict::NotRun);
    }
}

TEST_CASE("http: a request whose answer was lost is not sent again")
{
    const address listen = testing::freeAddress();
    std::atomic<int> calls { 0 };
    http_server server({ .listen = listen }, [&calls](http_call& call) {
        std::string body;
        call.readBody(body, 100);
        ++calls;
        if (call.path() == "/echo")
            call.respond(200, {}, "first");
        else
            call.abandon();
    });
    http_request lost = post(listen, "b");
    SUBCASE("with a body") { }
    SUBCASE("without a body")
    {
        lost.body.clear();
    }
    SUBCASE("a GET that may not be repeated")
    {
        lost.method = "GET";
        lost.body.clear();
        lost.idempotent = false;
    }
    lost.target = "/lost";
    http_client client;
    CHECK(client.send(post(listen, "a")).status == 200);
    // The next request reuses the connection of the first one.
    CHECK_THROWS_AS(client.send(lost), http_error);
    CHECK(calls == 2);
}

TEST_CASE("http: a request that may no longer be sent once its connection opens is withheld as NotRun")
{
    // Guards against a process that is suspended between deciding on an order and sending it: it sent an
    // order that another process had replaced meanwhile.
    const address listen = testing::freeAddress();
    std::atomic<int> received { 0 };
    http_server server({ .listen = listen }, [&](http_call& call) {
        std::string body;
        if (call.readBody(body, 100) == body_failure::None)
            ++received;
        call.respond(200, {}, "");
    });
    http_client client;
    http_request request = post(listen, "order");
    CHECK(client.send(request).status == 200);
    bool maySend = false;
    request.mayStillSend = [&] { return maySend; };
    try {
        client.send(request);
        FAIL("the request was sent");
    } catch (const http_error& error) {
        CHECK(error.ran() == verdict::NotRun);
    }
    CHECK(received == 1);
    maySend = true;
    CHECK(client.send(request).status == 200);
    CHECK(received == 2);
}

TEST_CASE("http: idle kept-alive connections never block other callers")
{
    const address listen = testing::freeAddress();
    http_server server(
        { .listen = listen, .workers = 8 }, [](http_call& call) { call.respond(200, {}, "ok"); });
    std::vector<std::unique_ptr<http_client>> clients;
    clients.reserve(40);
    http_request request;
    request.server = listen;
    request.timeout = seconds(5);
    for (int i = 0; i < 40; ++i) {
        clients.push_back(std::make_unique<http_client>());
        CHECK(clients.back()->send(request).status == 200);
    }
}

TEST_CASE("http: requests are marked as overloaded once nearly all workers are in use")
{
    const address listen = testing::freeAddress();
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    std::atomic<int> waitingCalls { 0 };
    http_server server({ .listen = listen, .workers = 16 }, [&](http_call& call) {
        if (call.isOverloaded())
            return call.respond(503, {}, "");
        ++waitingCalls;
        released.wait();
        call.respond(200, {}, "");
    });
    http_request request;
    request.server = listen;
    std::vector<std::future<std::uint16_t>> calls;
    calls.reserve(15);
    for (int i = 0; i < 15; ++i)
        calls.push_back(std::async(std::launch::async, [&] { return http_client().send(request).status; }));
    CHECK(testing::until([&] { return waitingCalls == 15; }));
    CHECK(http_client().send(request).status == 503);
    release.set_value();
    for (auto& call : calls)
        CHECK(call.get() == 200);
}
