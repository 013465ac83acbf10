#include "Quarantine/prompt_quarantine.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using testing::at;

namespace {

constexpr std::uint64_t crashingPart = 0xdead;
constexpr std::uint64_t soundPart = 0xc0;

upstream_crash crashOf(int upstream, monotonic_time now)
{
    return { { "u" + std::to_string(upstream), 1 }, now, { soundPart, crashingPart } };
}

quarantine_update told(std::vector<std::uint64_t> watched, std::vector<quarantine_notice> quarantined)
{
    return { std::move(watched), std::move(quarantined) };
}

} // namespace

TEST_CASE("prompt quarantine: requests with a quarantined part wait for its end, others may be sent")
{
    prompt_quarantine tested;
    CHECK(tested.onTold(told({}, { { crashingPart, seconds(30) } }), at(0)).size() == 1);
    CHECK(tested.timeToEnd({ soundPart, crashingPart }, at(10000)) == milliseconds(20000));
    CHECK_FALSE(tested.timeToEnd({ soundPart }, at(10000)));
    CHECK_FALSE(tested.timeToEnd({ crashingPart }, at(30000)));
    // The same again is nothing new.
    CHECK(tested.onTold(told({}, { { crashingPart, seconds(20) } }), at(10000)).empty());
    tested.onTold(told({}, {}), at(11000));
    CHECK_FALSE(tested.timeToEnd({ crashingPart }, at(11000)));
}

TEST_CASE("prompt quarantine: a crash is reported at once and once, and anew to the next coordinator")
{
    prompt_quarantine tested;
    tested.onCrash(crashOf(1, at(0)));
    CHECK(tested.hasUrgentReport());
    const auto report = tested.takeReport(at(100));
    REQUIRE(report.crashes.size() == 1);
    CHECK(report.crashes.front()
        == reported_crash { { "u1", 1 }, milliseconds(100), { soundPart, crashingPart } });
    CHECK_FALSE(tested.hasUrgentReport());
    CHECK(tested.takeReport(at(200)).isEmpty());
    tested.onReportsLost();
    CHECK(tested.takeReport(at(300)).crashes.size() == 1);
}

TEST_CASE("prompt quarantine: answers for watched parts are counted, the first one is reported at once")
{
    prompt_quarantine tested;
    tested.onAnswerUnderWay({ soundPart }, at(5));
    tested.onTold(told({ soundPart, crashingPart }, {}), at(0));
    CHECK_FALSE(tested.hasUrgentReport());
    tested.onAnswerUnderWay({ soundPart }, at(5));
    CHECK(tested.hasUrgentReport());
    const auto first = tested.takeReport(at(10));
    CHECK(first.answers == std::vector<part_answers> { { soundPart, 1, milliseconds(10) } });
    CHECK(first.allAnswers == 1);
    tested.onAnswerUnderWay({ soundPart }, at(5));
    tested.onAnswerUnderWay({ soundPart }, at(5));
    CHECK_FALSE(tested.hasUrgentReport());
    CHECK(tested.takeReport(at(10)).answers
        == std::vector<part_answers> { { soundPart, 2, milliseconds(10) } });
    tested.onReportsLost();
    CHECK(tested.takeReport(at(20)).answers
        == std::vector<part_answers> {
            { soundPart, 3, milliseconds(20) }, { crashingPart, 0, milliseconds(20) } });
}

TEST_CASE(
    "prompt quarantine: a gateway that nobody coordinates decides on its own evidence and tells it later")
{
    prompt_quarantine tested;
    std::vector<quarantine_decision> decided;
    for (int step = 0; step < 40 && decided.empty(); ++step) {
        const monotonic_time now = at(step * 100);
        if (step % 5 == 0)
            tested.onCrash(crashOf(step, now));
        tested.onAnswerUnderWay({ soundPart }, now);
        decided = tested.update(false, now);
    }
    REQUIRE(decided.size() == 1);
    CHECK(decided.front().part.part == crashingPart);
    CHECK(tested.timeToEnd({ crashingPart }, at(5000)));
    CHECK_FALSE(tested.timeToEnd({ soundPart }, at(5000)));
    // A new coordinator that does not know yet takes nothing back.
    tested.onTold(told({}, {}), at(5000));
    CHECK(tested.timeToEnd({ crashingPart }, at(5000)));
    CHECK(tested.takeReport(at(5000)).quarantined.size() == 1);
}

TEST_CASE("prompt quarantine: where somebody coordinates, the gateway decides nothing")
{
    prompt_quarantine tested;
    for (int crash = 0; crash < 8; ++crash)
        tested.onCrash(crashOf(crash, at(crash * 500)));
    for (int step = 0; step < 100; ++step)
        CHECK(tested.update(true, at(4000 + step * 100)).empty());
    CHECK_FALSE(tested.timeToEnd({ crashingPart }, at(14000)));
}

TEST_CASE("prompt quarantine: what was told is told to the next coordinator")
{
    prompt_quarantine tested;
    tested.onTold(told({}, { { crashingPart, seconds(30) } }), at(0));
    CHECK(tested.takeReport(at(0)).isEmpty());
    tested.onReportsLost();
    CHECK(tested.takeReport(at(10000)).quarantined
        == std::vector<quarantine_notice> { { crashingPart, milliseconds(20000) } });
}

TEST_CASE("prompt quarantine: memory is bounded, whatever is told and however many crashes there are")
{
    prompt_quarantine tested;
    quarantine_update update;
    for (std::uint64_t part = 0; part < 100000; ++part) {
        update.watched.push_back(part);
        update.quarantined.push_back({ part, seconds(30) });
    }
    CHECK(tested.onTold(update, at(0)).size() <= 2048);
    for (int crash = 0; crash < 1000; ++crash)
        tested.onCrash(crashOf(crash, at(crash)));
    CHECK(tested.takeReport(at(1000)).crashes.size() <= 64);
}
