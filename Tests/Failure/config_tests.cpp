#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr seconds maxConfigDelay { 4 };
constexpr int revisionConflictExitCode = 3;

std::uint64_t revisionAt(const fleet_member& entry)
{
    return getJson(entry.admin, "/admin/status").at("revision");
}

bool knowsTeam(const fleet_member& entry, const std::string& name)
{
    const auto teams = getJson(entry.admin, "/admin/status").at("teams");
    return std::any_of(teams.begin(), teams.end(), [&](const auto& team) { return team.at("name") == name; });
}

fleet_records withTeam(const fleet_records& records, const std::string& name)
{
    fleet_records changed = records;
    changed.addTeam(name, 100, 100);
    return changed;
}

// Polls the revision of an entry and detects whether it ever goes back.
class revision_monitor {
public:
    explicit revision_monitor(const fleet_member& entry)
        : m_thread([this, &entry](const std::stop_token& stop) { run(entry, stop); })
    {
    }

    bool reverted() const { return m_reverted; }

private:
    void run(const fleet_member& entry, const std::stop_token& stop)
    {
        std::uint64_t highest = 0;
        while (!stop.stop_requested()) {
            const std::uint64_t revision = revisionAt(entry);
            m_reverted = m_reverted || revision < highest;
            highest = std::max(highest, revision);
        }
    }

    std::atomic<bool> m_reverted { false };
    std::jthread m_thread;
};

} // namespace

TEST_CASE("config: of two racing operators exactly one wins and the other is told who")
{
    fleet fleet({ .engines = 0, .services = 0 });
    const std::vector<std::string> options { "--revision", std::to_string(revisionAt(fleet.entry(0))) };
    const auto race = [&](const std::string& name) {
        return std::async(std::launch::async,
            [&, name] { return fleet.apply(withTeam(fleet.records(), name), "operator-" + name, options); });
    };
    auto left = race("left");
    auto right = race("right");
    const command_result leftResult = left.get();
    const command_result rightResult = right.get();
    INFO(leftResult.output << rightResult.output);
    const bool leftWon = leftResult.exitCode == 0;
    CHECK((leftWon ? rightResult : leftResult).exitCode == revisionConflictExitCode);
    CHECK((leftWon ? leftResult : rightResult).exitCode == 0);
    const std::string winner = leftWon ? "left" : "right";
    const std::string loser = leftWon ? "right" : "left";
    CHECK((leftWon ? rightResult : leftResult).output.find("operator-" + winner) != std::string::npos);
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(until([&] { return knowsTeam(fleet.entry(i), winner); }));
        CHECK_FALSE(knowsTeam(fleet.entry(i), loser));
    }
}

TEST_CASE(
    "config: a change is in force within 4 s and never reverts, also at an entry that cannot reach the log")
{
    fleet fleet({ .engines = 1, .services = 0 });
    setFaults(fleet.log().listen, { { "away_for", { formatAddress(fleet.logOf(1)) } } });
    const revision_monitor first(fleet.entry(0));
    const revision_monitor second(fleet.entry(1));
    for (const char* name : { "one", "two" }) {
        fleet.records().addTeam(name, 1000, 1000);
        const auto start = monotonicNow();
        REQUIRE(fleet.apply().exitCode == 0);
        for (std::size_t i = 0; i < 2; ++i)
            REQUIRE(until([&] { return chat(fleet.entry(i).listen, name, {}).status == 200; }));
        CHECK(monotonicNow() - start <= maxConfigDelay);
    }
    CHECK_FALSE(first.reverted());
    CHECK_FALSE(second.reverted());
}

TEST_CASE("config: an entry restarted while the log is unavailable gets the accepted records from its peers")
{
    fleet fleet({ .engines = 1, .services = 0 });
    fleet.records().addTeam("late", 1000, 1000);
    REQUIRE(fleet.apply().exitCode == 0);
    REQUIRE(until([&] { return knowsTeam(fleet.entry(0), "late"); }));
    const std::uint64_t revision = revisionAt(fleet.entry(0));
    setFaults(fleet.log().listen, { { "away", true } });
    fleet.entry(1).process->kill();
    fleet.restart(fleet.entry(1));
    CHECK(until([&] { return statusOf(fleet.entry(1).admin, "/readyz") == 200; }));
    CHECK(revisionAt(fleet.entry(1)) >= revision);
    CHECK(until([&] { return chat(fleet.entry(1).listen, "late", {}).status == 200; }));
}
