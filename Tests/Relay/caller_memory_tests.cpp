#include "Relay/caller_memory.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>
#include <vector>

using namespace sagesaddle;

namespace {

using testing::start;

constexpr std::size_t megabyte = 1048576;
constexpr std::size_t budget = 16 * megabyte;

caller_memory holding(const std::vector<caller_account>& accounts)
{
    caller_memory memory(budget);
    for (const auto& account : accounts)
        memory.replace({}, account);
    return memory;
}

caller_account reading(std::size_t bytes, milliseconds stalled = {})
{
    return { bytes, caller_stage::Reading, start - stalled };
}

} // namespace

TEST_CASE("caller memory: the budget is a third of the stated memory, and out of reach where none is stated")
{
    CHECK(caller_memory::budgetFor(120) == 40 * megabyte);
    CHECK(caller_memory::budgetFor(0) >= 1000 * 4 * megabyte);
}

TEST_CASE("caller memory: one request of the largest size is read on with the smallest host's budget")
{
    caller_memory memory(caller_memory::budgetFor(120));
    // A body of 4 MB and a head of 16,384 fields of one byte.
    const auto large = reading(5 * megabyte);
    memory.replace({}, large);
    CHECK(memory.decideRead(large) == caller_memory_action::ReadOn);
    CHECK_FALSE(memory.chooseShed(std::vector { large }, false, start));
}

TEST_CASE("caller memory: large requests are paused before small ones, for which the reserve is kept")
{
    const auto memory = holding({ reading(13 * megabyte) });
    CHECK(memory.decideRead(reading(megabyte)) == caller_memory_action::Pause);
    CHECK(memory.decideRead(reading(1000)) == caller_memory_action::ReadOn);
    CHECK_FALSE(memory.mayResume());
}

TEST_CASE("caller memory: closed connections release what they held")
{
    auto memory = holding({ reading(13 * megabyte), reading(megabyte) });
    memory.replace(reading(13 * megabyte), {});
    CHECK(memory.heldBytes() == megabyte);
    CHECK(memory.mayResume());
}

TEST_CASE("caller memory: the connection that holds most and made no progress for longest is shed first")
{
    const std::vector<caller_account> accounts { reading(2 * megabyte, milliseconds(600)),
        reading(6 * megabyte, milliseconds(600)), reading(3 * megabyte, seconds(5)), reading(4 * megabyte) };
    const auto memory = holding(accounts);
    CHECK(memory.chooseShed(accounts, true, start)
        == caller_memory::shed_decision { 2, caller_memory_action::Refuse });
}

TEST_CASE("caller memory: connections that make progress are shed only once the reserve is used up")
{
    std::vector<caller_account> accounts { reading(6 * megabyte), reading(7 * megabyte) };
    CHECK_FALSE(holding(accounts).chooseShed(accounts, true, start));
    accounts.push_back(reading(4 * megabyte));
    CHECK(holding(accounts).chooseShed(accounts, true, start)
        == caller_memory::shed_decision { 1, caller_memory_action::Refuse });
}

TEST_CASE("caller memory: a request that may have run is never shed, even if it holds the whole budget")
{
    const std::vector<caller_account> accounts { { 20 * megabyte, caller_stage::Running, start - seconds(9) },
        reading(1000) };
    const auto memory = holding(accounts);
    // The small request is refused instead, as nothing else can be released.
    CHECK(memory.chooseShed(accounts, false, start)
        == caller_memory::shed_decision { 1, caller_memory_action::Refuse });
    CHECK_FALSE(memory.chooseShed(std::span(accounts).first(1), false, start));
}

TEST_CASE("caller memory: unread answers are closed once their caller stopped reading, not before")
{
    std::vector<caller_account> accounts { { 20 * megabyte, caller_stage::Unread, start } };
    CHECK_FALSE(holding(accounts).chooseShed(accounts, false, start));
    accounts[0].progressAt = start - seconds(1);
    CHECK(holding(accounts).chooseShed(accounts, false, start)
        == caller_memory::shed_decision { 0, caller_memory_action::Close });
}

TEST_CASE("caller memory: paused connections can resume after enough stalled ones were shed")
{
    std::vector<caller_account> accounts(14, reading(megabyte, seconds(1)));
    auto memory = holding(accounts);
    while (const auto shed = memory.chooseShed(accounts, true, start)) {
        memory.replace(accounts[shed->position], {});
        accounts[shed->position] = {};
    }
    CHECK(memory.mayResume());
    CHECK(memory.heldBytes() == 9 * megabyte);
}
