#include "Entry/edge_fixture.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <list>
#include <thread>

using namespace sagesaddle;
using testing::answerWhole;
using testing::edge_fixture;

namespace {

constexpr const char* eventStream = "text/event-stream";

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

void answerOk(exchange_table& exchanges, const std::string& upstream, const request_message& request)
{
    answerWhole(exchanges, upstream, request, "{\"ok\":true}");
}

edge_fixture::side refuses(verdict runVerdict)
{
    return
        [runVerdict](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
            exchanges.deliver(upstream, request.id,
                refusal_message { request.id, runVerdict, "queue_full", "full", 700, {} });
        };
}

// A caller that announces a body and keeps its connection.
class silent_sender {
public:
    explicit silent_sender(const edge_fixture& edge)
    {
        m_socket.connect({ asio::ip::make_address(edge.settings.callerListenAddress.ip),
            edge.settings.callerListenAddress.port });
        asio::write(m_socket, asio::buffer(head));
    }

    asio::ip::tcp::socket& socket() { return m_socket; }

    std::string answer()
    {
        std::string text;
        std::error_code error;
        asio::read(m_socket, asio::dynamic_buffer(text), error);
        return text;
    }

    static constexpr std::string_view head
        = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: "
          "Bearer secret\r\nContent-Length: 100000\r\n\r\n{";

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket { m_context };
};

// A head and one piece, then the link breaks.
edge_fixture::side breaksOff(const std::string& type)
{
    return [type](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
        exchanges.deliver(
            upstream, request.id, answer_head { request.id, 200, { { "Content-Type", type } } });
        exchanges.deliver(upstream, request.id, answer_data { request.id, 0, "data: 1\n\ndata: {\"cut" });
        exchanges.onConnectionLost(upstream);
    };
}

} // namespace

TEST_CASE("edge: a chat request is answered, without its key, under its team")
{
    edge_fixture edge(answerOk);
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(has(answer, "{\"ok\":true}"));
    REQUIRE(edge.sent().size() == 1);
    const request_message sent = edge.sent().front();
    CHECK(sent.team == "blue");
    CHECK(sent.model == "m");
    CHECK(parseTraceparent(sent.traceparent).has_value());
    for (const auto& [name, value] : sent.headers)
        CHECK_FALSE(has(value, "secret"));
}

TEST_CASE("edge: a stream ends with its mark only once the answer was checked")
{
    edge_fixture edge(
        [](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
            answerWhole(exchanges, upstream, request, "data: 1\n\ndata: [DONE]\n\n", eventStream);
        });
    const std::string answer = edge.chat(R"(,"stream":true)");
    CHECK(has(answer, "data: 1\n\n"));
    CHECK(has(answer, "data: [DONE]\n\n"));
    CHECK(answer.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("edge: a broken stream ends with an error event and never looks complete")
{
    edge_fixture edge(breaksOff(eventStream));
    const std::string answer = edge.chat(R"(,"stream":true)");
    CHECK(has(answer, "data: 1\n\n"));
    CHECK(has(answer, "event: error\ndata: {"));
    CHECK(has(answer, "\"verdict\":\"may_have_run\""));
    CHECK_FALSE(has(answer, "cut"));
    CHECK_FALSE(has(answer, "[DONE]"));
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(edge.sent().size() == 1);
}

TEST_CASE("edge: a stream whose totals disagree never shows its mark")
{
    edge_fixture edge(
        [](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
            const std::string body = "data: 1\n\ndata: [DONE]\n\n";
            exchanges.deliver(
                upstream, request.id, answer_head { request.id, 200, { { "Content-Type", eventStream } } });
            exchanges.deliver(upstream, request.id, answer_data { request.id, 0, body });
            exchanges.deliver(upstream, request.id, answer_end { request.id, 2, body.size(), 0, {} });
        });
    const std::string answer = edge.chat(R"(,"stream":true)");
    CHECK(has(answer, "event: error"));
    CHECK_FALSE(has(answer, "[DONE]"));
}

TEST_CASE("edge: a plain answer that breaks is tried again where it may be repeated")
{
    edge_fixture edge(
        [](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
            if (request.id == 1)
                breaksOff("application/json")(exchanges, upstream, request);
            else
                answerOk(exchanges, upstream, request);
        });
    CHECK(has(edge.chat(), "{\"ok\":true}"));
    CHECK(edge.sent().size() == 2);
}

TEST_CASE("edge: a plain answer that breaks at every upstream is refused, never cut")
{
    edge_fixture edge(breaksOff("application/json"));
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 502 "));
    CHECK(has(answer, "application/problem+json"));
    CHECK(has(answer, "\"verdict\":\"may_have_run\""));
    CHECK(edge.sent().size() == 2);
}

TEST_CASE("edge: a call that may not be repeated is not tried again once it may have run")
{
    edge_fixture edge(refuses(verdict::MayHaveRun));
    edge.setState([](fleet_state& state) {
        state.upstreams["ledger-2"] = state.upstreams["ledger"];
        state.upstreams["ledger-2"].name = "ledger-2";
    });
    CHECK(has(edge.call("POST /orders/1 HTTP/1.1", "{}"), "\"verdict\":\"may_have_run\""));
    REQUIRE(edge.sent().size() == 1);
    CHECK_FALSE(edge.sent().front().idempotencyKey.empty());
    CHECK_FALSE(edge.sent().front().idempotent);
}

TEST_CASE("edge: a refusal that was surely not run is tried elsewhere and told as not run")
{
    edge_fixture edge(refuses(verdict::NotRun));
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(has(answer, "Retry-After: 1\r\n"));
    CHECK(has(answer, "\"verdict\":\"not_run\""));
    CHECK(has(answer, "\"reason\":\"queue_full\""));
    CHECK(edge.sent().size() == 2);
    REQUIRE(edge.overloadMonitor.active().size() == 1);
    CHECK(edge.overloadMonitor.active().front().team == "blue");
}

TEST_CASE("edge: no answer by the deadline is refused as one that may have run")
{
    edge_fixture edge([](exchange_table&, const std::string&, const request_message&) {});
    const std::string answer = edge.call("GET /open/x?a=b HTTP/1.1\r\nX-Request-Timeout-Ms: 100");
    CHECK(answer.starts_with("HTTP/1.1 504 "));
    CHECK(has(answer, "\"verdict\":\"may_have_run\""));
    CHECK(edge.sent().front().path == "/open/x?a=b");
    CHECK(edge.exchanges.size() == 0);
}

TEST_CASE("edge: a fault of the entry after the request left is told as one that may have run")
{
    edge_fixture edge([](exchange_table&, const std::string&, const request_message&) {
        throw std::runtime_error("out of something");
    });
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 500 "));
    CHECK(has(answer, "\"reason\":\"internal\""));
    CHECK(has(answer, "\"verdict\":\"may_have_run\""));
}

TEST_CASE("edge: a key withdrawn while the connection is open is refused on the next request")
{
    edge_fixture edge(answerOk);
    http_client client;
    http_request request;
    request.server = edge.settings.callerListenAddress;
    request.target = "/v1/models";
    request.headers = { { "Authorization", "Bearer secret" } };
    CHECK(client.send(request).status == 200);
    edge.setState([](fleet_state& state) { state.keys.begin()->second.withdrawn = true; });
    const http_response refused = client.send(request);
    CHECK(refused.status == 401);
    CHECK(has(refused.body, "withdrawn_key"));
}

TEST_CASE("edge: no state is acted upon unless it is fresh")
{
    edge_fixture edge(answerOk);
    edge.setFresh(false);
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(has(answer, "\"reason\":\"state_not_fresh\""));
    CHECK(has(answer, "\"verdict\":\"not_run\""));
    CHECK(edge.sent().empty());
}

TEST_CASE("edge: bad input gets a clear refusal and reaches no upstream")
{
    edge_fixture edge(answerOk, { .maxBodyBytes = 1024 });
    const std::string post = "POST /v1/chat/completions HTTP/1.1";
    CHECK(has(edge.call(post, "{\"model\":"), "\"reason\":\"bad_json\""));
    CHECK(has(edge.call(post, std::string(2000, ' ')), "\"reason\":\"body_too_large\""));
    CHECK(has(
        edge.call(post, R"({"model":"x","messages":[{"role":"user"}]})"), "\"reason\":\"unknown_model\""));
    CHECK(has(edge.call("GET /nowhere HTTP/1.1"), "\"reason\":\"unknown_route\""));
    CHECK(has(edge.call("GET /v1/models HTTP/1.1\r\nauthorization: Bearer x"), "\"reason\":\"doubled_key\""));
    CHECK(has(edge.call("GET /v1/models HTTP/1.1\r\nX-API-KEY: x"), "\"reason\":\"doubled_key\""));
    CHECK(edge.rawCall("GET /v1/models HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n0\r\n\r\n")
              .find("HTTP/1.1 200")
        == std::string::npos);
    CHECK(edge.rawCall("GET /v1/models HTTP/1.1\r\nX: " + std::string(20000, 'a') + "\r\n\r\n")
              .find("HTTP/1.1 200")
        == std::string::npos);
    CHECK(edge.sent().empty());
    CHECK(has(edge.chat(), "{\"ok\":true}"));
}

TEST_CASE("edge: a slow or half-closed sender is cut off and others are served meanwhile")
{
    edge_fixture edge(answerOk);
    CHECK_FALSE(has(edge.rawCall(std::string(silent_sender::head), true), "HTTP/1.1 200"));
    silent_sender slow(edge);
    CHECK(has(edge.chat(), "{\"ok\":true}"));
    CHECK(has(slow.answer(), "\"reason\":\"body_incomplete\""));
    CHECK(edge.sent().size() == 1);
}

TEST_CASE("edge: silent senders on all workers but two cost others nothing")
{
    edge_fixture edge(answerOk);
    std::list<silent_sender> silent;
    for (std::uint32_t i = 0; i + 2 < edge_fixture::workers; ++i)
        silent.emplace_back(edge);
    REQUIRE(testing::until([&] { return edge.handler->inFlight() == silent.size(); }));
    CHECK(has(edge.chat(), "{\"ok\":true}"));
    // Answered while all of them still hold their workers.
    CHECK(edge.handler->inFlight() == silent.size());
    for (silent_sender& each : silent)
        CHECK(has(each.answer(), "\"reason\":\"body_incomplete\""));
    CHECK(edge.sent().size() == 1);
}

TEST_CASE("edge: a sender that drips its body or stops in its head is cut off")
{
    edge_fixture edge(answerOk);
    silent_sender slow(edge);
    std::error_code error;
    while (slow.socket().available() == 0 && !error) {
        asio::write(slow.socket(), asio::buffer(" ", 1), error);
        std::this_thread::sleep_for(milliseconds(20));
    }
    std::string answer(512, '\0');
    answer.resize(slow.socket().read_some(asio::buffer(answer), error));
    CHECK(has(answer, "\"reason\":\"body_incomplete\""));
    CHECK_FALSE(has(edge.rawCall("GET /v1/models HTTP/1.1\r\nHo"), "HTTP/1.1 200"));
    CHECK(edge.sent().empty());
}

TEST_CASE("edge: a stream over HTTP/1.0 is refused, a plain answer is not")
{
    edge_fixture edge(answerOk);
    const std::string body = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true})";
    const std::string post = "POST /v1/chat/completions HTTP/1.0";
    CHECK(has(edge.call(post, body), "\"reason\":\"http_version\""));
    CHECK(has(
        edge.call(post, R"({"model":"m","messages":[{"role":"user","content":"hi"}]})"), "{\"ok\":true}"));
}

TEST_CASE("edge: an open route needs no key, and no key or header of ours passes")
{
    edge_fixture edge(answerOk);
    const std::string answer = edge.rawCall(
        "GET /open/x HTTP/1.1\r\nHost: a\r\nX-Sagesaddle-Team: red\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    REQUIRE(edge.sent().size() == 1);
    const request_message sent = edge.sent().front();
    CHECK(sent.team.empty());
    for (const auto& field : sent.headers)
        CHECK_FALSE(has(field.name, "Sagesaddle"));
}
