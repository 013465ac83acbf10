#include "Entry/caller_request.h"
#include "Entry/entry_settings.h"
#include "Entry/refusal.h"
#include "Record/json_text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace sagesaddle;

namespace {

using header_list = http_call::header_list;

template <typename Action> std::string outcomeOf(Action action)
{
    try {
        action();
    } catch (const request_refused& refused) {
        return std::to_string(refused.why().status) + " " + refused.why().reason;
    }
    return "accepted";
}

std::string chatOutcome(const std::string& body)
{
    return outcomeOf([&] { parseChatBody(body, {}); });
}

fleet_state stateWithKey(bool withdrawn)
{
    fleet_state state;
    state.teams["blue"] = { .name = "blue" };
    const std::string hash = sha256Hex("secret");
    state.keys[hash] = { .id = "k", .team = "blue", .secretSha256 = hash, .withdrawn = withdrawn };
    return state;
}

} // namespace

TEST_CASE("headers: fields that two implementations could interpret differently are refused")
{
    const std::vector<std::pair<header_list, std::string>> cases {
        { { { "Content-Length", "3" }, { "transfer-encoding", "chunked" } }, "400 ambiguous_length" },
        { { { "Content-Length", "3" }, { "content-length", "4" } }, "400 ambiguous_length" },
        { { { "Content-Length", "+3" } }, "400 bad_header" },
        { { { "Transfer-Encoding", "gzip, chunked" } }, "400 bad_header" },
        { { { "Host", "a" }, { "HOST", "b" } }, "400 bad_header" },
        { { { "X Y", "a" } }, "400 bad_header" },
        { { { "X-Y", "a\x01" } }, "400 bad_header" },
        { header_list(64, { "X-Y", "a" }), "431 too_many_headers" },
        { { { "Host", "a" }, { "Content-Length", "3" } }, "accepted" },
    };
    for (const auto& [headers, expected] : cases)
        CHECK(outcomeOf([&, &list = headers] { checkHeaders(list); }) == expected);
}

TEST_CASE("key: one bearer secret is read, repeated keys and keys in other headers are refused")
{
    CHECK(bearerSecret({ { "authorization", "bearer  secret " } }) == "secret");
    CHECK(bearerSecret({ { "Host", "a" } }) == std::nullopt);
    const std::vector<std::pair<header_list, std::string>> cases {
        { { { "Authorization", "Bearer a" }, { "AUTHORIZATION", "Bearer b" } }, "400 doubled_key" },
        { { { "Authorization", "Bearer a" }, { "x-API-key", "b" } }, "400 doubled_key" },
        { { { "X-Api-Key", "a" } }, "401 no_key" },
        { { { "Authorization", "Basic a" } }, "401 no_key" },
    };
    for (const auto& [headers, expected] : cases)
        CHECK(outcomeOf([&, &list = headers] { bearerSecret(list); }) == expected);
}

TEST_CASE("key: only a known key that was not withdrawn names a team")
{
    CHECK(authenticate(stateWithKey(false), "secret").team == "blue");
    CHECK(outcomeOf([] { authenticate(stateWithKey(true), "secret"); }) == "401 withdrawn_key");
    CHECK(outcomeOf([] { authenticate(stateWithKey(false), "Secret"); }) == "401 unknown_key");
    CHECK(outcomeOf([] { authenticate(stateWithKey(false), std::nullopt); }) == "401 no_key");
}

TEST_CASE("headers: keys, hop-by-hop fields and reserved ones are not forwarded")
{
    const auto forwarded = forwardedHeaders({ { "AUTHORIZATION", "Bearer a" }, { "x-api-key", "a" },
        { "Connection", "close, X-Hop" }, { "x-hop", "1" }, { "X-SageSaddle-Team", "red" },
        { "Idempotency-Key", "a" }, { "Accept", "text/plain" } });
    REQUIRE(forwarded.size() == 1);
    CHECK(forwarded.front().name == "Accept");
}

TEST_CASE("headers: priority, timeout and idempotency key are read within their bounds")
{
    CHECK(requestedPriority({ { "x-priority", "Batch" } }, priority::Interactive) == priority::Batch);
    CHECK(requestedPriority({}, priority::Batch) == priority::Batch);
    CHECK(outcomeOf([] {
        requestedPriority({ { "X-Priority", "vip" } }, priority::Batch);
    }) == "400 bad_header");
    const milliseconds maximum(1000);
    CHECK(
        requestedTimeout({ { "X-Request-Timeout-Ms", "50" } }, milliseconds(9), maximum) == milliseconds(50));
    CHECK(requestedTimeout({ { "X-Request-Timeout-Ms", "5000" } }, milliseconds(9), maximum) == maximum);
    CHECK(requestedTimeout({}, milliseconds(9), maximum) == milliseconds(9));
    for (const char* wrong : { "0", "-1", "1s", "", "99999999999" })
        CHECK(outcomeOf([&] {
            requestedTimeout({ { "X-Request-Timeout-Ms", wrong } }, maximum, maximum);
        }) == "400 bad_header");
    CHECK(requestedIdempotencyKey({ { "idempotency-key", "a-1" } }) == "a-1");
    CHECK(outcomeOf([] { requestedIdempotencyKey({ { "Idempotency-Key", "a b" } }); }) == "400 bad_header");
    CHECK(outcomeOf([] {
        requestedIdempotencyKey({ { "Idempotency-Key", std::string(129, 'a') } });
    }) == "400 bad_header");
}

TEST_CASE("chat: the default request of a client library is parsed and its answer is limited")
{
    const chat_body chat
        = parseChatBody(R"({"model":"m","messages":[{"role":"user","content":"hi"}],"temperature":0.5})", {});
    CHECK(chat.model == "m");
    CHECK_FALSE(chat.stream);
    const auto sent = nlohmann::json::parse(chat.body);
    CHECK(sent["temperature"] == 0.5);
    CHECK(sent["max_tokens"] == request_limits().defaultAnswerTokens);
    CHECK(chat.tokens > request_limits().defaultAnswerTokens);
}

TEST_CASE("chat: a repeated member is forwarded once, as it was validated")
{
    const chat_body chat = parseChatBody(
        R"({"model":"a","messages":[{"role":"user","content":"hi"}],"model":"b","max_tokens":2})", {});
    CHECK(chat.model == "b");
    CHECK(chat.body.find("\"a\"") == std::string::npos);
}

TEST_CASE("chat: the prompt is charged by its texts, not by the formatting of the body")
{
    const auto tokens = [](const std::string& content) {
        return parseChatBody(
            R"({"model":"m","max_tokens":10,"messages":[{"role":"user","content":)" + content + "}]}", {})
            .tokens;
    };
    CHECK(tokens("\"oak saddle\"") == 13);
    CHECK(tokens("\"\"") == 10);
    CHECK(tokens(R"([{"type":"text","text":"oak"}])") == 18);
}

TEST_CASE("chat: several choices are all charged")
{
    const std::string head = R"({"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":100)";
    const double one = parseChatBody(head + R"(,"n":1})", {}).tokens;
    CHECK(parseChatBody(head + R"(,"n":3})", {}).tokens == one + 200);
}

TEST_CASE("chat: an invalid body is refused")
{
    CHECK(chatOutcome("{\"model\":") == "400 bad_json");
    CHECK(chatOutcome("") == "400 bad_json");
    for (const char* body :
        { "[]", R"({"messages":[{"role":"user"}]})", R"({"model":"","messages":[{"role":"u"}]})",
            R"({"model":"m"})", R"({"model":"m","messages":[]})", R"({"model":"m","messages":[{}]})",
            R"({"model":"m","messages":[{"role":"u"}],"stream":"yes"})",
            R"({"model":"m","messages":[{"role":"u"}],"max_tokens":-1})",
            R"({"model":"m","messages":[{"role":"u"}],"max_tokens":99999999})",
            R"({"model":"m","messages":[{"role":"u"}],"n":0})" }) {
        CAPTURE(body);
        CHECK(chatOutcome(body) == "400 bad_request");
    }
}
