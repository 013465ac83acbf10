#include "Quarantine/crash_evidence.h"
#include "Quarantine/prompt_id.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;
using testing::at;

namespace {

constexpr std::uint64_t deadly = 0xdead;
constexpr std::uint64_t otherDeadly = 0xbad;
constexpr std::uint64_t common = 0xc0;
constexpr std::uint64_t rare = 0x7a;

/// Crashes of one upstream after the other.
class crash_history {
public:
    void crash(std::vector<std::uint64_t> parts, monotonic_time now)
    {
        std::sort(parts.begin(), parts.end());
        tested.onAllAnswers(otherAnswers * 3);
        tested.onCrash({ { "u" + std::to_string(++m_crashes), 1 }, now, std::move(parts) }, now);
        update(now);
    }

    void update(monotonic_time now)
    {
        for (const auto& decision : tested.update(now))
            decided.push_back(decision);
    }

    /// Lets time pass, in which answers come for requests with a part, and for others.
    void pass(monotonic_time from, monotonic_time to, std::uint64_t part = 0, unsigned answers = 0)
    {
        for (auto now = from; now < to; now += milliseconds(100)) {
            tested.onAllAnswers(answers + otherAnswers);
            if (answers > 0 && part != 0)
                tested.onAnswers({ part, answers, {} }, now);
            update(now);
        }
    }

    unsigned otherAnswers { 2 };
    crash_evidence tested { 3 };
    std::vector<quarantine_decision> decided;

private:
    int m_crashes { 0 };
};

} // namespace

TEST_CASE("crash evidence: a part that was pending at several crashes and never answered is quarantined")
{
    crash_history history;
    history.crash({ deadly }, at(0));
    history.crash({ deadly }, at(500));
    history.crash({ deadly }, at(1000));
    CHECK_FALSE(history.tested.isQuarantined(deadly));
    history.pass(at(1000), at(2500));
    CHECK(history.tested.isQuarantined(deadly));
    REQUIRE(history.decided.size() == 1);
    CHECK(history.decided.front().crashes == 3);
    CHECK(history.decided.front().answers == 0);
}

// Guards against one request that its caller repeats and that ends one engine after the other.
TEST_CASE("crash evidence: a prompt that comes again is quarantined as a whole after three crashes")
{
    const auto prompt = quarantineIdsOf({ common, rare, 0x0e });
    const std::uint64_t whole = prompt.back();
    crash_history history;
    for (int crash = 0; crash < 3; ++crash) {
        CHECK(history.decided.empty());
        // Other prompts are pending once each, and their shared part is answered.
        auto pending = prompt;
        for (std::uint64_t other = 0; other < 20; ++other)
            pending.push_back(
                quarantineIdsOf({ common, 0x100 + 100 * static_cast<std::uint64_t>(crash) + other }).back());
        history.crash(pending, at(500 * crash));
        history.pass(at(500 * crash + 100), at(500 * crash + 500), common, 1);
    }
    REQUIRE(history.decided.size() == 1);
    CHECK(history.decided.front().part.part == whole);
    CHECK(history.decided.front().crashes == 3);
    CHECK(history.tested.watched().size() < 10);
    // What it was pending at counts against no shared part.
    history.crash({ rare, whole }, at(2000));
    history.crash({ rare, whole }, at(2500));
    history.pass(at(2600), at(6000), common, 1);
    CHECK_FALSE(history.tested.isQuarantined(rare));
}

TEST_CASE("crash evidence: a prompt that is answered between two crashes, or comes twice, is not quarantined")
{
    const std::uint64_t answered = quarantineIdsOf({ common, 0x0e }).back();
    const std::uint64_t twice = quarantineIdsOf({ common, 0x0f }).back();
    crash_history history;
    history.crash({ answered, twice }, at(0));
    history.crash({ answered, twice }, at(1000));
    history.pass(at(1000), at(2000), answered, 1);
    history.crash({ answered }, at(3000));
    history.crash({ answered }, at(4000));
    history.pass(at(4000), at(8000), common, 1);
    CHECK(history.decided.empty());
}

TEST_CASE("prompt id: a prompt has the ids of its parts but the last, and one as a whole")
{
    const auto ids = quarantineIdsOf({ 0xa, 0xb, 0xc });
    REQUIRE(ids.size() == 3);
    CHECK(ids.at(0) == 0xa);
    CHECK(ids.at(1) == 0xb);
    CHECK(isWholePrompt(ids.at(2)));
    CHECK_FALSE(isWholePrompt(ids.at(0)));
    CHECK(quarantineIdsOf({ 0xa, 0xb, 0xc }) == ids);
    CHECK(quarantineIdsOf({ 0xa, 0xb, 0xd }).back() != ids.back());
    CHECK(quarantineIdsOf({ 0xb, 0xa, 0xc }).back() != ids.back());
    CHECK_FALSE(isWholePrompt(quarantineIdsOf({ ~std::uint64_t { 0 }, 0xb }).front()));
    CHECK(quarantineIdsOf({}).empty());
}

TEST_CASE("crash evidence: parts that are answered are not quarantined, though pending at each crash")
{
    crash_history history;
    for (int crash = 0; crash < 20; ++crash) {
        history.crash({ deadly, common }, at(crash * 500));
        history.pass(at(crash * 500), at(crash * 500 + 500), common, 1);
    }
    CHECK(history.tested.isQuarantined(deadly));
    CHECK_FALSE(history.tested.isQuarantined(common));
}

TEST_CASE("crash evidence: a rare part that was pending beside a deadly one is not quarantined with it")
{
    crash_history history;
    history.crash({ deadly, rare }, at(0));
    history.crash({ deadly, rare }, at(500));
    history.crash({ deadly }, at(1000));
    history.crash({ deadly, rare }, at(1400));
    history.pass(at(1400), at(9000));
    CHECK(history.tested.isQuarantined(deadly));
    CHECK_FALSE(history.tested.isQuarantined(rare));
    // What the deadly part explains is no evidence against the other one.
    history.crash({ deadly, rare }, at(9000));
    history.pass(at(9000), at(20000));
    CHECK_FALSE(history.tested.isQuarantined(rare));
}

TEST_CASE("crash evidence: answers between the crashes count, so a rare part is not blamed for the last ones")
{
    crash_history history;
    history.crash({ rare }, at(0));
    history.pass(at(0), at(8000), rare, 1);
    history.crash({ rare }, at(8000));
    history.pass(at(8000), at(8500), rare, 1);
    history.crash({ rare }, at(8500));
    history.crash({ rare }, at(9000));
    history.pass(at(9000), at(20000));
    CHECK(history.tested.quarantined().empty());
}

TEST_CASE("crash evidence: a part that all requests have is not blamed while no upstream answers anything")
{
    crash_history history;
    history.otherAnswers = 0;
    for (int crash = 0; crash < 20; ++crash)
        history.crash({ common }, at(crash * 500));
    history.pass(at(10000), at(20000));
    CHECK(history.tested.quarantined().empty());
}

TEST_CASE("crash evidence: a part that was pending at few of many crashes must be pending at more")
{
    crash_history history;
    // The first crash of each eight, so that its share falls below the bound before its third.
    const auto crashUntil = [&](int first, int last) {
        for (int crash = first; crash < last; ++crash)
            history.crash(
                crash % 8 == 0 ? std::vector<std::uint64_t> { rare } : std::vector<std::uint64_t> {},
                at(crash * 500));
    };
    crashUntil(0, 40);
    CHECK(history.tested.quarantined().empty());
    crashUntil(40, 42);
    CHECK(history.tested.isQuarantined(rare));
}

TEST_CASE("crash evidence: of parts that were pending at the same crashes, the one that fewer reports name "
          "is blamed")
{
    crash_history history;
    for (int crash = 0; crash < 6; ++crash) {
        const upstream_process process { "e" + std::to_string(crash), 1 };
        history.tested.onCrash({ process, at(crash * 300), { common, deadly } }, at(crash * 300));
        // Another gateway had a sound request there.
        history.tested.onCrash({ process, at(crash * 300), { common } }, at(crash * 300));
        history.pass(at(crash * 300), at(crash * 300 + 300));
    }
    history.pass(at(1800), at(9000));
    CHECK(history.tested.isQuarantined(deadly));
    CHECK_FALSE(history.tested.isQuarantined(common));
}

TEST_CASE("crash evidence: crashes in bursts count each, if they are not at the same moment")
{
    crash_history history;
    for (const int when : { 0, 75, 150, 700, 850 })
        history.crash({ deadly }, at(when));
    history.pass(at(850), at(2200));
    CHECK(history.tested.isQuarantined(deadly));
}

TEST_CASE("crash evidence: two deadly parts at once are told from each other and from the sound ones")
{
    crash_history history;
    for (int crash = 0; crash < 8; ++crash) {
        history.crash({ crash % 2 == 0 ? deadly : otherDeadly, common }, at(crash * 400));
        history.pass(at(crash * 400), at(crash * 400 + 400), common, 1);
    }
    history.pass(at(3200), at(6000), common, 1);
    CHECK(history.tested.isQuarantined(deadly));
    CHECK(history.tested.isQuarantined(otherDeadly));
    CHECK(history.tested.quarantined().size() == 2);
}

TEST_CASE("crash evidence: crashes at the same moment have one cause")
{
    crash_history history;
    for (int upstream = 0; upstream < 12; ++upstream)
        history.crash({ rare }, at(upstream * 4));
    history.pass(at(200), at(9000));
    CHECK(history.tested.quarantined().empty());
}

TEST_CASE("crash evidence: one crash that several gateways report counts once")
{
    crash_evidence tested { 3 };
    for (int gateway = 0; gateway < 5; ++gateway)
        tested.onCrash({ { "u1", 1 }, at(gateway * 400), { rare } }, at(gateway * 400));
    for (int step = 0; step < 90; ++step)
        tested.update(at(2000 + step * 100));
    CHECK(tested.quarantined().empty());
    CHECK(tested.watched() == std::vector<std::uint64_t> { rare });
}

TEST_CASE("crash evidence: crashes long ago are no evidence")
{
    crash_history history;
    for (int crash = 0; crash < 6; ++crash) {
        history.crash({ rare }, at(crash * 45000));
        history.pass(at(crash * 45000), at(crash * 45000 + 5000));
    }
    CHECK(history.tested.quarantined().empty());
}

TEST_CASE("crash evidence: a quarantine ends after a time, and a single further crash renews it for longer")
{
    crash_history history;
    for (int crash = 0; crash < 3; ++crash)
        history.crash({ deadly }, at(crash * 500));
    history.pass(at(1500), at(4000));
    REQUIRE(history.decided.size() == 1);
    const monotonic_time until = history.decided.front().part.until;
    history.update(until - milliseconds(1));
    CHECK(history.tested.isQuarantined(deadly));
    history.update(until);
    CHECK_FALSE(history.tested.isQuarantined(deadly));
    const monotonic_time again = until + milliseconds(800);
    history.crash({ deadly }, again);
    CHECK(history.tested.isQuarantined(deadly));
    REQUIRE(history.decided.size() == 2);
    CHECK(history.decided.back().part.until - again > history.decided.front().part.until - at(4000));
}

TEST_CASE("crash evidence: a quarantine that was decided elsewhere is taken over until its end")
{
    crash_history history;
    history.tested.adopt({ deadly, at(60000) }, at(0));
    CHECK(history.tested.isQuarantined(deadly));
    history.tested.adopt({ deadly, at(50000) }, at(0));
    CHECK(history.tested.quarantined() == std::vector<quarantined_part> { { deadly, at(60000) } });
    history.update(at(60000));
    CHECK(history.tested.quarantined().empty());
}

TEST_CASE("crash evidence: the revision grows with each change that gateways must know, and only then")
{
    crash_history history;
    const auto initial = history.tested.revision();
    history.crash({ deadly }, at(0));
    const auto watched = history.tested.revision();
    CHECK(watched > initial);
    CHECK(history.tested.watched() == std::vector<std::uint64_t> { deadly });
    history.crash({ deadly }, at(500));
    history.pass(at(500), at(900));
    CHECK(history.tested.revision() == watched);
    history.crash({ deadly }, at(1300));
    CHECK(history.tested.isQuarantined(deadly));
    CHECK(history.tested.revision() > watched);
}

TEST_CASE("crash evidence: memory is bounded in a storm of crashes with many parts")
{
    crash_history history;
    std::uint64_t next = 1;
    for (int crash = 0; crash < 1000; ++crash) {
        std::vector<std::uint64_t> parts { deadly };
        for (int part = 0; part < 600; ++part)
            parts.push_back(0x10000 + next++ % 5000);
        history.crash(parts, at(crash * 20));
    }
    CHECK(history.tested.watched().size() <= 128);
    CHECK(history.tested.quarantined().size() <= 1024);
}
