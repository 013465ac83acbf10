#include "Plan/planner_lease.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

fleet_state stateWith(std::optional<lease_grant> grant)
{
    fleet_state state;
    for (const char* name : { "a", "b", "c" })
        state.entries[name].name = name;
    if (grant) {
        state.leases[plannerDuty] = *grant;
        state.nextOffset = grant->fence + 1;
    }
    return state;
}

planner_lease leaseOf(const std::string& self)
{
    return planner_lease({ .self = self });
}

} // namespace

TEST_CASE("planner lease: the entries try to acquire a lease without a holder one after the other, the first "
          "at once")
{
    planner_lease first = leaseOf("a");
    planner_lease second = leaseOf("b");
    CHECK_FALSE(first.nextRecord(start));
    for (planner_lease* lease : { &first, &second })
        lease->onState(stateWith(std::nullopt), start);
    CHECK((first.nextRecord(start) == lease_record { plannerDuty, "a", 0 }));
    CHECK_FALSE(second.nextRecord(start + milliseconds(999)));
    CHECK(second.nextRecord(start + milliseconds(1000)));
}

TEST_CASE("planner lease: the lease is held when a state shows it granted, and its time counts from before "
          "the append")
{
    planner_lease lease = leaseOf("a");
    lease.onState(stateWith(std::nullopt), start);
    REQUIRE(lease.nextRecord(start));
    lease.onAppended(start, 7);
    CHECK_FALSE(lease.fence(start));
    lease.onState(stateWith(lease_grant { "a", 7 }), start + seconds(3));
    CHECK(lease.fence(start + milliseconds(8999)) == 7);
    CHECK_FALSE(lease.fence(start + milliseconds(9000)));
    CHECK_FALSE(lease.nextRecord(start + milliseconds(4999)));
    CHECK((lease.nextRecord(start + milliseconds(5000)) == lease_record { plannerDuty, "a", 7 }));
    lease.onAppended(start + seconds(5), 9);
    CHECK_FALSE(lease.fence(start + seconds(5)));
    lease.onState(stateWith(lease_grant { "b", 8 }), start + seconds(6));
    CHECK_FALSE(lease.fence(start + seconds(6)));
}

TEST_CASE(
    "planner lease: an expired lease is acquired after its time to live, and its holder is skipped in the "
    "order of entries")
{
    planner_lease lease = leaseOf("b");
    lease.onState(stateWith(lease_grant { "a", 7 }), start);
    lease.onState(stateWith(lease_grant { "a", 9 }), start + seconds(5));
    CHECK_FALSE(lease.nextRecord(start + milliseconds(14999)));
    CHECK((lease.nextRecord(start + seconds(15)) == lease_record { plannerDuty, "b", 9 }));
    CHECK_FALSE(lease.nextRecord(start + milliseconds(16999)));
    CHECK(lease.nextRecord(start + seconds(17)));
}

TEST_CASE("planner lease: an entry that the records do not list never tries to acquire the lease")
{
    planner_lease lease = leaseOf("z");
    lease.onState(stateWith(std::nullopt), start);
    CHECK_FALSE(lease.nextRecord(start + seconds(100)));
}
