#include "Command/commands.h"
#include "Command/request_explanation.h"
#include "Support/temp_folder.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace sagesaddle;

namespace {

// Formats a log line as a gateway writes it; `second` is the time within a fixed minute, as in `01.250`.
std::string formatLine(const std::string& second, const std::string& kind, const std::string& fields)
{
    return R"({"time":"2026-12-04T04:11:)" + second + R"(Z","level":"info","message":")" + kind + "\""
        + (fields.empty() ? "" : "," + fields) + "}\n";
}

std::string endedLine(const std::string& second, const std::string& id, const std::string& outcome,
    const std::string& fields = R"("model":"m1","adapter":"","upstream":"i-1","team":"gold")")
{
    return formatLine(second, "ended", R"("id":")" + id + R"(","outcome":")" + outcome + "\"," + fields);
}

gateway_log parseLog(const std::string& text)
{
    gateway_log log;
    std::istringstream input(text);
    readDecisionLog(input, "gateway-1", log);
    return log;
}

std::string lastEvidenceKind(const request_explanation& explanation)
{
    return explanation.evidence.empty() ? std::string() : explanation.evidence.back().kind;
}

} // namespace

TEST_CASE("request explanation: a refusal under load is explained by the forecast of the same request")
{
    const auto explanation = explainFromLogs(
        parseLog(formatLine("01.000", "no_room", R"("id":"other","model":"m1","forecast_ms":9)")
            + formatLine("02.000", "no_room", R"("id":"r1","model":"m1","forecast_ms":716)")
            + endedLine("02.001", "r1", "overloaded")),
        "r1");
    CHECK(explanation.isExplained);
    CHECK(explanation.cause.find("forecast to miss its objective") != std::string::npos);
    REQUIRE(explanation.evidence.size() == 2);
    CHECK(explanation.evidence.front().fields.at("forecast_ms") == 716);
}

TEST_CASE(
    "request explanation: where the request's forecast was not logged, the newest one of its model is used")
{
    const auto explanation = explainFromLogs(
        parseLog(formatLine("01.000", "no_room", R"("id":"other","model":"m1","forecast_ms":9)")
            + formatLine("01.500", "no_room", R"("id":"more","model":"m2","forecast_ms":8)")
            + endedLine("02.001", "r1", "overloaded")),
        "r1");
    CHECK(explanation.isExplained);
    CHECK(explanation.evidence.back().fields.at("forecast_ms") == 9);
}

TEST_CASE("request explanation: a broken stream is explained by its upstream's failure, seen by any gateway")
{
    const std::string lines = "[ 12.5] front-b-2 | "
        + formatLine("01.000", "upstream_gone", R"("upstream":"i-1")") + "[ 13.0] front-a-1 | "
        + formatLine("01.200", "upstream_failed", R"("upstream":"i-2")") + "[ 13.0] front-a-1 | "
        + endedLine("01.300", "r1", "upstream_broke");
    const auto explanation = explainFromLogs(parseLog(lines), "r1");
    CHECK(explanation.isExplained);
    REQUIRE(explanation.evidence.size() == 2);
    CHECK(explanation.evidence.back().process == "front-b-2");
    CHECK(lastEvidenceKind(explanation) == "upstream_gone");
}

TEST_CASE(
    "request explanation: limits, keys and configuration are those of the gateway that refused the request")
{
    const std::string lines = "a {}\na " + formatLine("00.000", "config_in_force", R"("version":7)") + "b "
        + formatLine("00.500", "config_in_force", R"("version":9)") + "a "
        + formatLine("00.600", "limit_in_force", R"("team":"gold","rate_per_s":5)") + "a "
        + formatLine("00.700", "store_away", R"("seconds":4.4)") + "a "
        + formatLine("00.800", "quarantine_in_force", R"("part":"dead")") + "a "
        + endedLine("01.000", "route", "unknown_route") + "a " + endedLine("01.100", "limit", "over_limit")
        + "a " + endedLine("01.200", "key", "keys_not_proven") + "a "
        + endedLine("01.250", "prompt", "prompt_quarantined") + "a "
        + endedLine("01.300", "drain", "draining");
    const gateway_log log = parseLog(lines);
    CHECK(log.unreadable == 1);
    CHECK(explainFromLogs(log, "route").evidence.back().fields.at("version") == 7);
    CHECK(lastEvidenceKind(explainFromLogs(log, "limit")) == "limit_in_force");
    CHECK(lastEvidenceKind(explainFromLogs(log, "key")) == "store_away");
    CHECK(lastEvidenceKind(explainFromLogs(log, "prompt")) == "quarantine_in_force");
    const auto drained = explainFromLogs(log, "drain");
    CHECK_FALSE(drained.isExplained);
    CHECK_FALSE(drained.cause.empty());
}

TEST_CASE("request explanation: a missing model is explained by its orders and by changes of the coordinator")
{
    const auto explanation = explainFromLogs(
        parseLog(formatLine("00.000", "order", R"("holding":"m1","status":202)")
            + formatLine("20.000", "order", R"("holding":"m2","status":202)")
            + formatLine("21.000", "duty_taken", R"("fence":4)")
            + formatLine("22.000", "order", R"("holding":"m1/a2","status":0)")
            + endedLine("23.000", "r1", "model_absent", R"("model":"m1","adapter":"a2","upstream":"")")),
        "r1");
    CHECK(explanation.isExplained);
    // The order 23 s before the end is too old to be a cause, and the order for m2 is for another model.
    REQUIRE(explanation.evidence.size() == 3);
    CHECK(explanation.evidence[1].kind == "duty_taken");
    CHECK(explanation.evidence[2].fields.at("holding") == "m1/a2");
}

TEST_CASE(
    "request explanation: an unknown id, an end that was not logged and an unknown outcome are reported")
{
    const gateway_log log = parseLog(formatLine("01.000", "no_room", R"("id":"open","model":"m1")")
        + endedLine("02.000", "new", "later_outcome") + "not a line\n\n" + R"({"message":"x","time":"noon"})"
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
    std::ofstream(first) << formatLine("01.000", "upstream_failed", R"("upstream":"i-1")");
    std::ofstream(second) << endedLine("01.100", "r1", "upstream_broke");
    const command_report report = run(explain_logs_request { "r1", { first, second } });
    CHECK(report.code == exit_code::Done);
    CHECK(report.text.find("its upstream broke off") != std::string::npos);
    CHECK(report.text.find(first) != std::string::npos);
    CHECK(report.document.at("explained") == true);
    CHECK(run(explain_logs_request { "r2", { first } }).code == exit_code::NotFound);
    CHECK_THROWS_WITH(run(explain_logs_request { "r1", { first + "x" } }), doctest::Contains(first.c_str()));
}
