#include "Agree/snapshot_schedule.h"
#include "Record/objects.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace sagesaddle;

namespace {

using testing::at;

const std::map<std::string, entry_config> members { { "a", {} }, { "b", {} }, { "c", {} } };

// Returns when an entry's turn comes, in milliseconds, where a snapshot is due at once; -1 where it never
// comes.
std::int64_t turnOf(const std::string& self, std::uint64_t snapshotOffset)
{
    snapshot_schedule schedule(self);
    for (std::int64_t ms = 0; ms < 60000; ms += 100)
        if (schedule.isDue(at(ms), snapshotOffset, snapshotOffset + 500, 0, members))
            return ms;
    return -1;
}

} // namespace

TEST_CASE("snapshot schedule: due after 500 records, an hour, or when records after the last one lapsed")
{
    snapshot_schedule schedule("alone");
    CHECK_FALSE(schedule.isDue(at(0), 0, 499, 0, {}));
    CHECK(schedule.isDue(at(0), 0, 500, 0, {}));
    snapshot_schedule slow("alone");
    CHECK_FALSE(slow.isDue(at(0), 10, 12, 0, {}));
    CHECK(slow.isDue(at(3600000), 10, 12, 0, {}));
    snapshot_schedule lapsed("alone");
    CHECK(lapsed.isDue(at(0), 10, 12, 11, {}));
}

TEST_CASE("snapshot schedule: a snapshot without records after it makes no other one due")
{
    snapshot_schedule schedule("alone");
    CHECK_FALSE(schedule.isDue(at(0), 10, 11, 0, {}));
    CHECK_FALSE(schedule.isDue(at(7200000), 10, 11, 0, {}));
}

TEST_CASE("snapshot schedule: the entries take turns in an order that changes")
{
    std::vector<std::int64_t> turns { turnOf("a", 7), turnOf("b", 7), turnOf("c", 7) };
    std::sort(turns.begin(), turns.end());
    CHECK(turns == std::vector<std::int64_t> { 0, 2000, 4000 });
    int firsts = 0;
    for (std::uint64_t offset = 0; offset < 30; ++offset)
        firsts += turnOf("a", offset) == 0 ? 1 : 0;
    CHECK(firsts > 0);
    CHECK(firsts < 30);
}
