#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/free_port.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// Room for three models of 100 MB, of which two are loaded at the start.
constexpr std::uint64_t tightMemoryMb = 350;
// Where the engine ignores fencing, the replacement waits for this time before its first order; shorter than
// the default to save time.
const std::string replacementTarget = "[target]\norder_settling_ms = 3000\n";

std::string replaceOnce(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// A second side process of an upstream, at other addresses, which replaces the first one while that is
// frozen.
class replacement_side {
public:
    replacement_side(fleet& fleet, const fleet_member& first)
        : m_listen(freeAddress())
    {
        const auto settings = fleet.folder() / "replacement.toml";
        std::string text = readFile(first.command.back());
        text = replaceOnce(text, formatAddress(first.listen), formatAddress(m_listen));
        const address admin = freeAddress();
        text = replaceOnce(text, formatAddress(first.admin), formatAddress(admin));
        writeFile(settings, replaceOnce(text, "[target]\n", replacementTarget));
        m_process.emplace(std::vector<std::string> { first.command.front(), "--config", settings.string() },
            fleet.folder() / "replacement.log");
        for (upstream& declared : fleet.records().upstreams) {
            if (declared.name == first.name)
                declared.side = m_listen;
        }
        REQUIRE(fleet.apply().exitCode == 0);
        // The process is ready when the only entry has sent it the records; from then on the entry sends it
        // the requests.
        REQUIRE(until([&] { return statusOf(admin, "/readyz") == 200; }));
    }

private:
    address m_listen;
    std::optional<child_process> m_process;
};

// Declares a pinned model, in the place of another one unless `instead` is empty.
void pinModel(fleet& fleet, const std::string& name, const std::string& instead)
{
    fleet_records& records = fleet.records();
    const auto isReplaced = [&](const auto& value) { return value == instead; };
    std::erase_if(records.models, [&](const model& value) { return isReplaced(value.name); });
    std::erase_if(records.placements, [&](const placement& value) { return isReplaced(value.model); });
    records.models.push_back({ name, 100, "" });
    records.placements.push_back({ name, "engine-1", true });
}

nlohmann::json engineStatus(fleet& fleet)
{
    return getJson(fleet.engineSide(0).admin, "/admin/status").at("engine");
}

// Freezes the first process while its order to load a model is affected by the faults.
void freezeWithOrder(fleet& fleet, nlohmann::json orderFaults)
{
    orderFaults["refuse_overcommit"] = false;
    setFaults(fleet.engine(0).listen, orderFaults);
    pinModel(fleet, "second", "");
    REQUIRE(fleet.apply().exitCode == 0);
    REQUIRE(until([&] { return engineStatus(fleet).at("orders_outstanding") == 1; }));
    fleet.engineSide(0).process->freeze();
    setFaults(fleet.engine(0).listen, { { "lose_orders", 0 }, { "delay_orders_ms", 0 } });
}

void checkMemory(fleet& fleet)
{
    const auto stats = getJson(fleet.engine(0).listen, "/admin/stats");
    CHECK(stats.at("peak_memory_mb") <= tightMemoryMb);
    CHECK(stats.at("overcommit_orders") == 0);
}

// Wakes the first process after the replacement has loaded another model instead; neither may overcommit the
// engine.
void checkTakeover(bool checksFencing, const nlohmann::json& orderFaults)
{
    INFO("checks fencing: " << checksFencing << ", faults: " << orderFaults.dump());
    fleet fleet({ .entries = 1,
        .engines = 1,
        .services = 0,
        .engineMemoryMb = tightMemoryMb,
        .checksFencing = checksFencing });
    freezeWithOrder(fleet, orderFaults);
    pinModel(fleet, "third", "second");
    const replacement_side replacement(fleet, fleet.engineSide(0));
    const auto isServed
        = [&] { return chat(fleet.entry(0).listen, "walkin", { .model = "third" }).status == 200; };
    REQUIRE(until(isServed));
    fleet.engineSide(0).process->wake();
    CHECK(until([&] { return engineStatus(fleet).at("orders") == "fenced_off"; }));
    CHECK(isServed());
    checkMemory(fleet);
}

std::uint64_t executionsOf(fleet& fleet, const std::string& key)
{
    return getJson(fleet.service(0).listen, "/admin/executions").at("by_key").value(key, 0);
}

http_response deposit(fleet& fleet, const std::string& key)
{
    return callService(fleet.entry(0).listen, "walkin", "/orders/deposits", key);
}

std::future<http_response> startDeposit(fleet& fleet, const std::string& key)
{
    return std::async(std::launch::async, [&fleet, key] { return deposit(fleet, key); });
}

// Repeats the deposit, which reaches the replacement, until it was run (200) or its key is known to be used
// (409).
std::uint16_t finalStatus(fleet& fleet, const std::string& key)
{
    http_response answer;
    CHECK(until([&] {
        answer = deposit(fleet, key);
        return answer.status == 200 || answer.status == 409;
    }));
    return answer.status;
}

// Wakes the first process and waits until it has finished the requests that it had accepted.
void wakeAndFinish(fleet& fleet, std::future<http_response>& first)
{
    fleet.serviceSide(0).process->wake();
    const http_response answer = first.get();
    INFO(answer.body);
    CHECK(answer.status != 0);
    CHECK(until([&] { return getJson(fleet.serviceSide(0).admin, "/admin/status").at("running") == 0; }));
}

} // namespace

TEST_CASE("takeover: a frozen side that wakes with an order in doubt overcommits nothing")
{
    for (const bool checksFencing : { true, false })
        checkTakeover(checksFencing, { { "lose_orders", 1000000 } });
}

TEST_CASE("takeover: a side frozen while its order is under way overcommits nothing")
{
    for (const bool checksFencing : { true, false })
        checkTakeover(checksFencing, { { "delay_orders_ms", 2000 } });
}

TEST_CASE("takeover: a deposit that runs while its side is frozen does not run again at the replacement")
{
    fleet fleet({ .entries = 1, .engines = 0 });
    setFaults(fleet.service(0).listen, { { "hold", true } });
    auto first = startDeposit(fleet, "deposit-1");
    REQUIRE(until([&] { return executionsOf(fleet, "deposit-1") == 1; }));
    fleet.serviceSide(0).process->freeze();
    setFaults(fleet.service(0).listen, { { "hold", false } });
    const replacement_side replacement(fleet, fleet.serviceSide(0));
    CHECK(finalStatus(fleet, "deposit-1") == 409);
    wakeAndFinish(fleet, first);
    CHECK(executionsOf(fleet, "deposit-1") == 1);
}

TEST_CASE("takeover: a side frozen while it claims a deposit does not run it after the replacement did")
{
    fleet fleet({ .entries = 1, .engines = 0 });
    setFaults(fleet.log().listen, { { "away_for", { formatAddress(fleet.log().listen) } } });
    auto first = startDeposit(fleet, "deposit-1");
    REQUIRE(until([&] { return getJson(fleet.serviceSide(0).admin, "/admin/status").at("running") == 1; }));
    fleet.serviceSide(0).process->freeze();
    setFaults(fleet.log().listen, { { "away_for", nlohmann::json::array() } });
    const replacement_side replacement(fleet, fleet.serviceSide(0));
    CHECK(finalStatus(fleet, "deposit-1") == 200);
    wakeAndFinish(fleet, first);
    CHECK(executionsOf(fleet, "deposit-1") == 1);
}
