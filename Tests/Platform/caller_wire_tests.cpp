#include "caller_wire.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace sagesaddle;

namespace {

http_head headOf(std::vector<http_field> fields)
{
    http_head head;
    head.method = "POST";
    head.target = "/a/b?q=1";
    head.fields = { { "Host", "h.example" }, { "Request-Id", "r1" } };
    head.fields.insert(head.fields.end(), fields.begin(), fields.end());
    return head;
}

bool carries(const std::string& text, const std::string& line)
{
    return text.find("\r\n" + line + "\r\n") != std::string::npos;
}

const upstream_request_metadata terms { milliseconds(900), "i-1", "atelier", 3, "" };

} // namespace

TEST_CASE("caller wire: what the caller says of a request is read")
{
    const auto request = platform::parseRequestHead(headOf({ { "Key", "secret" }, { "Deadline-Ms", "1500" },
        { "Model", "m/a3" }, { "Token-Counts", "1460,80" }, { "Prompt-Prefix", "5c1e07a2:800,e4402b7d:250" },
        { "Length-Hint", "40" }, { "Last-Event-Id", "7" } }));
    CHECK(request.id == "r1");
    CHECK(request.host == "h.example");
    CHECK(request.apiKey == "secret");
    CHECK(request.deadline == milliseconds(1500));
    CHECK(request.model == "m");
    CHECK(request.adapter == "a3");
    CHECK(request.promptTokens == 1460);
    CHECK(request.maxAnswerTokens == 80);
    CHECK(request.expectedAnswerTokens == 40);
    CHECK(request.lastEventId == "7");
    REQUIRE(request.parts.size() == 2);
    CHECK(request.parts.at(0) == prompt_part { 0x5c1e07a2, 800 });
}

TEST_CASE("caller wire: fields that cannot be understood are refused by name")
{
    for (const http_field& field :
        { http_field { "Deadline-Ms", "soon" }, http_field { "Token-Counts", "14" },
            http_field { "Token-Counts", "-1,2" }, http_field { "Prompt-Prefix", "zz:1" },
            http_field { "Prompt-Prefix", "1" }, http_field { "Request-Id", "r2" } }) {
        CHECK_THROWS_WITH_AS(platform::parseRequestHead(headOf({ field })),
            doctest::Contains(field.name.c_str()), std::invalid_argument);
    }
}

TEST_CASE("caller wire: neither the key nor the caller's word on the system's fields reaches an upstream")
{
    const auto request = platform::parseRequestHead(headOf({ { "kEy", "secret" }, { "tenant", "other" },
        { "Expect-Instance", "i-9" }, { "Hold", "h" }, { "Pin-Ms", "9" }, { "KV-From", "1.2.3.4:5/6" },
        { "Kv-Backup", "1.2.3.4:5" }, { "Kv-Fetch", "1.2.3.4:5" }, { "Request-Priority", "0" },
        { "Connection", "X-Private" }, { "X-Private", "1" }, { "TE", "trailers" }, { "X-Kept", "yes" } }));
    const std::string text = platform::formatUpstreamRequest(request, terms);
    for (const char* word : { "secret", "other", "i-9", "Pin-Ms", "KV-From", "Kv-Backup", "Kv-Fetch",
             "X-Private", "TE:", "Hold:" })
        CHECK(text.find(word) == std::string::npos);
    CHECK(carries(text, "Tenant: atelier"));
    CHECK(carries(text, "Expect-Instance: i-1"));
    CHECK(carries(text, "Request-Priority: 3"));
    CHECK(carries(text, "Deadline-Ms: 900"));
    CHECK(carries(text, "X-Kept: yes"));
    CHECK(carries(text, "Request-Id: r1"));
}

TEST_CASE("caller wire: method, target and body are unchanged and the body's length is said once")
{
    auto request = platform::parseRequestHead(
        headOf({ { "Content-Length", "99" }, { "Transfer-Encoding", "chunked" } }));
    request.body = "hello";
    const std::string text = platform::formatUpstreamRequest(request, terms);
    CHECK(text.starts_with("POST /a/b?q=1 HTTP/1.1\r\n"));
    CHECK(text.ends_with("\r\n\r\nhello"));
    CHECK(carries(text, "Content-Length: 5"));
    CHECK(text.find("99") == std::string::npos);
    CHECK(text.find("chunked") == std::string::npos);
}

TEST_CASE("caller wire: a stream that the system resumes names its own last event")
{
    const auto request = platform::parseRequestHead(headOf({ { "Last-Event-Id", "7" } }));
    CHECK(carries(platform::formatUpstreamRequest(request, terms), "Last-Event-Id: 7"));
    upstream_request_metadata resumed = terms;
    resumed.lastEventId = "31";
    const std::string text = platform::formatUpstreamRequest(request, resumed);
    CHECK(carries(text, "Last-Event-Id: 31"));
    CHECK(text.find("Last-Event-Id: 7") == std::string::npos);
}

TEST_CASE("caller wire: an answer's signature, id and word on not having run are read")
{
    http_head head;
    head.fields = { { "request-id", "r1" }, { "Server-Stamp", "s" }, { "Not-Run", "1" } };
    CHECK(platform::parseAnswerHead(head) == upstream_answer_metadata { "r1", true, true });
    CHECK(platform::parseAnswerHead({}) == upstream_answer_metadata {});
    head.fields = { { "Server-Leaving", "1" }, { "Retry-After", "1.5" } };
    head.status = 503;
    upstream_answer_metadata leaving;
    leaving.isLeaving = true;
    leaving.requestedBackoff = milliseconds(1500);
    CHECK(platform::parseAnswerHead(head) == leaving);
    head.status = 200;
    leaving.requestedBackoff.reset();
    CHECK(platform::parseAnswerHead(head) == leaving);
    head.fields = { { "Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT" } };
    head.status = 503;
    CHECK(platform::parseAnswerHead(head) == upstream_answer_metadata {});
}
