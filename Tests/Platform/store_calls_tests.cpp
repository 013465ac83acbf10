#include "evacuation_reader.h"
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
    const auto tail = platform::parseTableTail(bigEndian(1, 8) + bigEndian(0, 8) + bigEndian(0, 4), 0);
    CHECK(tail.unreadable.size() == 1);
    CHECK(tail.records == std::vector<platform::table_record> { {} });
}

TEST_CASE("store calls: the newest records are parsed with their values decoded")
{
    const auto page = platform::parseNewestRecords(
        R"({"items":[{"key":"config","value":"eyJ2ZXJzaW9uIjo3fQ==","offset":4},{"key":"gone","value":"","offset":5}],"more-pages":true,"end":6})",
        0);
    CHECK(page.end == 6);
    CHECK(page.hasMore);
    REQUIRE(page.records.size() == 2);
    CHECK(page.records.at(0).value == R"({"version":7})");
    CHECK_FALSE(page.records.at(1).value.has_value());
    CHECK(platform::parseNewestRecords(R"({"items":[],"end":0})", 0).records.empty());
    CHECK_THROWS_AS(platform::parseNewestRecords("{}", 0), std::invalid_argument);
}

TEST_CASE("store calls: a key is percent-encoded in the request")
{
    const std::string call = platform::formatNewestCall(store, platform::store_table::Upstreams, "a b&c\r\n");
    CHECK(call.starts_with(
        "GET /sagesaddle/log-newest?topic=keyed.servers&part=0&after=a%20b%26c%0D%0A HTTP/1.1\r\n"));
}

TEST_CASE("store calls: a lease record is appended at a given offset and parsed again")
{
    const std::string call = platform::formatLeaseAppendCall(store, "10.0.0.1:7600#5", 4, 17, false);
    CHECK(call.starts_with("POST /sagesaddle/log-append?topic=keyed.lease&part=0&at=17 HTTP/1.1\r\n"));
    CHECK(call.ends_with(recordBytes("duty", "10.0.0.1:7600#5|4")));
    // The values are "10.0.0.1:7600#5|4" and, for a released lease, "-|0" in base64.
    const auto lease = platform::parseLeaseRecord(
        R"({"items":[{"key":"duty","value":"MTAuMC4wLjE6NzYwMCM1fDQ=","offset":17}],"more-pages":false,"end":18})",
        0);
    CHECK(lease == coordinator_lease_record { "10.0.0.1:7600#5", 4, 18 });
    const auto released = platform::parseLeaseRecord(
        R"({"items":[{"key":"duty","value":"LXw0","offset":18}],"more-pages":false,"end":19})", 0);
    CHECK(released == coordinator_lease_record { "", 4, 19 });
    CHECK(platform::parseAppendedEnd(R"({"offset":17,"end":18})", 0) == 18);
    // "10.0.0.1:7600#5|4+"
    CHECK(platform::formatLeaseAppendCall(store, "10.0.0.1:7600#5", 4, 17, true)
              .ends_with(recordBytes("duty", "10.0.0.1:7600#5|4+")));
    const auto complete = platform::parseLeaseRecord(
        R"({"items":[{"key":"duty","value":"MTAuMC4wLjE6NzYwMCM1fDQr","offset":17}],"more-pages":false,"end":18})",
        0);
    CHECK(complete == coordinator_lease_record { "10.0.0.1:7600#5", 4, 18, true });
}

TEST_CASE("store calls: positions of a later era are greater, and calls name their offsets alone")
{
    const auto early = platform::parseNewestRecords(
        R"({"items":[{"key":"config","value":"eA==","offset":900}],"more-pages":false,"end":901})", 1);
    const auto late = platform::parseNewestRecords(
        R"({"items":[{"key":"config","value":"eA==","offset":4}],"more-pages":false,"end":5})", 2);
    CHECK(late.records.at(0).offset > early.end);
    CHECK(platform::parseAppendedEnd(R"({"offset":5,"end":6})", 2) > late.end);
    CHECK(platform::formatTailCall(store, platform::store_table::Operator, late.end, milliseconds(0))
              .find("from=5 ")
        != std::string::npos);
    CHECK(
        platform::formatLeaseAppendCall(store, "a", 1, late.end, false).find("&at=5 ") != std::string::npos);
    const std::string body("\0\0\0\0\0\0\0\x07\0\0\0\0\0\0\0\0", 16);
    CHECK(platform::parseTableTail(body, late.end).end == late.end + 2);
}

TEST_CASE("store calls: the era is a whole number, and what cannot be read is no era")
{
    const auto eraOf = [](const std::string& text) {
        return platform::parseStoreEra({ 200, { { "Store-Era", text } }, "" });
    };
    CHECK(eraOf("3") == 3);
    CHECK(eraOf("0") == 0);
    for (const char* text : { "", "-1", "1.5", "x", "99999999999999999999", "8192" }) {
        CAPTURE(text);
        CHECK_FALSE(eraOf(text).has_value());
    }
    CHECK_FALSE(platform::parseStoreEra({ 200, {}, "" }).has_value());
}

TEST_CASE("store calls: a read names how long it waits, unless it does not wait")
{
    CHECK(platform::formatTailCall(store, platform::store_table::Operator, 3, milliseconds(1000))
              .find("from=3&wait-ms=1000 ")
        != std::string::npos);
    CHECK(platform::formatTailCall(store, platform::store_table::Operator, 3, milliseconds(0)).find("wait-ms")
        == std::string::npos);
}

TEST_CASE("store calls: a record that cannot be read does not hide the others")
{
    const std::string broken = bigEndian(3, 4) + "\x09" + "ab";
    const auto tail = platform::parseTableTail(
        bigEndian(10, 8) + bigEndian(0, 8) + recordBytes("a", "1") + broken + recordBytes("b", "2"), 7);
    REQUIRE(tail.records.size() == 3);
    CHECK(tail.records.at(0).key == "a");
    CHECK_FALSE(tail.records.at(1).value);
    CHECK(tail.records.at(2).key == "b");
    CHECK(tail.records.at(2).offset == 9);
    CHECK(tail.unreadable.size() == 1);
    const auto page = platform::parseNewestRecords(
        R"({"items":[{"key":"","value":"MQ==","offset":1},{"key":"b","value":"Mg==","offset":2},
            {"key":"c","value":7,"offset":3},{"key":"d","value":"NA==","offset":1e300},7],"end":4})",
        0);
    REQUIRE(page.records.size() == 1);
    CHECK(page.records.front().key == "b");
    CHECK(page.unreadable.size() == 4);
}

TEST_CASE("store calls: a record of an evacuation counts whatever its value, and its removal ends it")
{
    using platform::parseEvacuation;
    CHECK(parseEvacuation({ "evacuate/z1", 7, "{}" }) == evacuation_record { "z1", 7, true });
    CHECK(parseEvacuation({ "evacuate/z1", 8, "\xff{" }) == evacuation_record { "z1", 8, true });
    CHECK(parseEvacuation({ "evacuate/z/1", 9, std::nullopt }) == evacuation_record { "z/1", 9, false });
    for (const char* key : { "evacuate/", "evacuate", "config", "" })
        CHECK_FALSE(parseEvacuation({ key, 7, "{}" }));
}
