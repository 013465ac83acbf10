#include "Serve/http_server.h"
#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/free_port.h"
#include "Support/until.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <future>
#include <map>
#include <mutex>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr seconds overloadBound { 5 };

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

http_response get(const address& server, const std::string& target)
{
    http_client client;
    http_request request;
    request.server = server;
    request.target = target;
    return client.send(request);
}

bool showsOverload(fleet& fleet, bool active)
{
    const bool inStatus = getJson(fleet.entry(0).admin, "/admin/status")["overload"]["active"] == active;
    const std::string metric = "sagesaddle_overload{cause=\"no_upstream\",team=\"walkin\"} ";
    const bool inMetrics
        = contains(get(fleet.entry(0).admin, "/metrics").body, metric + (active ? "1" : "0"));
    const std::string line = active ? "\"message\":\"overload began\"" : "\"message\":\"overload ended\"";
    return inStatus && inMetrics && contains(fleet.entry(0).process->output(), line);
}

} // namespace

TEST_CASE("overload: its beginning and its end show in log, metrics and status within 5 s")
{
    fleet fleet({ .entries = 1, .engines = 1, .services = 0 });
    fleet.engineSide(0).process->kill();
    REQUIRE(until([&] { return chat(fleet.entry(0).listen, "walkin", {}).status == 503; }));
    CHECK(until([&] { return showsOverload(fleet, true); }, overloadBound));
    CHECK(until([&] { return showsOverload(fleet, false); }, overloadBound));
}

TEST_CASE("explain: an answered request is explained by its trace, and its key is in no log")
{
    fleet fleet(
        { .entries = 1, .engines = 1, .services = 0, .entrySettings = "[logging]\nlevel = \"debug\"\n" });
    const http_response answer = chat(fleet.entry(0).listen, "walkin", {});
    REQUIRE(answer.status == 200);
    const std::string trace(answer.header("x-trace-id"));
    nlohmann::json explanation;
    REQUIRE(until([&] {
        explanation = getJson(fleet.entry(0).admin, "/admin/explain?trace=" + trace);
        return !explanation["decisions"].empty();
    }));
    CHECK(explanation["decisions"].size() == 1);
    CHECK(explanation["decisions"][0]["verdict"] == "answered");
    CHECK(contains(explanation["decisions"][0]["steps"].dump(), "engine-1: chosen as"));
    const std::string log = fleet.entry(0).process->output();
    CHECK(contains(log, trace));
    CHECK_FALSE(contains(log, secretOf("walkin")));
}

TEST_CASE("drain: a late request is refused as not run while a running stream completes")
{
    fleet fleet({ .entries = 1, .engines = 1, .services = 0 });
    setFaults(fleet.engine(0).listen, { { "tokens_per_second", 10 } });
    const chat_call slow { .model = "model-1", .tokens = 60, .stream = true };
    auto answer = std::async(std::launch::async, [&] { return chat(fleet.entry(0).listen, "walkin", slow); });
    REQUIRE(until([&] { return getJson(fleet.engine(0).listen, "/admin/stats").at("running") == 1; }));
    fleet.entry(0).process->terminate();
    http_response late;
    CHECK(until([&] {
        late = chat(fleet.entry(0).listen, "walkin", {});
        return problemMember(late, "reason") == "entry_leaving";
    }));
    CHECK(problemMember(late, "verdict") == "not_run");
    CHECK(textOf(answer.get()) == expectedText(slow));
    CHECK(fleet.entry(0).process->waitFor(generousBound) == 0);
}

TEST_CASE("traces: the spans of a request's hops join the caller's trace")
{
    const address collector = freeAddress();
    std::mutex mutex;
    std::map<std::string, nlohmann::json> spans;
    http_server server({ .listen = collector }, [&](http_call& call) {
        std::string body;
        call.readBody(body, std::size_t { 4 } << 20U);
        const auto batch = nlohmann::json::parse(body);
        const std::lock_guard lock(mutex);
        for (const auto& span : batch["resourceSpans"][0]["scopeSpans"][0]["spans"])
            spans[span["name"].get<std::string>() + " " + span["traceId"].get<std::string>()] = span;
        call.respond(200, {}, "{}");
    });
    const std::string traces = "[traces]\naddress = \"" + formatAddress(collector) + "\"\n";
    fleet fleet({ .entries = 1, .engines = 1, .services = 0, .entrySettings = traces });
    const std::string trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    http_request request = chatRequest(fleet.entry(0).listen, {});
    request.headers.emplace_back("traceparent", "00-" + trace + "-00f067aa0ba902b7-01");
    CHECK(send(request, "walkin").status == 200);
    const auto known = [&](const std::string& name) {
        const std::lock_guard lock(mutex);
        return spans.contains(name + " " + trace);
    };
    REQUIRE(until([&] { return known("request") && known("dispatch"); }));
    const std::lock_guard lock(mutex);
    CHECK(spans["request " + trace]["parentSpanId"] == "00f067aa0ba902b7");
    CHECK(spans["dispatch " + trace]["parentSpanId"] == spans["request " + trace]["spanId"]);
}
