#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr std::size_t requestsPerRound = 16;

const chat_call firstEngineCall { .model = "model-1" };

std::string modelOf(std::size_t engine)
{
    return "model-" + std::to_string(engine + 1);
}

std::uint64_t runCountOn(fleet& fleet, std::size_t engine, const std::string& team)
{
    return getJson(fleet.engine(engine).listen, "/admin/stats").at("by_team").value(team, 0);
}

bool isConnected(fleet& fleet, std::size_t engine)
{
    const auto status = getJson(fleet.entry(0).admin, "/admin/status");
    return status.at("upstreams").at(engine).at("link_up");
}

std::future<http_response> startChat(fleet& fleet, const chat_call& call)
{
    return std::async(
        std::launch::async, [&fleet, call] { return chat(fleet.entry(0).listen, "walkin", call); });
}

std::future<http_response> startHeldChat(fleet& fleet)
{
    setFaults(fleet.engine(0).listen, { { "hold", true } });
    auto answer = startChat(fleet, firstEngineCall);
    REQUIRE(until([&] { return runCountOn(fleet, 0, "walkin") >= 1; }));
    return answer;
}

void checkRefused(const http_response& answer, const std::string& verdict)
{
    INFO(answer.body);
    CHECK(answer.status >= 500);
    CHECK(problemMember(answer, "verdict") == verdict);
}

} // namespace

TEST_CASE("verdict: a request that arrives after its engine was killed is not run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    fleet.engine(0).process->kill();
    checkRefused(chat(fleet.entry(0).listen, "walkin", firstEngineCall), "not_run");
}

TEST_CASE("verdict: a request that arrives after its side process was killed is not run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    fleet.engineSide(0).process->kill();
    // Until the entry has noticed that the connection is closed, it can only say that a request may have run.
    REQUIRE(until([&] { return !isConnected(fleet, 0); }));
    checkRefused(chat(fleet.entry(0).listen, "walkin", firstEngineCall), "not_run");
    CHECK(runCountOn(fleet, 0, "walkin") == 0);
}

TEST_CASE("verdict: a request whose engine was killed while it ran may have run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    auto answer = startHeldChat(fleet);
    fleet.engine(0).process->kill();
    checkRefused(answer.get(), "may_have_run");
}

TEST_CASE("verdict: a request whose side was killed while it ran may have run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    auto answer = startHeldChat(fleet);
    fleet.engineSide(0).process->kill();
    checkRefused(answer.get(), "may_have_run");
    CHECK(runCountOn(fleet, 0, "walkin") >= 1);
}

TEST_CASE(
    "verdict: a request that one side lost while it ran may have run, even if the next surely did not run it")
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
    // The reason comes from the last upstream, which reports only that it did not run the request.
    CHECK(problemMember(refused, "reason") == "upstream_unreachable");
}

TEST_CASE("verdict: no request refused as not_run has run, while side processes are killed again and again")
{
    constexpr std::size_t rounds = 3;
    // No engine has room for the model of another, so that each request can run on one engine only.
    fleet fleet({ .engines = rounds, .services = 0, .engineMemoryMb = 200 });
    for (std::size_t round = 0; round < rounds; ++round) {
        // Slow enough that the side process is killed while the requests run.
        setFaults(fleet.engine(round).listen, { { "tokens_per_second", 20 } });
        std::vector<std::future<http_response>> answers;
        answers.reserve(requestsPerRound);
        for (std::size_t i = 0; i < requestsPerRound; ++i)
            answers.push_back(startChat(fleet, { .model = modelOf(round), .tokens = 20 }));
        REQUIRE(until([&] { return runCountOn(fleet, round, "walkin") >= 1; }));
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
        // Every request that reached the engine was either answered or refused as may_have_run.
        CHECK(runCountOn(fleet, round, "walkin") <= answered + mayHaveRun);
        CHECK(runCountOn(fleet, round, "walkin") >= answered);
        fleet.restart(fleet.engineSide(round));
    }
    // After failures the router sends an upstream no requests for a time (backoff), so that all upstreams are
    // awaited together.
    for (std::size_t round = 0; round < rounds; ++round) {
        const chat_call call { .model = modelOf(round) };
        CHECK(until([&] { return chat(fleet.entry(0).listen, "probe", call).status == 200; }));
    }
}
