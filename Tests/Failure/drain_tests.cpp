#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr std::size_t streamCount = 8;
// Time within which every entry knows that an upstream leaves.
constexpr seconds maxLeavingDelay { 4 };
// Longer than the longest interval between an entry's reads of the host list, so that each entry sees both
// states.
constexpr int repeatOldMs = 700;

// Takes 4 s, longer than the entry's wait for the load balancer and than the shortest drain of a side
// process.
const chat_call slowStream { .model = "model-1", .tokens = 80, .stream = true };

std::vector<std::future<http_response>> startStreams(fleet& fleet)
{
    setFaults(fleet.engine(0).listen, { { "tokens_per_second", 20 } });
    std::vector<std::future<http_response>> answers;
    for (std::size_t i = 0; i < streamCount; ++i)
        answers.push_back(std::async(
            std::launch::async, [&fleet] { return chat(fleet.entry(0).listen, "walkin", slowStream); }));
    REQUIRE(
        until([&] { return getJson(fleet.engine(0).listen, "/admin/stats").at("running") == streamCount; }));
    return answers;
}

void checkComplete(std::vector<std::future<http_response>>& answers)
{
    for (auto& answer : answers)
        CHECK(textOf(answer.get()) == expectedText(slowStream));
}

std::uint64_t runCountOf(const fleet_member& engine)
{
    return getJson(engine.listen, "/admin/stats").at("by_team").value("walkin", 0);
}

} // namespace

TEST_CASE("drain: an entry that is stopped finishes its streams")
{
    fleet fleet({ .engines = 1, .services = 0 });
    auto answers = startStreams(fleet);
    fleet.entry(0).process->terminate();
    CHECK(until([&] { return statusOf(fleet.entry(0).admin, "/readyz") == 503; }));
    checkComplete(answers);
    CHECK(fleet.entry(0).process->waitFor(generousBound) == 0);
}

TEST_CASE("drain: a side that is stopped finishes its streams")
{
    fleet fleet({ .engines = 1, .services = 0 });
    auto answers = startStreams(fleet);
    fleet.engineSide(0).process->terminate();
    checkComplete(answers);
    CHECK(fleet.engineSide(0).process->waitFor(generousBound) == 0);
}

TEST_CASE("drain: a leaving upstream gets no new requests, although the host list repeats an older state")
{
    fleet fleet({ .engines = 2, .services = 0 });
    http_request list;
    list.method = "POST";
    list.server = fleet.hosts().listen;
    list.target = "/admin/hosts";
    list.body = R"({"hosts":[{"name":"engine-1","state":"live"},{"name":"engine-2","state":"live"}]})";
    REQUIRE(send(list, "").status == 200);
    setFaults(fleet.hosts().listen, { { "repeat_old_ms", repeatOldMs } });
    list.body = R"({"hosts":[{"name":"engine-1","state":"leaving"},{"name":"engine-2","state":"live"}]})";
    REQUIRE(send(list, "").status == 200);

    const auto start = monotonicNow();
    REQUIRE(until([&] {
        chat(fleet.entry(0).listen, "walkin", { .model = "shared" });
        return monotonicNow() - start > maxLeavingDelay;
    }));
    const std::uint64_t runsBefore = runCountOf(fleet.engine(0));
    for (int i = 0; i < 60; ++i)
        CHECK(chat(fleet.entry(static_cast<std::size_t>(i) % 2).listen, "walkin", {}).status == 200);
    CHECK(runCountOf(fleet.engine(0)) == runsBefore);
}
