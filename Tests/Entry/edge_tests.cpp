#include "Entry/edge_fixture.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <list>
#include <thread>

using namespace sagesaddle;
using testing::edge_fixture;
using testing::sendCompleteAnswer;

namespace {

constexpr const char* eventStream = "text/event-stream";

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

void answerOk(exchange_table& exchanges, const std::string& upstream, const request_message& request)
{
    sendCompleteAnswer(exchanges, upstream, request, "{\"ok\":true}");
}

edge_fixture::side_function refuseWith(verdict runVerdict)
{
    return
        [runVerdict](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
            exchanges.deliver(upstream, request.id,
                refusal_message { request.id, runVerdict, "queue_full", "full", 700, {} });
        };
}

// A caller that announces a body, sends one byte of it and keeps its connection open.
class stalled_sender {
public:
    explicit stalled_sender(const edge_fixture& edge)
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

// Sends the head and one data frame, then the connection breaks.
edge_fixture::side_function breakOffAnswer(const std::string& type)
{
    return [type](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
        exchanges.deliver(
            upstream, request.id, answer_head { request.id, 200, { { "Content-Type", type } } });
        exchanges.deliver(upstream, request.id, answer_data { request.id, 0, "data: 1\n\ndata: {\"cut" });
        exchanges.onConnectionLost(upstream);
    };
}

} // namespace

TEST_CASE("edge: a chat request is forwarded with its team and without its key, and answered")
{
    edge_fixture edge(answerOk);
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(contains(answer, "{\"ok\":true}"));
    REQUIRE(edge.sent().size() == 1);
    const request_message sent = edge.sent().front();
    CHECK(sent.team == "blue");
    CHECK(sent.model == "m");
    CHECK(parseTraceparent(sent.traceparent).has_value());
    for (const auto& [name, value] : sent.headers)
        CHECK_FALSE(contains(value, "secret"));
}

TEST_CASE("edge: the end marker of a stream is sent only after the answer was validated")
{
    edge_fixture edge(
        [](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
            sendCompleteAnswer(exchanges, upstream, request, "data: 1\n\ndata: [DONE]\n\n", eventStream);
        });
    const std::string answer = edge.chat(R"(,"stream":true)");
    CHECK(contains(answer, "data: 1\n\n"));
    CHECK(contains(answer, "data: [DONE]\n\n"));
    CHECK(answer.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("edge: a stream that breaks off ends with an error event and never looks complete")
{
    edge_fixture edge(breakOffAnswer(eventStream));
    const std::string answer = edge.chat(R"(,"stream":true)");
    CHECK(contains(answer, "data: 1\n\n"));
    CHECK(contains(answer, "event: error\ndata: {"));
    CHECK(contains(answer, "\"verdict\":\"may_have_run\""));
    CHECK_FALSE(contains(answer, "cut"));
    CHECK_FALSE(contains(answer, "[DONE]"));
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(edge.sent().size() == 1);
}

TEST_CASE("edge: a stream whose totals disagree never gets its end marker")
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
    CHECK(contains(answer, "event: error"));
    CHECK_FALSE(contains(answer, "[DONE]"));
}

TEST_CASE("edge: an idempotent request whose answer breaks off is retried")
{
    edge_fixture edge(
        [](exchange_table& exchanges, const std::string& upstream, const request_message& request) {
            if (request.id == 1)
                breakOffAnswer("application/json")(exchanges, upstream, request);
            else
                answerOk(exchanges, upstream, request);
        });
    CHECK(contains(edge.chat(), "{\"ok\":true}"));
    CHECK(edge.sent().size() == 2);
}

TEST_CASE("edge: an answer that breaks off at every upstream becomes a refusal, never a truncated answer")
{
    edge_fixture edge(breakOffAnswer("application/json"));
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 502 "));
    CHECK(contains(answer, "application/problem+json"));
    CHECK(contains(answer, "\"verdict\":\"may_have_run\""));
    CHECK(edge.sent().size() == 2);
}

TEST_CASE("edge: a request that is not idempotent is not retried once it may have run")
{
    edge_fixture edge(refuseWith(verdict::MayHaveRun));
    edge.setState([](fleet_state& state) {
        state.upstreams["ledger-2"] = state.upstreams["ledger"];
        state.upstreams["ledger-2"].name = "ledger-2";
    });
    CHECK(contains(edge.call("POST /orders/1 HTTP/1.1", "{}"), "\"verdict\":\"may_have_run\""));
    REQUIRE(edge.sent().size() == 1);
    CHECK_FALSE(edge.sent().front().idempotencyKey.empty());
    CHECK_FALSE(edge.sent().front().idempotent);
}

TEST_CASE("edge: a request refused as not run is retried elsewhere and reported as not run")
{
    edge_fixture edge(refuseWith(verdict::NotRun));
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(contains(answer, "Retry-After: 1\r\n"));
    CHECK(contains(answer, "\"verdict\":\"not_run\""));
    CHECK(contains(answer, "\"reason\":\"queue_full\""));
    CHECK(edge.sent().size() == 2);
    REQUIRE(edge.overloadMonitor.active().size() == 1);
    CHECK(edge.overloadMonitor.active().front().team == "blue");
}

TEST_CASE("edge: a request without an answer by its deadline is reported as may have run")
{
    edge_fixture edge([](exchange_table&, const std::string&, const request_message&) {});
    const std::string answer = edge.call("GET /open/x?a=b HTTP/1.1\r\nX-Request-Timeout-Ms: 100");
    CHECK(answer.starts_with("HTTP/1.1 504 "));
    CHECK(contains(answer, "\"verdict\":\"may_have_run\""));
    CHECK(edge.sent().front().path == "/open/x?a=b");
    CHECK(edge.exchanges.size() == 0);
}

TEST_CASE("edge: a request is reported as may have run if the entry fails after sending it")
{
    edge_fixture edge([](exchange_table&, const std::string&, const request_message&) {
        throw std::runtime_error("out of something");
    });
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 500 "));
    CHECK(contains(answer, "\"reason\":\"internal\""));
    CHECK(contains(answer, "\"verdict\":\"may_have_run\""));
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
    CHECK(contains(refused.body, "withdrawn_key"));
}

TEST_CASE("edge: requests are refused while the state is not fresh")
{
    edge_fixture edge(answerOk);
    edge.setFresh(false);
    const std::string answer = edge.chat();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(contains(answer, "\"reason\":\"state_not_fresh\""));
    CHECK(contains(answer, "\"verdict\":\"not_run\""));
    CHECK(edge.sent().empty());
}

TEST_CASE("edge: bad input gets a clear refusal and reaches no upstream")
{
    edge_fixture edge(answerOk, { .maxBodyBytes = 1024 });
    const std::string post = "POST /v1/chat/completions HTTP/1.1";
    CHECK(contains(edge.call(post, "{\"model\":"), "\"reason\":\"bad_json\""));
    CHECK(contains(edge.call(post, std::string(2000, ' ')), "\"reason\":\"body_too_large\""));
    CHECK(contains(
        edge.call(post, R"({"model":"x","messages":[{"role":"user"}]})"), "\"reason\":\"unknown_model\""));
    CHECK(contains(edge.call("GET /nowhere HTTP/1.1"), "\"reason\":\"unknown_route\""));
    CHECK(contains(
        edge.call("GET /v1/models HTTP/1.1\r\nauthorization: Bearer x"), "\"reason\":\"doubled_key\""));
    CHECK(contains(edge.call("GET /v1/models HTTP/1.1\r\nX-API-KEY: x"), "\"reason\":\"doubled_key\""));
    CHECK(edge.sendRaw("GET /v1/models HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n0\r\n\r\n")
              .find("HTTP/1.1 200")
        == std::string::npos);
    CHECK(edge.sendRaw("GET /v1/models HTTP/1.1\r\nX: " + std::string(20000, 'a') + "\r\n\r\n")
              .find("HTTP/1.1 200")
        == std::string::npos);
    CHECK(edge.sent().empty());
    CHECK(contains(edge.chat(), "{\"ok\":true}"));
}

TEST_CASE("edge: a slow or half-closed sender is cut off and others are served meanwhile")
{
    edge_fixture edge(answerOk);
    CHECK_FALSE(contains(edge.sendRaw(std::string(stalled_sender::head), true), "HTTP/1.1 200"));
    stalled_sender slow(edge);
    CHECK(contains(edge.chat(), "{\"ok\":true}"));
    CHECK(contains(slow.answer(), "\"reason\":\"body_incomplete\""));
    CHECK(edge.sent().size() == 1);
}

TEST_CASE("edge: stalled senders on all workers but two do not affect other callers")
{
    edge_fixture edge(answerOk);
    std::list<stalled_sender> stalled;
    for (std::uint32_t i = 0; i + 2 < edge_fixture::workers; ++i)
        stalled.emplace_back(edge);
    REQUIRE(testing::until([&] { return edge.handler->inFlight() == stalled.size(); }));
    CHECK(contains(edge.chat(), "{\"ok\":true}"));
    // The answer came while all stalled senders still occupied their workers.
    CHECK(edge.handler->inFlight() == stalled.size());
    for (stalled_sender& sender : stalled)
        CHECK(contains(sender.answer(), "\"reason\":\"body_incomplete\""));
    CHECK(edge.sent().size() == 1);
}

TEST_CASE("edge: a sender that trickles its body or stops within its headers is cut off")
{
    edge_fixture edge(answerOk);
    stalled_sender slow(edge);
    std::error_code error;
    while (slow.socket().available() == 0 && !error) {
        asio::write(slow.socket(), asio::buffer(" ", 1), error);
        std::this_thread::sleep_for(milliseconds(20));
    }
    std::string answer(512, '\0');
    answer.resize(slow.socket().read_some(asio::buffer(answer), error));
    CHECK(contains(answer, "\"reason\":\"body_incomplete\""));
    CHECK_FALSE(contains(edge.sendRaw("GET /v1/models HTTP/1.1\r\nHo"), "HTTP/1.1 200"));
    CHECK(edge.sent().empty());
}

TEST_CASE("edge: a stream over HTTP/1.0 is refused, a plain answer is not")
{
    edge_fixture edge(answerOk);
    const std::string body = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true})";
    const std::string post = "POST /v1/chat/completions HTTP/1.0";
    CHECK(contains(edge.call(post, body), "\"reason\":\"http_version\""));
    CHECK(contains(
        edge.call(post, R"({"model":"m","messages":[{"role":"user","content":"hi"}]})"), "{\"ok\":true}"));
}

TEST_CASE("edge: an open route needs no key, and reserved headers are not forwarded")
{
    edge_fixture edge(answerOk);
    const std::string answer = edge.sendRaw(
        "GET /open/x HTTP/1.1\r\nHost: a\r\nX-Sagesaddle-Team: red\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    REQUIRE(edge.sent().size() == 1);
    const request_message sent = edge.sent().front();
    CHECK(sent.team.empty());
    for (const auto& field : sent.headers)
        CHECK_FALSE(contains(field.name, "Sagesaddle"));
}
