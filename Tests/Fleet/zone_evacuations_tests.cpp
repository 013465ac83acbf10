#include "Fleet/store_position.h"
#include "Fleet/zone_evacuations.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr milliseconds returnGrace { 2300 };
const std::uint64_t nextEra = makeStorePosition(1, 20);
using zones = std::set<std::string>;

} // namespace

TEST_CASE(
    "zone evacuations: two zones are evacuated and taken back, by records and by a listing without them")
{
    zone_evacuations tested(returnGrace);
    tested.onListing({ { "a", 3, true } }, 4, start);
    CHECK(tested.current() == evacuated_zones { { "a" }, 4 });
    tested.onRecords({ { "b", 5, true } }, 6, start);
    CHECK(tested.current() == evacuated_zones { { "a", "b" }, 6 });
    tested.onListing({ { "b", 5, true } }, 9, start);
    CHECK(tested.current() == evacuated_zones { { "b" }, 9 });
    tested.onRecords({ { "b", 9, false }, { "b", 10, true }, { "b", 11, false } }, 12, start);
    CHECK(tested.current() == evacuated_zones { {}, 12 });
    // Some records could not be read: no position up to which all are known.
    tested.onRecords({ { "a", 13, true } }, 0, start);
    CHECK(tested.current() == evacuated_zones { { "a" }, 12 });
}

TEST_CASE("zone evacuations: records that the pages of a listing had already are not applied again")
{
    zone_evacuations tested(returnGrace);
    tested.onListing({ { "a", 7, true } }, 5, start);
    tested.onRecords({ { "a", 6, false } }, 7, start);
    CHECK(tested.current().zones == zones { "a" });
    tested.onRecords({ { "a", 7, true }, { "a", 8, false } }, 9, start);
    CHECK(tested.current().zones.empty());
}

TEST_CASE("zone evacuations: of the set that was read and the one that was told, the higher position wins")
{
    zone_evacuations tested(returnGrace);
    tested.onTold({ { "a" }, 10 }, start);
    tested.onTold({ { "b" }, 9 }, start);
    tested.onListing({ { "b", 3, true } }, 5, start);
    CHECK(tested.current() == evacuated_zones { { "a" }, 10 });
    tested.onRecords({ { "a", 9, true }, { "b", 10, false } }, 11, start);
    CHECK(tested.current() == evacuated_zones { { "a" }, 11 });
    tested.onTold({ { "b" }, 12 }, start);
    CHECK(tested.current() == evacuated_zones { { "b" }, 12 });
}

TEST_CASE("zone evacuations: when the store returned from an older copy, known evacuations are kept until a "
          "read that was sent after the grace period")
{
    zone_evacuations tested(returnGrace);
    tested.onListing({ { "a", 30, true }, { "b", 31, true } }, 40, start);
    tested.onListing({}, nextEra, start);
    // What this gateway told and is told back does not lengthen the period.
    tested.onTold(tested.current(), start + seconds(1));
    tested.onConfirmed(start + returnGrace - milliseconds(1));
    CHECK(tested.current() == evacuated_zones { { "a", "b" }, nextEra });
    SUBCASE("one that is written again stays, the other one ends")
    {
        tested.onRecords({ { "b", nextEra, true } }, nextEra + 1, start + seconds(1));
        tested.onConfirmed(start + returnGrace);
        CHECK(tested.current() == evacuated_zones { { "b" }, nextEra + 1 });
    }
    SUBCASE("one that is ended by a record ends at once")
    {
        tested.onRecords({ { "b", nextEra, false } }, nextEra + 1, start + seconds(1));
        CHECK(tested.current().zones == zones { "a" });
    }
    SUBCASE("a further return begins the period anew")
    {
        tested.onListing({}, makeStorePosition(2, 10), start + seconds(1));
        tested.onConfirmed(start + returnGrace);
        CHECK(tested.current().zones == zones { "a", "b" });
        tested.onConfirmed(start + seconds(1) + returnGrace);
        CHECK(tested.current().zones.empty());
    }
}

TEST_CASE("zone evacuations: a gateway that learns of the return from the coordinator keeps what it knew")
{
    zone_evacuations tested(returnGrace);
    tested.onTold({ { "a" }, 40 }, start);
    tested.onTold({ { "b" }, nextEra }, start);
    CHECK(tested.current().zones == zones { "a", "b" });
    SUBCASE("until it is told anew")
    {
        tested.onTold({ { "b" }, nextEra }, start + returnGrace);
        CHECK(tested.current() == evacuated_zones { { "b" }, nextEra });
    }
    SUBCASE("also when it reads the table itself, for the period")
    {
        tested.onListing({}, nextEra, start + seconds(2));
        CHECK(tested.current().zones == zones { "a", "b" });
        tested.onConfirmed(start + seconds(2) + returnGrace);
        CHECK(tested.current().zones.empty());
    }
}
