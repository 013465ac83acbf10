#include "Command/command_line.h"

#include <docopt/docopt.h>
#include <doctest/doctest.h>

using namespace sagesaddle;

TEST_CASE("command line: apply takes its options")
{
    const command_line line = parseCommandLine({ "apply", "records", "--log=127.0.0.1:7000", "--operator=ann",
        "--revision=12", "--entry=127.0.0.1:1", "--entry=127.0.0.1:2", "--json" });
    const auto& request = std::get<apply_request>(line.request);
    CHECK(request.folder == "records");
    CHECK(request.log.port == 7000);
    CHECK(request.revision == 12U);
    CHECK(request.entries.size() == 2);
    CHECK(line.json);
}

TEST_CASE("command line: each command is recognized")
{
    using arguments = std::vector<std::string>;
    const auto indexOf = [](const arguments& commandArguments) {
        return parseCommandLine(commandArguments).request.index();
    };
    const std::string log = "--log=127.0.0.1:1";
    CHECK(indexOf({ "check", "d" }) == 0);
    CHECK(indexOf({ "diff", "d", log }) == 1);
    CHECK(indexOf({ "status", "--entry=127.0.0.1:1" }) == 3);
    CHECK(indexOf({ "explain", "t", "--entry=127.0.0.1:1" }) == 4);
    CHECK(indexOf({ "keys", "new", "--team=gold" }) == 5);
    CHECK(indexOf({ "keys", "withdraw", "gold-1", log, "--operator=ann" }) == 6);
    CHECK(indexOf({ "keys", "list", log }) == 7);
    CHECK(indexOf({ "explain", "r1", "--lines=a", "--lines=-" }) == 8);
    CHECK(indexOf({ "check-config", "f", "--in-force=g" }) == 9);
}

TEST_CASE("command line: the error names a wrong value and the allowed ones")
{
    CHECK_THROWS_WITH_AS(
        parseCommandLine({ "diff", "d", "--log=here" }), doctest::Contains("--log"), std::invalid_argument);
    CHECK_THROWS_WITH_AS(
        parseCommandLine({ "apply", "d", "--log=127.0.0.1:1", "--operator=a", "--revision=x" }),
        doctest::Contains("whole number"), std::invalid_argument);
    CHECK_THROWS_WITH_AS(parseCommandLine({ "keys", "new", "--team=a b" }), doctest::Contains("--team"),
        std::invalid_argument);
    CHECK_THROWS_AS(parseCommandLine({ "frobnicate" }), docopt::DocoptArgumentError);
}
