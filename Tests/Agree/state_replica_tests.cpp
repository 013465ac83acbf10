#include "Agree/fake_log_server.h"
#include "Agree/state_replica.h"
#include "Record/log_record.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// Returns three changes, with a snapshot of the first two after these.
std::vector<std::string> makeRecords()
{
    std::vector<std::string> texts { makeChangeText("a", 0, { "gold" }), makeChangeText("b", 1, { "tin" }) };
    state_replica replica;
    replica.foldRecords(0, texts);
    texts.push_back(formatRecord({ "s", 2, snapshot_record { replica.state() } }));
    texts.push_back(makeChangeText("c", 2, { "iron" }));
    return texts;
}

} // namespace

TEST_CASE("state replica: records that it already has, or that follow a gap, change nothing")
{
    const std::vector<std::string> texts = makeRecords();
    state_replica replica;
    CHECK(replica.foldRecords(0, texts));
    const fleet_state_ptr state = replica.state();
    CHECK_FALSE(replica.foldRecords(0, { texts[0] }));
    CHECK_FALSE(replica.foldRecords(9, { texts[0] }));
    CHECK(replica.state() == state);
    CHECK(replica.snapshotOffset() == 2);
}

TEST_CASE("state replica: an older snapshot never replaces a newer state")
{
    const std::vector<std::string> texts = makeRecords();
    state_replica older;
    older.foldRecords(0, { texts[0] });
    state_replica replica;
    replica.foldRecords(0, texts);
    CHECK_FALSE(replica.adoptSnapshot(older.state()));
    CHECK(replica.state()->nextOffset == 4);
}

TEST_CASE("state replica: continues from a snapshot where records have lapsed")
{
    const std::vector<std::string> texts = makeRecords();
    state_replica whole;
    whole.foldRecords(0, texts);

    state_replica late;
    late.startSnapshotSearch(2);
    CHECK(late.isSearchingSnapshot());
    CHECK(late.nextOffsetToRead() == 2);
    CHECK(late.foldRecords(2, { texts[2], texts[3] }));
    CHECK_FALSE(late.isSearchingSnapshot());
    CHECK(*late.state() == *whole.state());
}

TEST_CASE("state replica: a snapshot is not used where records that follow its state have lapsed")
{
    const std::vector<std::string> texts = makeRecords();
    state_replica late;
    late.startSnapshotSearch(3);
    CHECK_FALSE(late.foldRecords(3, { texts[3], texts[2] }));
    CHECK(late.isSearchingSnapshot());
}

TEST_CASE("state replica: returns the records that it keeps")
{
    const std::vector<std::string> texts = makeRecords();
    state_replica replica;
    replica.foldRecords(0, texts);
    CHECK(replica.hasRecordsFrom(0));
    CHECK(replica.recordsFrom(2, 1 << 20) == std::vector<std::string> { texts[2], texts[3] });
    CHECK(replica.recordsFrom(0, texts[0].size()).size() == 1);
}
