#include "store_calls.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace sagesaddle;

namespace {

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int index = bytes - 1; index >= 0; --index)
        text += static_cast<char>((value >> (8 * index)) & 0xffU);
    return text;
}

std::string recordBytes(const std::string& key, const std::string& value)
{
    const std::string body = bigEndian(key.size(), 1) + key + value;
    return bigEndian(body.size(), 4) + body;
}

const address store { "10.0.0.9", 8225 };

} // namespace

TEST_CASE("store calls: records are parsed with their offsets, and one without a value removes its key")
{
    const auto tail = platform::parseTableTail(
        bigEndian(12, 8) + bigEndian(3, 8) + recordBytes("a", "one") + recordBytes("b", ""), 10);
    CHECK(tail.end == 12);
    REQUIRE(tail.records.size() == 2);
    CHECK(tail.records.at(0) == platform::table_record { "a", 10, "one" });
    CHECK(tail.records.at(1) == platform::table_record { "b", 11, std::nullopt });
}

TEST_CASE("store calls: truncated records are rejected")
{
    const std::string complete = bigEndian(12, 8) + bigEndian(3, 8) + recordBytes("a", "one");
    for (std::size_t size = 0; size < complete.size(); ++size) {
        // After 16 bytes, the header is complete and there are no records.
        if (size != 16)
            CHECK_THROWS_AS(platform::parseTableTail(complete.substr(0, size), 10), std::invalid_argument);
    }
    CHECK_THROWS_AS(platform::parseTableTail(bigEndian(1, 8) + bigEndian(0, 8) + bigEndian(0, 4), 0),
        std::invalid_argument);
}

TEST_CASE("store calls: the newest records are parsed with their values decoded")
{
    const auto page = platform::parseNewestRecords(
        R"({"items":[{"key":"config","value":"eyJ2ZXJzaW9uIjo3fQ==","offset":4},{"key":"gone","value":"","offset":5}],"more-pages":true,"end":6})");
    CHECK(page.end == 6);
    CHECK(page.hasMore);
    REQUIRE(page.records.size() == 2);
    CHECK(page.records.at(0).value == R"({"version":7})");
    CHECK_FALSE(page.records.at(1).value.has_value());
    CHECK(platform::parseNewestRecords(R"({"items":[],"end":0})").records.empty());
    CHECK_THROWS_AS(platform::parseNewestRecords("{}"), std::invalid_argument);
}

TEST_CASE("store calls: a key is percent-encoded in the request")
{
    const std::string call = platform::formatNewestCall(store, platform::store_table::Upstreams, "a b&c\r\n");
    CHECK(call.starts_with(
        "GET /sagesaddle/log-newest?topic=keyed.servers&part=0&after=a%20b%26c%0D%0A HTTP/1.1\r\n"));
}

TEST_CASE("store calls: a lease record is appended at a given offset and parsed again")
{
    const std::string call = platform::formatLeaseAppendCall(store, "10.0.0.1:7600#5", 4, 17);
    CHECK(call.starts_with("POST /sagesaddle/log-append?topic=keyed.lease&part=0&at=17 HTTP/1.1\r\n"));
    CHECK(call.ends_with(recordBytes("duty", "10.0.0.1:7600#5|4")));
    // The values are "10.0.0.1:7600#5|4" and, for a released lease, "-|0" in base64.
    const auto lease = platform::parseLeaseRecord(
        R"({"items":[{"key":"duty","value":"MTAuMC4wLjE6NzYwMCM1fDQ=","offset":17}],"more-pages":false,"end":18})");
    CHECK(lease == coordinator_lease_record { "10.0.0.1:7600#5", 4, 18 });
    const auto released = platform::parseLeaseRecord(
        R"({"items":[{"key":"duty","value":"LXw0","offset":18}],"more-pages":false,"end":19})");
    CHECK(released == coordinator_lease_record { "", 4, 19 });
    CHECK(platform::parseAppendedEnd(R"({"offset":17,"end":18})") == 18);
}

TEST_CASE("store calls: a read names how long it waits, unless it does not wait")
{
    CHECK(platform::formatTailCall(store, platform::store_table::Operator, 3, milliseconds(1000))
              .find("from=3&wait-ms=1000 ")
        != std::string::npos);
    CHECK(platform::formatTailCall(store, platform::store_table::Operator, 3, milliseconds(0)).find("wait-ms")
        == std::string::npos);
}
