#include "Agree/membership_proposer.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using names = std::vector<std::string>;

using testing::at;

fleet_state fleet(const names& members)
{
    fleet_state state;
    for (const char* name : { "a", "b", "c" })
        state.entries[name].name = name;
    state.epoch.members = members;
    return state;
}

// Asks for a proposal every 100 ms for a minute while the live peers answer all the time. Returns the time of
// the first proposal in milliseconds, or -1.
std::int64_t firstProposal(
    const std::string& self, const fleet_state& state, const names& live, names& members)
{
    membership_proposer proposer({ .self = self }, at(0));
    for (std::int64_t ms = 0; ms <= 60000; ms += 100) {
        membership_proposer::last_answer_times times;
        for (const std::string& name : live)
            times[name] = at(ms);
        if (const auto proposal = proposer.proposal(at(ms), state, times)) {
            members = *proposal;
            return ms;
        }
    }
    return -1;
}

} // namespace

TEST_CASE("membership: the first epoch lists the live entries, as soon as these are stable")
{
    names members;
    CHECK(firstProposal("a", fleet({}), { "b", "c" }, members) == 1000);
    CHECK(members == names { "a", "b", "c" });
}

TEST_CASE("membership: a silent member is left out only after its expiry")
{
    names members;
    CHECK(firstProposal("a", fleet({ "a", "b", "c" }), { "c" }, members) >= 10000);
    CHECK(members == names { "a", "c" });
}

TEST_CASE("membership: an entry without a live majority proposes nothing")
{
    names members;
    CHECK(firstProposal("a", fleet({ "a", "b", "c" }), {}, members) == -1);
}

TEST_CASE("membership: an entry that is not listed proposes nothing")
{
    names members;
    CHECK(firstProposal("x", fleet({ "a", "b" }), { "a", "b", "c" }, members) == -1);
}

TEST_CASE("membership: proposers take turns in the order of their names")
{
    names members;
    CHECK(firstProposal("b", fleet({}), { "a", "c" }, members) == 3000);
    CHECK(firstProposal("c", fleet({}), { "a", "b" }, members) == 5000);
}

TEST_CASE("membership: the members of the current epoch are not proposed again")
{
    names members;
    CHECK(firstProposal("a", fleet({ "a", "b", "c" }), { "b", "c" }, members) == -1);
}
