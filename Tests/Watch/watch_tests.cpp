#include "Serve/http_server.h"
#include "Support/free_port.h"
#include "Watch/log.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"
#include "Watch/trace_context.h"

#include <doctest/doctest.h>
#include <future>
#include <nlohmann/json.hpp>

using namespace sagesaddle;

TEST_CASE("log: a line is one JSON object with typed fields, even with quotes, line breaks and invalid UTF-8")
{
    const std::string line = formatLogLine(wall_time(milliseconds(1500)), log_level::Warning, "a \"b\"\n\xff",
        { { "team", "blue" }, { "count", 3 }, { "share", 0.5 }, { "open", true } });
    CHECK(line.find('\n') == std::string::npos);
    const auto parsed = nlohmann::json::parse(line);
    CHECK(parsed["time"] == "1970-01-01T00:00:01.500Z");
    CHECK(parsed["level"] == "warning");
    CHECK(parsed["team"] == "blue");
    CHECK(parsed["count"].is_number_integer());
    CHECK(parsed["share"] == 0.5);
    CHECK(parsed["open"] == true);
}

TEST_CASE("metrics: counters, gauges and histograms are serialized with their labels")
{
    metric_registry metrics;
    metrics.add("requests_total", "Requests.", { { "team", "blue" } });
    metrics.add("requests_total", "Requests.", { { "team", "blue" } }, 2);
    metrics.set("lag", "Lag.", 7);
    metrics.observeSeconds("latency_seconds", "Latency.", 0.02);
    const std::string text = metrics.serialize();
    CHECK(text.find("requests_total{team=\"blue\"} 3") != std::string::npos);
    CHECK(text.find("lag 7") != std::string::npos);
    CHECK(text.find("latency_seconds_bucket{le=\"0.025\"} 1") != std::string::npos);
}

TEST_CASE("trace: a valid traceparent is parsed, and a child span keeps its trace id")
{
    const std::string text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const auto context = parseTraceparent(text);
    REQUIRE(context.has_value());
    CHECK(formatTraceparent(*context) == text);
    const trace_context child = childOf(*context);
    CHECK(child.traceId == context->traceId);
    CHECK(child.spanId != context->spanId);
    CHECK(parseTraceparent(formatTraceparent(startTrace())).has_value());
}

TEST_CASE("trace: an invalid traceparent is rejected")
{
    for (const char* text : { "", "00", "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
             "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
             "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
             "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
             "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x",
             "00-4bf92f3577b34da6a3ce929d0e0e4736_00f067aa0ba902b7-01" }) {
        CAPTURE(text);
        CHECK_FALSE(parseTraceparent(text).has_value());
    }
}

TEST_CASE("spans: a finished span reaches the collector as OTLP JSON")
{
    const address collector = testing::freeAddress();
    std::promise<std::string> received;
    http_server server({ .listen = collector }, [&](http_call& call) {
        std::string body;
        call.readBody(body, 1U << 20U);
        call.respond(200, {}, "{}");
        received.set_value(call.path() + body);
    });
    const trace_context context = startTrace();
    {
        span_exporter exporter({ .collector = collector, .service = "entry", .instance = "entry-a" });
        span hop;
        hop.context = context;
        hop.name = "request";
        hop.attributes = { { "status", 200 } };
        exporter.record(hop);
    }
    const std::string text = received.get_future().get();
    REQUIRE(text.starts_with("/v1/traces"));
    const auto parsed = nlohmann::json::parse(text.substr(std::string("/v1/traces").size()));
    const auto& hop = parsed["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    CHECK(hop["traceId"] == context.traceId);
    CHECK(hop["attributes"][0]["value"]["intValue"] == "200");
}

TEST_CASE("spans: those over the limit of waiting spans are counted as dropped")
{
    span_exporter exporter({ .collector = testing::freeAddress(),
        .service = "entry",
        .instance = "entry-a",
        .maxWaiting = 2,
        .batch = 100,
        .period = milliseconds(60000) });
    for (int i = 0; i < 5; ++i)
        exporter.record({ .context = startTrace() });
    CHECK(exporter.dropped() == 3);
}
