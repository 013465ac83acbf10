#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

std::uint64_t executionsOf(fleet& fleet, const std::string& key)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < 1; ++i)
        sum += getJson(fleet.service(i).listen, "/admin/executions").at("by_key").value(key, 0);
    return sum;
}

http_response deposit(fleet& fleet, std::size_t entry, const std::string& key)
{
    return callService(fleet.entry(entry).listen, "walkin", "/orders/deposits", key);
}

std::future<http_response> startDeposit(fleet& fleet, std::size_t entry, const std::string& key)
{
    return std::async(std::launch::async, [&fleet, entry, key] { return deposit(fleet, entry, key); });
}

// Starts a deposit that the service executes but does not answer before releaseService().
std::future<http_response> startHeldDeposit(fleet& fleet, const std::string& key)
{
    setFaults(fleet.service(0).listen, { { "hold", true } });
    auto answer = startDeposit(fleet, 0, key);
    REQUIRE(until([&] { return executionsOf(fleet, key) == 1; }));
    return answer;
}

void releaseService(fleet& fleet)
{
    setFaults(fleet.service(0).listen, { { "hold", false } });
}

// Repeats the deposit, as a caller would, until the answer says that its key was used.
void checkNeverRunsAgain(fleet& fleet, const std::string& key)
{
    http_response last;
    const bool refused = until([&] {
        last = deposit(fleet, 1, key);
        return last.status == 409;
    });
    INFO(last.body);
    CHECK(refused);
    CHECK(problemMember(last, "verdict") == "may_have_run");
    CHECK(executionsOf(fleet, key) == 1);
}

} // namespace

TEST_CASE("once: a deposit tried again at another entry runs once")
{
    fleet fleet({ .engines = 0 });
    CHECK(deposit(fleet, 0, "deposit-1").status == 200);
    checkNeverRunsAgain(fleet, "deposit-1");
}

TEST_CASE("once: of two concurrent tries at two entries one runs")
{
    fleet fleet({ .engines = 0 });
    for (int i = 0; i < 10; ++i) {
        const std::string key = "deposit-" + std::to_string(i);
        auto first = startDeposit(fleet, 0, key);
        auto second = startDeposit(fleet, 1, key);
        const int answered = (first.get().status == 200) + (second.get().status == 200);
        CHECK(answered == 1);
        CHECK(executionsOf(fleet, key) == 1);
    }
}

TEST_CASE("once: a deposit does not run twice when the log loses its answers to appends")
{
    fleet fleet({ .engines = 0 });
    setFaults(fleet.log().listen, { { "lose_answers", 2 } });
    const http_response answer = deposit(fleet, 0, "deposit-1");
    INFO(answer.body);
    const std::uint64_t runs = executionsOf(fleet, "deposit-1");
    CHECK(runs == (answer.status == 200 ? 1 : 0));
    deposit(fleet, 1, "deposit-1");
    CHECK(executionsOf(fleet, "deposit-1") <= 1);
}

TEST_CASE("once: a deposit whose answer is lost is refused as may_have_run and does not run again")
{
    fleet fleet({ .engines = 0 });
    // Opens the connections first, so that the answer is lost on a connection that is reused.
    REQUIRE(deposit(fleet, 0, "deposit-0").status == 200);
    setFaults(fleet.service(0).listen, { { "lose_answers", 1 } });
    const http_response answer = deposit(fleet, 0, "deposit-1");
    CHECK(answer.status >= 500);
    CHECK(problemMember(answer, "verdict") == "may_have_run");
    checkNeverRunsAgain(fleet, "deposit-1");
}

TEST_CASE("once: a deposit does not run again after its entry was killed")
{
    fleet fleet({ .engines = 0 });
    auto answer = startHeldDeposit(fleet, "deposit-1");
    fleet.entry(0).process->kill();
    releaseService(fleet);
    CHECK(answer.get().status == 0);
    checkNeverRunsAgain(fleet, "deposit-1");
    fleet.restart(fleet.entry(0));
    CHECK(until([&] { return deposit(fleet, 0, "deposit-1").status == 409; }));
    CHECK(executionsOf(fleet, "deposit-1") == 1);
}

TEST_CASE("once: a deposit does not run again after its side process was killed and restarted")
{
    fleet fleet({ .engines = 0 });
    auto answer = startHeldDeposit(fleet, "deposit-1");
    fleet.serviceSide(0).process->kill();
    const http_response broken = answer.get();
    CHECK(broken.status >= 500);
    CHECK(problemMember(broken, "verdict") == "may_have_run");
    releaseService(fleet);
    fleet.restart(fleet.serviceSide(0));
    checkNeverRunsAgain(fleet, "deposit-1");
}

TEST_CASE("once: while the log is unavailable a deposit is refused as not_run, and afterwards deposits run")
{
    fleet fleet({ .engines = 0 });
    setFaults(fleet.log().listen, { { "away", true } });
    const http_response refused = deposit(fleet, 0, "deposit-1");
    INFO(refused.body);
    CHECK(refused.status == 503);
    CHECK(problemMember(refused, "verdict") == "not_run");
    CHECK(executionsOf(fleet, "deposit-1") == 0);
    setFaults(fleet.log().listen, { { "away", false } });
    CHECK(until([&] { return deposit(fleet, 1, "deposit-2").status == 200; }));
    CHECK(executionsOf(fleet, "deposit-2") == 1);
}
