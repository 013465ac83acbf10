#include "Gateway/platform_checks.h"
#include "Support/damaged_statuses.h"

#include <algorithm>
#include <memory>

using namespace sagesaddle;

namespace {

/// \return a function that returns one damaged status after the other.
std::function<std::string()> damagedInTurn()
{
    const auto next = std::make_shared<std::size_t>(0);
    return [next] { return std::string(damagedStatuses.at((*next)++ % damagedStatuses.size())); };
}

bool isServed(platform_fixture& fixture, const std::string& adapter)
{
    const auto& attempt = fixture.send(
        fixture.gateways.front(), "/resume/", "key-1", "Model: " + adapter + "\r\nToken-Counts: 100,20\r\n");
    return fixture.waitEnd(attempt) && attempt.caller->status() == 200;
}

bool hasOrders(const platform_fixture& fixture)
{
    return std::any_of(fixture.engines.begin(), fixture.engines.end(),
        [](const auto& engine) { return !engine.holders.empty(); });
}

std::size_t countOf(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against an order that an engine has carried out and that is taken for declined.
TEST_CASE("gateway: an order whose answer has a damaged status counts as unanswered")
{
    platform_fixture fixture;
    startPlatform(fixture, 1);
    for (auto& engine : fixture.engines)
        engine.orderStatus = damagedInTurn();
    const auto& gateway = fixture.gateways.front();
    REQUIRE(loopUntil(fixture.loop, [&] {
        for (const char* adapter : { "m1/a1", "m1/a2", "m1/a3", "m2/a1", "m2/a2", "m3/a1", "m3/a2" })
            isServed(fixture, adapter);
        return countOf(fixture.outputOf(gateway), R"("message":"order")") >= 2 * damagedStatuses.size();
    }));
    const std::string output = fixture.outputOf(gateway);
    std::size_t unanswered = 0;
    for (std::size_t at = output.find(R"("message":"order")"); at != std::string::npos;
         at = output.find(R"("message":"order")", at + 1))
        unanswered += output.substr(at, output.find('\n', at) - at).find(R"("status":0)") != std::string::npos
            ? 1
            : 0;
    CHECK(unanswered == countOf(output, R"("message":"order")"));
    for (auto& engine : fixture.engines)
        engine.orderStatus = {};
    CHECK(loopUntil(fixture.loop, [&] { return isServed(fixture, "m1/a3"); }));
    checkNoViolations(fixture);
}

// Guards against orders that follow from a report that is none.
TEST_CASE("gateway: a report with a damaged status is not used, so that its engine gets no orders")
{
    platform_fixture fixture;
    fixture.configure({ "key-1" });
    for (const char* id : { "e1", "e2" })
        fixture.addEngine({ id }, { "m1" }).reportStatus = damagedInTurn();
    REQUIRE(fixture.waitReady(fixture.addGateway()));
    const monotonic_time end = monotonicNow() + seconds(3);
    while (monotonicNow() < end)
        CHECK_FALSE(isServed(fixture, "m1/a3"));
    CHECK_FALSE(hasOrders(fixture));
    for (auto& engine : fixture.engines)
        engine.reportStatus = {};
    CHECK(loopUntil(fixture.loop, [&] { return isServed(fixture, "m1/a3"); }));
    checkNoViolations(fixture);
}

// Guards against a lease, a configuration or a list that was read from an answer that is none.
TEST_CASE(
    "gateway: a store whose answers have damaged statuses counts as unreachable, and nothing of them is used")
{
    platform_fixture fixture;
    fixture.configure({ "key-1" });
    fixture.addEngine({ "l1", "ledger" });
    fixture.store.statusText = damagedInTurn();
    const auto& gateway = fixture.addGateway();
    REQUIRE(loopUntil(
        fixture.loop, [&] { return fixture.outputOf(gateway).find("store_away") != std::string::npos; }));
    loopFor(fixture.loop, seconds(1));
    for (const char* line : { "config_in_force", "upstream_listed", "duty_taken" })
        CHECK(fixture.outputOf(gateway).find(line) == std::string::npos);
    CHECK(fixture.readiness(gateway) == 503);
    fixture.store.statusText = {};
    CHECK(fixture.waitReady(gateway));
    checkNoViolations(fixture);
}
