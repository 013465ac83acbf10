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

TEST_CASE("http: a body comes back whole over one kept connection")
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

TEST_CASE("http: a body over the limit is noticed")
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

TEST_CASE("http: a stream arrives in pieces and an abandoned one is an error")
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

TEST_CASE("http: a refused connection is surely not run")
{
    http_client client;
    http_request request;
    request.server = testing::freeAddress();
    try {
        client.send(request);
        FAIL("an answer came from nowhere");
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
    // The next request finds the connection kept from the first.
    CHECK_THROWS_AS(client.send(lost), http_error);
    CHECK(calls == 2);
}

TEST_CASE("http: a request that is no longer due once its connection stands is withheld and surely not run")
{
    // A process suspended between its decision and the connection's end sent an order that another had
    // replaced.
    const address listen = testing::freeAddress();
    std::atomic<int> whole { 0 };
    http_server server({ .listen = listen }, [&](http_call& call) {
        std::string body;
        if (call.readBody(body, 100) == body_failure::None)
            ++whole;
        call.respond(200, {}, "");
    });
    http_client client;
    http_request request = post(listen, "order");
    CHECK(client.send(request).status == 200);
    bool isDue = false;
    request.mayStillSend = [&] { return isDue; };
    try {
        client.send(request);
        FAIL("the request left");
    } catch (const http_error& error) {
        CHECK(error.ran() == verdict::NotRun);
    }
    CHECK(whole == 1);
    isDue = true;
    CHECK(client.send(request).status == 200);
    CHECK(whole == 2);
}

TEST_CASE("http: idle kept connections never keep other callers out")
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

TEST_CASE("http: calls are marked as crowded once hardly a worker is left")
{
    const address listen = testing::freeAddress();
    std::promise<void> release;
    const std::shared_future<void> released = release.get_future().share();
    std::atomic<int> held { 0 };
    http_server server({ .listen = listen, .workers = 16 }, [&](http_call& call) {
        if (call.isOverloaded())
            return call.respond(503, {}, "");
        ++held;
        released.wait();
        call.respond(200, {}, "");
    });
    http_request request;
    request.server = listen;
    std::vector<std::future<std::uint16_t>> calls;
    calls.reserve(15);
    for (int i = 0; i < 15; ++i)
        calls.push_back(std::async(std::launch::async, [&] { return http_client().send(request).status; }));
    CHECK(testing::until([&] { return held == 15; }));
    CHECK(http_client().send(request).status == 503);
    release.set_value();
    for (auto& call : calls)
        CHECK(call.get() == 200);
}
