#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr std::size_t requestsPerRound = 16;

const chat_call onlyOnFirst { .model = "model-1" };

std::uint64_t runsOnFirst(fleet& fleet, const std::string& team)
{
    return getJson(fleet.engine(0).listen, "/admin/stats").at("by_team").value(team, 0);
}

std::future<http_response> chatLater(fleet& fleet, const chat_call& call)
{
    return std::async(
        std::launch::async, [&fleet, call] { return chat(fleet.entry(0).listen, "walkin", call); });
}

std::future<http_response> heldChat(fleet& fleet)
{
    setFaults(fleet.engine(0).listen, { { "hold", true } });
    auto answer = chatLater(fleet, onlyOnFirst);
    REQUIRE(until([&] { return runsOnFirst(fleet, "walkin") >= 1; }));
    return answer;
}

void checkRefused(const http_response& answer, const std::string& verdict)
{
    INFO(answer.body);
    CHECK(answer.status >= 500);
    CHECK(problemMember(answer, "verdict") == verdict);
}

} // namespace

TEST_CASE("verdict: a request whose engine was killed before it came is not run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    fleet.engine(0).process->kill();
    checkRefused(chat(fleet.entry(0).listen, "walkin", onlyOnFirst), "not_run");
}

TEST_CASE("verdict: a request whose side was killed before it came is not run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    fleet.engineSide(0).process->kill();
    checkRefused(chat(fleet.entry(0).listen, "walkin", onlyOnFirst), "not_run");
    CHECK(runsOnFirst(fleet, "walkin") == 0);
}

TEST_CASE("verdict: a request whose engine was killed while it ran may have run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    auto answer = heldChat(fleet);
    fleet.engine(0).process->kill();
    checkRefused(answer.get(), "may_have_run");
}

TEST_CASE("verdict: a request whose side was killed while it ran may have run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    auto answer = heldChat(fleet);
    fleet.engineSide(0).process->kill();
    checkRefused(answer.get(), "may_have_run");
    CHECK(runsOnFirst(fleet, "walkin") >= 1);
}

TEST_CASE("verdict: refusals that say not run are borne out while a side is killed again and again")
{
    fleet fleet({ .engines = 1, .services = 0 });
    std::uint64_t answered = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t sent = 0;
    for (int round = 0; round < 3; ++round) {
        std::vector<std::future<http_response>> answers;
        answers.reserve(requestsPerRound);
        for (std::size_t i = 0; i < requestsPerRound; ++i)
            answers.push_back(chatLater(fleet, { .model = "model-1", .tokens = 2 }));
        fleet.engineSide(0).process->kill();
        for (auto& answer : answers) {
            const http_response response = answer.get();
            const std::string verdict = problemMember(response, "verdict");
            INFO(response.body);
            CHECK((response.status == 200 || verdict == "not_run" || verdict == "may_have_run"));
            ++sent;
            answered += response.status == 200;
            mayHaveRun += verdict == "may_have_run";
        }
        fleet.restart(fleet.engineSide(0));
        REQUIRE(until([&] { return chat(fleet.entry(0).listen, "probe", onlyOnFirst).status == 200; }));
    }
    CHECK(sent == 3 * requestsPerRound);
    // Every request that the engine saw was either answered or told that it may have run.
    CHECK(runsOnFirst(fleet, "walkin") <= answered + mayHaveRun);
    CHECK(runsOnFirst(fleet, "walkin") >= answered);
}
