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

std::string modelOf(std::size_t engine)
{
    return "model-" + std::to_string(engine + 1);
}

std::uint64_t runsOn(fleet& fleet, std::size_t engine, const std::string& team)
{
    return getJson(fleet.engine(engine).listen, "/admin/stats").at("by_team").value(team, 0);
}

bool isLinked(fleet& fleet, std::size_t engine)
{
    const auto status = getJson(fleet.entry(0).admin, "/admin/status");
    return status.at("upstreams").at(engine).at("link_up");
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
    REQUIRE(until([&] { return runsOn(fleet, 0, "walkin") >= 1; }));
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
    // Before the entry has read that the link is gone, it can only say that a request may have run.
    REQUIRE(until([&] { return !isLinked(fleet, 0); }));
    checkRefused(chat(fleet.entry(0).listen, "walkin", onlyOnFirst), "not_run");
    CHECK(runsOn(fleet, 0, "walkin") == 0);
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
    CHECK(runsOn(fleet, 0, "walkin") >= 1);
}

TEST_CASE(
    "verdict: a request that one side lost while it ran may have run, though the next surely did not run it")
{
    fleet fleet({ .entries = 1, .engines = 0, .services = 2 });
    for (std::size_t i = 0; i < 2; ++i)
        setFaults(fleet.service(i).listen, { { "hold", true } });
    auto answer = std::async(std::launch::async,
        [&] { return callService(fleet.entry(0).listen, "walkin", "/stock/a", "stock-1"); });
    const auto runs = [&](std::size_t i) {
        return getJson(fleet.service(i).listen, "/admin/executions").at("by_key").contains("stock-1");
    };
    REQUIRE(until([&] { return runs(0) || runs(1); }));
    const std::size_t first = runs(0) ? 0 : 1;
    fleet.service(1 - first).process->kill();
    fleet.serviceSide(first).process->kill();
    const http_response refused = answer.get();
    checkRefused(refused, "may_have_run");
    // The word of the last upstream, which says of itself that it did not run the request.
    CHECK(problemMember(refused, "reason") == "upstream_unreachable");
}

TEST_CASE("verdict: refusals that say not run are borne out while a side is killed again and again")
{
    constexpr std::size_t rounds = 3;
    // No room for another's model, so that a request runs on one engine alone.
    fleet fleet({ .engines = rounds, .services = 0, .engineMemoryMb = 200 });
    for (std::size_t round = 0; round < rounds; ++round) {
        // Slow enough that the side dies while the requests run.
        setFaults(fleet.engine(round).listen, { { "tokens_per_second", 20 } });
        std::vector<std::future<http_response>> answers;
        answers.reserve(requestsPerRound);
        for (std::size_t i = 0; i < requestsPerRound; ++i)
            answers.push_back(chatLater(fleet, { .model = modelOf(round), .tokens = 20 }));
        REQUIRE(until([&] { return runsOn(fleet, round, "walkin") >= 1; }));
        fleet.engineSide(round).process->kill();
        std::uint64_t answered = 0;
        std::uint64_t mayHaveRun = 0;
        for (auto& answer : answers) {
            const http_response response = answer.get();
            const std::string verdict = problemMember(response, "verdict");
            INFO(response.body);
            CHECK((response.status == 200 || verdict == "not_run" || verdict == "may_have_run"));
            answered += response.status == 200;
            mayHaveRun += verdict == "may_have_run";
        }
        CHECK(mayHaveRun > 0);
        // Every request that the engine saw was either answered or told that it may have run.
        CHECK(runsOn(fleet, round, "walkin") <= answered + mayHaveRun);
        CHECK(runsOn(fleet, round, "walkin") >= answered);
        fleet.restart(fleet.engineSide(round));
    }
    // Waited for together: the router leaves an upstream alone for a while after failures.
    for (std::size_t round = 0; round < rounds; ++round) {
        const chat_call call { .model = modelOf(round) };
        CHECK(until([&] { return chat(fleet.entry(0).listen, "probe", call).status == 200; }));
    }
}
