#include "upstream_reader.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace sagesaddle;

namespace {

/// \return an entry with one more field, before the others so that it replaces none.
std::string entryWith(const std::string& field, const std::string& value)
{
    std::string text
        = R"({"service":"desk","address":"10.0.0.1:80","zone":"z","slots":8,"state":"ready","born":1,"sequence":2})";
    const std::string name = "\"" + field + "\":";
    const std::size_t at = text.find(name);
    if (at == std::string::npos)
        return text.insert(1, name + value + ",");
    const std::size_t begin = at + name.size();
    return text.replace(begin, text.find_first_of(",}", begin) - begin, value);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("upstream reader: entries with numbers out of range are rejected")
{
    CHECK(platform::parseUpstreamEntry("i-1", entryWith("slots", "8")).slots == 8);
    for (const char* field : { "slots", "sequence", "born" }) {
        for (const char* number :
            { "1e300", "1e400", "-1", "99999999999999999999", "18446744073709551615", "\"8\"", "[8]" }) {
            CAPTURE(field);
            CAPTURE(number);
            CHECK_THROWS_AS(
                platform::parseUpstreamEntry("i-1", entryWith(field, number)), std::invalid_argument);
        }
    }
    CHECK_THROWS_AS(platform::parseUpstreamEntry("i-1", entryWith("slots", "0")), std::invalid_argument);
}

TEST_CASE("upstream reader: entries with a port out of range or no address are rejected")
{
    for (const char* where : { "\"10.0.0.1:65536\"", "\"10.0.0.1:0\"", "\"10.0.0.1:-1\"",
             "\"10.0.0.1:99999999999999999999\"", "\"10.0.0.1\"", "\"host:80\"", "7", "null" }) {
        CAPTURE(where);
        CHECK_THROWS_AS(
            platform::parseUpstreamEntry("i-1", entryWith("address", where)), std::invalid_argument);
    }
}

TEST_CASE("upstream reader: entries that are nested very deeply are rejected or read, and exhaust no stack")
{
    constexpr std::size_t depth = 200000;
    CHECK_THROWS_AS(platform::parseUpstreamEntry("i-1", nested(depth)), std::invalid_argument);
    CHECK_THROWS_AS(
        platform::parseUpstreamEntry("i-1", entryWith("models", nested(depth))), std::invalid_argument);
    CHECK_NOTHROW(platform::parseUpstreamEntry("i-1", entryWith("extra", nested(depth))));
    CHECK_THROWS_AS(platform::parseUpstreamEntry("i-1", std::string(depth, '[')), std::invalid_argument);
}

TEST_CASE("upstream reader: an id that cannot stand in a header field is rejected")
{
    for (const std::string& id :
        { std::string("i\r\nX: 1"), std::string("\xff\xfe"), std::string("i 1"), std::string() }) {
        CAPTURE(id);
        CHECK_THROWS_AS(platform::parseUpstreamEntry(id, entryWith("slots", "8")), std::invalid_argument);
    }
}

TEST_CASE("upstream reader: reports with numbers out of range are rejected")
{
    for (const char* field : { "queued", "running", "sequence", "kv-used" }) {
        CAPTURE(field);
        CHECK_THROWS_AS(
            platform::parseLoadedModelsReport("{\"" + std::string(field) + "\":-1}"), std::invalid_argument);
    }
    for (const char* field : { "queued", "running", "sequence" }) {
        CAPTURE(field);
        CHECK_THROWS_AS(platform::parseLoadedModelsReport("{\"" + std::string(field) + "\":1e300}"),
            std::invalid_argument);
    }
}

TEST_CASE("upstream reader: the remaining cold time is read, and is 0 where it is absent")
{
    CHECK(platform::parseUpstreamEntry("i-1", entryWith("slots", "8")).coldRemaining == milliseconds(0));
    CHECK(platform::parseUpstreamEntry("i-1", entryWith("cold-remaining-ms", "2950")).coldRemaining
        == milliseconds(2950));
    CHECK_THROWS_AS(
        platform::parseUpstreamEntry("i-1", entryWith("cold-remaining-ms", "-3")), std::invalid_argument);
    // A nonsensical time must not limit an upstream for ever.
    CHECK(platform::parseUpstreamEntry("i-1", entryWith("cold-remaining-ms", "1e300")).coldRemaining
        == seconds(600));
}
