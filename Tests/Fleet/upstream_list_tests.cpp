#include "Fleet/store_position.h"
#include "Fleet/upstream_list.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr milliseconds recoveryGrace { 2300 };

upstream_record listed(const std::string& id, std::uint64_t offset, bool isDraining = false)
{
    upstream_entry entry;
    entry.id = id;
    entry.service = "desk";
    entry.isDraining = isDraining;
    return { id, offset, entry };
}

upstream_record removed(const std::string& id, std::uint64_t offset)
{
    return { id, offset, std::nullopt };
}

} // namespace

TEST_CASE("upstream list: a removal takes effect at once if the store was never unavailable")
{
    upstream_list list(recoveryGrace);
    list.onRecord(listed("a", 1), start);
    list.onRecord(removed("a", 2), start);
    CHECK(list.entries().empty());
}

TEST_CASE("upstream list: an older record does not undo that an upstream is draining")
{
    upstream_list list(recoveryGrace);
    list.onRecord(listed("a", 5, true), start);
    list.onRecord(listed("a", 4, false), start);
    CHECK(list.entries().at("a").isDraining);
}

TEST_CASE("upstream list: an older copy of the store does not undo that a process is draining, and keeps "
          "running upstreams")
{
    upstream_list list(recoveryGrace);
    list.onRecord(listed("a", makeStorePosition(1, 70), true), start);
    list.onRecord(listed("b", makeStorePosition(1, 71)), start);
    list.onStoreRecovered(start);
    // The copy lists neither the draining of one process nor the other one, which registers again later.
    list.onListing({ listed("a", makeStorePosition(2, 3)) }, makeStorePosition(2, 4), start);
    CHECK(list.entries().at("a").isDraining);
    CHECK(list.entries().contains("b"));
    list.onRecord(listed("b", makeStorePosition(2, 4)), start + seconds(1));
    list.applyDueRemovals(start + recoveryGrace);
    CHECK(list.entries().contains("b"));
}

TEST_CASE("upstream list: entries that expired while the store was unavailable may come back")
{
    upstream_list list(recoveryGrace);
    list.onRecord(listed("a", 1), start);
    list.onRecord(listed("b", 2), start);
    list.onStoreRecovered(start);
    list.onRecord(removed("a", 3), start + milliseconds(10));
    list.onRecord(removed("b", 4), start + milliseconds(10));
    CHECK(list.entries().size() == 2);
    list.onRecord(listed("a", 5), start + seconds(1));
    CHECK_FALSE(list.applyDueRemovals(start + seconds(2)));
    CHECK(list.applyDueRemovals(start + recoveryGrace));
    CHECK(list.entries().contains("a"));
    CHECK_FALSE(list.entries().contains("b"));
}

TEST_CASE("upstream list: a listing removes what it lacks, unless that was added after it began")
{
    upstream_list list(recoveryGrace);
    list.onRecord(listed("a", 1), start);
    list.onRecord(listed("late", 9), start);
    list.onListing({ listed("b", 3) }, 8, start);
    CHECK_FALSE(list.entries().contains("a"));
    CHECK(list.entries().contains("b"));
    CHECK(list.entries().contains("late"));
}

TEST_CASE("upstream list: the revision grows only with changes")
{
    upstream_list list(recoveryGrace);
    list.onRecord(listed("a", 1), start);
    const auto before = list.revision();
    list.onRecord(listed("a", 2), start);
    CHECK(list.revision() == before);
    list.onRecord(listed("a", 3, true), start);
    CHECK(list.revision() > before);
}

TEST_CASE("upstream list: the cold time counts from the reading of the entry, once for each record")
{
    upstream_list list(recoveryGrace);
    upstream_record cold = listed("a", 1);
    cold.entry->coldRemaining = seconds(3);
    list.onRecord(cold, start);
    CHECK(list.entries().at("a").coldUntil == start + seconds(3));
    // The same record, read again or told by the coordinator, does not prolong it.
    list.onRecord(cold, start + seconds(1));
    CHECK(list.entries().at("a").coldUntil == start + seconds(3));
    list.onRecord(listed("a", 2), start + seconds(2));
    CHECK(list.entries().at("a").coldUntil == monotonic_time {});
}
