#include "Wire/fleet_messages.h"

#include <doctest/doctest.h>
#include <random>
#include <stdexcept>

using namespace sagesaddle;

namespace {

fleet_report sampleReport()
{
    fleet_report report;
    report.gateway = "front-1";
    report.number = 7;
    report.isStoreUnreachable = true;
    report.credit = { { "atelier", 120, 40, 15 } };
    report.isOnlyCredit = true;
    report.work = { { "u1", 3, 1500, 4000 } };
    report.demand = { { "desk", "m1", "a2", 5, 2, 700 } };
    report.sendCredit = { { { "u1", 1.6 }, milliseconds(250), true, 1, 2, 0, 12, milliseconds(900) },
        { { "u2", std::nullopt }, milliseconds(0), true, 0, 0, 3 } };
    report.quarantine = { { { { "u1", 1234567890123 }, milliseconds(40), { 1, 0xffffffffffffffff } } },
        { { 5, 2, milliseconds(900) }, { 6, 0, milliseconds(1) } }, 17, { { 9, milliseconds(299000) } } };
    report.times = { { "u1", { 250, 120.5 }, { true, { 5, 2, 1 } } }, { "u2", { 1, 2 }, {} } };
    return report;
}

quarantine_update sampleQuarantine()
{
    return { { 1, 2, 0xdead }, { { 9, milliseconds(300000) } } };
}

list_update sampleList()
{
    return {
        { { "u1", 9, false, "desk", "10.0.0.2:80", "z", 8, false, 5, 6, { "m1" }, 7, milliseconds(2900) } }
    };
}

fleet_update sampleUpdate()
{
    fleet_update update;
    update.number = 7;
    update.leaseEnd = 12;
    update.leaseHolder = "10.0.0.1:7600#1";
    update.gatewayCount = 4;
    update.credit = { { "atelier", 100, 250 } };
    update.work = { { 7, 1, 2, 3 } };
    update.upstreamLimits = { { "u1", 0.0 }, { "u2", std::nullopt } };
    update.sendCredit = { { "u1", 1, 700 } };
    update.loadedModels = { { "u1", { { "m1", "m1/a2" }, {}, false } }, { "u2", {} },
        { "u3", { { "m1/a3" }, { "m1/a1", "m1/a2" }, true } } };
    update.quarantine = sampleQuarantine();
    update.timeFactors = { { 7, 1.5F }, { 9, 0.25F } };
    update.evacuations = evacuated_zones { { "z1", "z2" }, 0xdeadbeefcafe };
    update.listed = sampleList().listed;
    update.startLimits = { { 7, 16 }, { 9, 0 } };
    return update;
}

} // namespace

TEST_CASE("fleet messages: two frames in a row are decoded to the messages that were encoded")
{
    const auto list = decodeFleetMessage(encodeFleetMessage(sampleList()));
    CHECK(std::get<list_update>(list.message.value()) == sampleList());
    const std::string bytes = encodeFleetMessage(sampleReport()) + encodeFleetMessage(sampleUpdate());
    const auto first = decodeFleetMessage(bytes);
    REQUIRE(first.message.has_value());
    CHECK(std::get<fleet_report>(*first.message) == sampleReport());
    const auto second = decodeFleetMessage(std::string_view(bytes).substr(first.size));
    REQUIRE(second.message.has_value());
    CHECK(std::get<fleet_update>(*second.message) == sampleUpdate());
    CHECK(first.size + second.size == bytes.size());
}

TEST_CASE("fleet messages: quarantines are told by themselves, also that there are none")
{
    for (const auto& told : { sampleQuarantine(), quarantine_update {} }) {
        const auto frame = decodeFleetMessage(encodeFleetMessage(told));
        REQUIRE(frame.message.has_value());
        CHECK(std::get<quarantine_update>(*frame.message) == told);
    }
    fleet_update update = sampleUpdate();
    update.quarantine.reset();
    const auto frame = decodeFleetMessage(encodeFleetMessage(update));
    REQUIRE(frame.message.has_value());
    CHECK(std::get<fleet_update>(*frame.message) == update);
}

TEST_CASE("fleet messages: strings that many upstreams have in common are encoded once")
{
    fleet_update update;
    for (int index = 0; index < 1000; ++index) {
        listed_upstream item;
        item.upstream = "i-" + std::to_string(index);
        item.service = "a-service-with-a-long-name";
        item.zone = "a-zone-with-a-long-name";
        item.address = "10.0.0.1:8308";
        for (int name = 0; name < 9; ++name)
            item.loadedModels.push_back("a-model-with-a-long-name/a" + std::to_string(name));
        update.listed.push_back(item);
    }
    const std::string bytes = encodeFleetMessage(update);
    // For each upstream: nine references to model names, and the other fields and the table itself.
    CHECK(bytes.size() < 1000 * (9 * 4 + 130));
    CHECK(std::get<fleet_update>(*decodeFleetMessage(bytes).message) == update);
}

TEST_CASE("fleet messages: an incomplete frame is not decoded")
{
    const std::string bytes = encodeFleetMessage(sampleUpdate());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(decodeFleetMessage(std::string_view(bytes).substr(0, size)).size == 0);
}

TEST_CASE("fleet messages: corrupt frames are rejected or decoded, and never read beyond their end")
{
    std::minstd_rand random(1);
    const std::string valid = encodeFleetMessage(sampleUpdate());
    int rejected = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string bytes = valid;
        for (int change = 0; change < 3; ++change)
            bytes[4 + random() % (bytes.size() - 4)] = static_cast<char>(random());
        try {
            decodeFleetMessage(bytes);
        } catch (const std::runtime_error&) {
            ++rejected;
        }
    }
    CHECK(rejected > 0);
    CHECK_THROWS_AS(decodeFleetMessage(std::string("\xff\xff\xff\x7f rest")), std::runtime_error);
}
