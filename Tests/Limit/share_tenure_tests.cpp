#include "Limit/fleet_state_builder.h"
#include "Limit/share_tenure.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace sagesaddle;
using testing::fleet_state_builder;

TEST_CASE("shares: three different members hold them, or all members where there are fewer")
{
    const auto shares = sharesOf("desk", { "a", "b", "c", "d" });
    REQUIRE(shares.size() == sharesPerTeam);
    CHECK(shares[0].holder != shares[1].holder);
    CHECK(shares[1].holder != shares[2].holder);
    CHECK(shares[0].holder != shares[2].holder);
    CHECK(sharesOf("desk", { "a" })[2] == team_share { "a", 2 });
    CHECK(sharesOf("desk", {}).empty());
}

TEST_CASE("shares: a member that leaves moves only its own share")
{
    std::vector<std::string> members;
    for (int name = 10; name < 60; ++name)
        members.push_back("entry-" + std::to_string(name));
    for (int team = 0; team < 50; ++team) {
        const std::string name = "team-" + std::to_string(team);
        const auto before = sharesOf(name, members);
        auto fewer = members;
        std::erase(fewer, before[1].holder);
        const auto after = sharesOf(name, fewer);
        CHECK(std::count(after.begin(), after.end(), before[0]) == 1);
        CHECK(std::count(after.begin(), after.end(), before[2]) == 1);
    }
}

TEST_CASE("share tenure: in the fleet's first epoch no share was used before")
{
    fleet_state_builder fleet;
    fleet.withEpoch({ "a", "b", "c" });
    CHECK(tenureOf("desk", { "a", 0 }, *fleet.state()) == tenure_start { 1, true });
}

TEST_CASE(
    "share tenure: it spans epochs that leave the share with its holder, and ends with one that does not")
{
    fleet_state_builder fleet;
    fleet.withEpoch({ "a", "b", "c" }).withEpoch({ "a", "b" }).withEpoch({ "a", "b", "c" });
    CHECK(tenureOf("desk", { "a", 0 }, *fleet.state()) == tenure_start { 1, true });
    CHECK(tenureOf("desk", { "c", 0 }, *fleet.state()) == tenure_start { 3, false });
    CHECK(memberSince("b", *fleet.state()) == 1);
    CHECK(memberSince("c", *fleet.state()) == 3);
}

TEST_CASE("share tenure: its start is unknown where it is before the remembered epochs")
{
    fleet_state_builder fleet;
    for (std::size_t epoch = 0; epoch < maxPastEpochs + 2; ++epoch)
        fleet.withEpoch({ "a", "b", "c" });
    CHECK(tenureOf("desk", { "a", 0 }, *fleet.state()).epoch == 0);
    CHECK_FALSE(epochsAfter(*fleet.state(), 1).has_value());
}
