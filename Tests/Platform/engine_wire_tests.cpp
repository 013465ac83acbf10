#include "engine_calls.h"
#include "upstream_reader.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

using namespace sagesaddle;

TEST_CASE("upstream reader: an entry is parsed and unknown fields are ignored")
{
    const auto entry = platform::parseUpstreamEntry("i-1",
        R"({"service":"desk","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":64,"state":"draining",
        "cold-remaining-ms":0,"models":[{"name":"m1","version":1,"adapters":["a1"]}],"sequence":4,"born":1700000000123,"x":[]})");
    CHECK(entry.id == "i-1");
    CHECK(entry.endpoint == address { "10.128.0.9", 8080 });
    CHECK(entry.isDraining);
    CHECK(entry.slots == 64);
    CHECK(entry.acceptedOrders == 4);
    CHECK(entry.startedAt == 1700000000123);
    CHECK(entry.models == std::vector<loaded_model> { { "m1", { "a1" } } });
}

TEST_CASE("upstream reader: a malformed entry is rejected")
{
    for (const char* text :
        { "", "nonsense", "[]", "{}", R"({"service":"desk","address":"10.0.0.1:1","zone":"a"})",
            R"({"service":"desk","address":"10.0.0.1:1","zone":"a","state":"odd"})",
            R"({"service":"desk","address":"nowhere","zone":"a","state":"ready"})",
            R"({"service":7,"address":"10.0.0.1:1","zone":"a","state":"ready"})",
            R"({"service":"desk","address":"10.0.0.1:1","zone":"a","state":"ready","slots":"many"})" })
        CHECK_THROWS_AS(platform::parseUpstreamEntry("i-1", text), std::invalid_argument);
}

TEST_CASE(
    "upstream reader: an engine's report is parsed with the adapters that are loading and the cached models")
{
    const auto report = platform::parseLoadedModelsReport(
        R"({"stage":"both","models":[{"name":"m1","version":1,"adapters":["a1"]}],"busy":true,"sequence":2,"queued":1,
        "running":12,"kv-used":41000,"kv-total":90000,"coming":["m1/a2@3"],"at-hand":{"in-memory":["m1"],"on-disk":["m2"]}})");
    CHECK(report.isBusy);
    CHECK(report.acceptedOrders == 2);
    CHECK(report.running == 12);
    CHECK(report.loadingAdapters == std::vector<std::string> { "m1/a2" });
    CHECK(report.hostCached == std::vector<std::string> { "m1", "m2" });
}

TEST_CASE("engine calls: an order names its lease holder, fencing token, expected orders and engine")
{
    const std::string call = platform::formatOrderCall(
        { "10.0.0.1", 80 }, "i-1", { model_order::action::Unload, "m1", "a2", "gateway-1", 41, 2 });
    CHECK(call.find("\r\nExpect-Instance: i-1\r\n") != std::string::npos);
    const auto body = nlohmann::json::parse(call.substr(call.find("\r\n\r\n") + 4));
    CHECK(body
        == nlohmann::json { { "operation", "unload" }, { "model", "m1" }, { "adapter", "a2" },
            { "holder", "gateway-1" }, { "fencing-token", 41 }, { "expected", 2 } });
}
