#include "Gateway/coordinator.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

upstream_list listOf(const std::vector<std::string>& ids, std::uint64_t offset)
{
    upstream_list list(seconds(2));
    for (const auto& id : ids) {
        upstream_entry entry;
        entry.id = id;
        entry.service = "desk";
        entry.where = { "10.0.0.1", 80 };
        list.onRecord({ id, offset++, entry }, start);
    }
    return list;
}

fleet_report reportOf(const std::string& gateway, bool wantsAll = false)
{
    fleet_report report;
    report.entry = gateway;
    report.wantsAll = wantsAll;
    return report;
}

} // namespace

TEST_CASE("coordinator: a gateway is told the whole list once and then what changed")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "a", "b" }, 1));
    auto news = tested.onReport(reportOf("g1", true), start);
    CHECK(news.isListWhole);
    CHECK(news.listed.size() == 2);
    news = tested.onReport(reportOf("g1"), start);
    CHECK(news.listed.empty());
    tested.onUpstreams(listOf({ "a", "c" }, 1));
    news = tested.onReport(reportOf("g1"), start);
    CHECK_FALSE(news.isListWhole);
    REQUIRE(news.listed.size() == 2);
    CHECK(news.listed.at(0).upstream == "b");
    CHECK(news.listed.at(0).isRemoved);
    CHECK(news.listed.at(1).upstream == "c");
    news = tested.onReport(reportOf("g1", true), start);
    CHECK(news.isListWhole);
    CHECK(news.listed.size() == 2);
}

TEST_CASE("coordinator: a removal is told with an offset behind the entry's last record")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "a" }, 7));
    tested.onReport(reportOf("g1", true), start);
    tested.onUpstreams(upstream_list(seconds(2)));
    const auto news = tested.onReport(reportOf("g1"), start);
    REQUIRE(news.listed.size() == 1);
    CHECK(news.listed.at(0).isRemoved);
    CHECK(news.listed.at(0).offset > 7);
}

TEST_CASE("coordinator: a gateway is told the work of the others, and when it ended")
{
    coordinator tested;
    tested.onReport(reportOf("g2", true), start);
    auto report = reportOf("g1", true);
    report.work = { { "a", 6, 3000, 9000 } };
    tested.onReport(report, start);
    auto own = reportOf("g2");
    own.work = { { "a", 2, 100, 200 } };
    auto news = tested.onReport(own, start);
    REQUIRE(news.work.size() == 1);
    CHECK(news.work.at(0) == upstream_work { "a", 6, 3000, 9000 });
    CHECK(tested.onReport(own, start).work.empty());
    report.work = {};
    tested.onReport(report, start);
    news = tested.onReport(own, start);
    REQUIRE(news.work.size() == 1);
    CHECK(news.work.at(0).inFlight == 0);
}

TEST_CASE("coordinator: the work of a gateway that fell silent is forgotten, and later the gateway itself")
{
    coordinator tested;
    auto report = reportOf("g1", true);
    report.work = { { "a", 6, 3000, 9000 } };
    tested.onReport(report, start);
    CHECK(tested.onReport(reportOf("g2", true), start + seconds(2)).work.empty());
    CHECK(tested.gateways(start + seconds(2)) == 2);
    tested.onReport(reportOf("g2"), start + seconds(11));
    CHECK(tested.gateways(start + seconds(11)) == 1);
}

TEST_CASE("coordinator: credit goes beyond the lease only while every gateway it heard finds the store away")
{
    coordinator tested;
    CHECK_FALSE(tested.isStoreAwayFromAll(start));
    auto first = reportOf("g1", true);
    auto second = reportOf("g2", true);
    first.isStoreAway = second.isStoreAway = true;
    tested.onReport(first, start);
    tested.onReport(second, start);
    CHECK(tested.isStoreAwayFromAll(start + milliseconds(100)));
    second.isStoreAway = false;
    tested.onReport(second, start + milliseconds(100));
    CHECK_FALSE(tested.isStoreAwayFromAll(start + milliseconds(100)));
    second.isStoreAway = true;
    tested.onReport(second, start + milliseconds(200));
    // A gateway that is not heard any more may have reached the store.
    tested.onReport(first, start + seconds(2));
    CHECK_FALSE(tested.isStoreAwayFromAll(start + seconds(2)));
}
