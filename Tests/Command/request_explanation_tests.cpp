#include "Command/commands.h"
#include "Command/request_explanation.h"
#include "Support/temp_folder.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace sagesaddle;

namespace {

// A line as a gateway writes it, `second` of a minute on its clock.
std::string lineAt(const std::string& second, const std::string& kind, const std::string& fields)
{
    return R"({"time":"2026-12-04T04:11:)" + second + R"(Z","level":"info","message":")" + kind + "\""
        + (fields.empty() ? "" : "," + fields) + "}\n";
}

std::string ended(const std::string& second, const std::string& id, const std::string& outcome,
    const std::string& more = R"("model":"m1","adapter":"","upstream":"i-1","team":"gold")")
{
    return lineAt(second, "ended", R"("id":")" + id + R"(","outcome":")" + outcome + "\"," + more);
}

gateway_log logOf(const std::string& text)
{
    gateway_log log;
    std::istringstream input(text);
    readDecisionLog(input, "gateway-1", log);
    return log;
}

std::string lastKind(const request_explanation& story)
{
    return story.evidence.empty() ? std::string() : story.evidence.back().kind;
}

} // namespace

TEST_CASE("request story: a refusal under load is explained by the forecast of the same request")
{
    const auto story
        = explainFromLogs(logOf(lineAt("01.000", "no_room", R"("id":"other","model":"m1","forecast_ms":9)")
                              + lineAt("02.000", "no_room", R"("id":"r1","model":"m1","forecast_ms":716)")
                              + ended("02.001", "r1", "overloaded")),
            "r1");
    CHECK(story.isExplained);
    CHECK(story.cause.find("forecast to miss its objective") != std::string::npos);
    REQUIRE(story.evidence.size() == 2);
    CHECK(story.evidence.front().fields.at("forecast_ms") == 716);
}

TEST_CASE("request story: where the forecast's line was left out, the newest one of its model stands in")
{
    const auto story
        = explainFromLogs(logOf(lineAt("01.000", "no_room", R"("id":"other","model":"m1","forecast_ms":9)")
                              + lineAt("01.500", "no_room", R"("id":"more","model":"m2","forecast_ms":8)")
                              + ended("02.001", "r1", "overloaded")),
            "r1");
    CHECK(story.isExplained);
    CHECK(story.evidence.back().fields.at("forecast_ms") == 9);
}

TEST_CASE("request story: a stream cut at a lost upstream names the upstream's failure on any gateway")
{
    const std::string lost = "[ 12.5] front-b-2 | " + lineAt("01.000", "upstream_gone", R"("upstream":"i-1")")
        + "[ 13.0] front-a-1 | " + lineAt("01.200", "upstream_failed", R"("upstream":"i-2")")
        + "[ 13.0] front-a-1 | " + ended("01.300", "r1", "upstream_broke");
    const auto story = explainFromLogs(logOf(lost), "r1");
    CHECK(story.isExplained);
    REQUIRE(story.evidence.size() == 2);
    CHECK(story.evidence.back().process == "front-b-2");
    CHECK(lastKind(story) == "upstream_gone");
}

TEST_CASE("request story: limits, keys and configuration are those of the gateway that decided")
{
    const std::string lines = "a {}\na " + lineAt("00.000", "config_in_force", R"("version":7)") + "b "
        + lineAt("00.500", "config_in_force", R"("version":9)") + "a "
        + lineAt("00.600", "limit_in_force", R"("team":"gold","rate_per_s":5)") + "a "
        + lineAt("00.700", "store_away", R"("seconds":4.4)") + "a "
        + ended("01.000", "route", "unknown_route") + "a " + ended("01.100", "limit", "over_limit") + "a "
        + ended("01.200", "key", "keys_not_proven") + "a " + ended("01.300", "drain", "draining");
    const gateway_log log = logOf(lines);
    CHECK(log.unreadable == 1);
    CHECK(explainFromLogs(log, "route").evidence.back().fields.at("version") == 7);
    CHECK(lastKind(explainFromLogs(log, "limit")) == "limit_in_force");
    CHECK(lastKind(explainFromLogs(log, "key")) == "store_away");
    const auto unexplained = explainFromLogs(log, "drain");
    CHECK_FALSE(unexplained.isExplained);
    CHECK_FALSE(unexplained.cause.empty());
}

TEST_CASE("request story: a missing model is explained by the orders for it and by who gave them")
{
    const auto story = explainFromLogs(
        logOf(lineAt("00.000", "order", R"("holding":"m1","status":202)")
            + lineAt("20.000", "order", R"("holding":"m2","status":202)")
            + lineAt("21.000", "duty_taken", R"("fence":4)")
            + lineAt("22.000", "order", R"("holding":"m1/a2","status":0)")
            + ended("23.000", "r1", "model_absent", R"("model":"m1","adapter":"a2","upstream":"")")),
        "r1");
    CHECK(story.isExplained);
    // The order 23 s before is too old to matter, that for another model does not.
    REQUIRE(story.evidence.size() == 3);
    CHECK(story.evidence[1].kind == "duty_taken");
    CHECK(story.evidence[2].fields.at("holding") == "m1/a2");
}

TEST_CASE(
    "request story: an id that no line has, an end that was left out and an unknown outcome are said so")
{
    const gateway_log log = logOf(lineAt("01.000", "no_room", R"("id":"open","model":"m1")")
        + ended("02.000", "new", "later_outcome") + "not a line\n\n" + R"({"message":"x","time":"noon"})"
        + "\n");
    CHECK(log.unreadable == 2);
    CHECK(explainFromLogs(log, "none").evidence.empty());
    CHECK(explainFromLogs(log, "open").cause.find("not in these lines") != std::string::npos);
    CHECK(explainFromLogs(log, "new").cause.find("later_outcome") != std::string::npos);
}

TEST_CASE("explain: reads the files of several gateways and names one that cannot be read")
{
    const testing::temp_folder folder;
    const std::string first = folder.path() / "a.log";
    const std::string second = folder.path() / "b.log";
    std::ofstream(first) << lineAt("01.000", "upstream_failed", R"("upstream":"i-1")");
    std::ofstream(second) << ended("01.100", "r1", "upstream_broke");
    const command_report report = run(explain_logs_request { "r1", { first, second } });
    CHECK(report.code == exit_code::Done);
    CHECK(report.text.find("its upstream broke off") != std::string::npos);
    CHECK(report.text.find(first) != std::string::npos);
    CHECK(report.document.at("explained") == true);
    CHECK(run(explain_logs_request { "r2", { first } }).code == exit_code::NotFound);
    CHECK_THROWS_WITH(run(explain_logs_request { "r1", { first + "x" } }), doctest::Contains(first.c_str()));
}
