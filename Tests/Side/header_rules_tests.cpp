#include "Side/header_rules.h"
#include "Side/usage_reader.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

std::vector<std::string> valuesOf(
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& name)
{
    std::vector<std::string> values;
    for (const auto& [key, value] : headers) {
        if (key == name)
            values.push_back(value);
    }
    return values;
}

} // namespace

TEST_CASE("header rules: an API key header is found in upper or lower case")
{
    CHECK(findApiKeyHeader({ { "AUTHORIZATION", "Bearer x" } }) == "AUTHORIZATION");
    CHECK(findApiKeyHeader({ { "accept", "a" }, { "X-Api-Key", "x" } }) == "X-Api-Key");
    CHECK_FALSE(findApiKeyHeader({ { "accept", "a" } }).has_value());
}

TEST_CASE("header rules: team, trace, idempotency key and priority in the caller's headers are replaced")
{
    request_message request;
    request.team = "one";
    request.idempotencyKey = "key-1";
    request.priority = priority::Batch;
    request.headers = { { "x-sagesaddle-TEAM", "two" }, { "Traceparent", "forged" }, { "X-Priority", "high" },
        { "idempotency-key", "key-2" }, { "Connection", "close" }, { "Accept", "text/plain" } };
    const trace_context span = startTrace();
    const auto headers = upstreamHeaders(request, span);
    CHECK(valuesOf(headers, "X-Sagesaddle-Team") == std::vector<std::string> { "one" });
    CHECK(valuesOf(headers, "traceparent") == std::vector<std::string> { formatTraceparent(span) });
    CHECK(valuesOf(headers, "Idempotency-Key") == std::vector<std::string> { "key-1" });
    CHECK(valuesOf(headers, "X-Priority") == std::vector<std::string> { "batch" });
    CHECK(valuesOf(headers, "X-Request-Id") == std::vector<std::string> { span.traceId });
    CHECK(valuesOf(headers, "Accept") == std::vector<std::string> { "text/plain" });
    CHECK(headers.size() == 6);
}

TEST_CASE(
    "header rules: the end of a body is known only from its length, its chunks, the method or the status")
{
    CHECK(hasDelimitedBody("GET", 200, { { "content-length", "3" } }));
    CHECK(hasDelimitedBody("GET", 200, { { "transfer-encoding", "gzip, Chunked" } }));
    CHECK(hasDelimitedBody("HEAD", 200, {}));
    CHECK(hasDelimitedBody("GET", 204, {}));
    CHECK_FALSE(hasDelimitedBody("GET", 200, { { "connection", "close" } }));
}

TEST_CASE("usage reader: counts the tokens of a document and of a stream, however the bytes are split")
{
    usage_reader document("application/json");
    document.add(R"({"usage":{"prompt_tokens":3,)");
    document.add(R"("completion_tokens":4}})");
    CHECK(document.tokensUsed() == 7);

    usage_reader stream("text/event-stream; charset=utf-8");
    for (int i = 0; i < 5000; ++i)
        stream.add("data: {\"choices\":[]}\n\n");
    CHECK_FALSE(stream.isTerminated());
    stream.add("data: {\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\ndata: [DO");
    stream.add("NE]\n\n");
    CHECK(stream.isTerminated());
    CHECK(stream.tokensUsed() == 3);

    usage_reader other("text/plain");
    other.add(R"({"usage":{"prompt_tokens":3}})");
    CHECK(other.tokensUsed() == 0);
}
