#include "Support/test_time.h"
#include "upstream_speed_replay.h"

#include <doctest/doctest.h>
#include <limits>

using namespace sagesaddle;
using testing::at;
using testing::speed_replay;

namespace {

/// \return the last factor of an upstream that the table tells.
double factorOf(const pace_table& table, const std::string& upstream)
{
    for (const auto& item : table.changesSince(0)) {
        if (item.upstream == upstream)
            return item.factor;
    }
    return 1;
}

speed_replay::outcome replay(int gateways, bool learns)
{
    speed_replay replayed;
    replayed.gateways = gateways;
    replayed.learns = learns;
    return replayed.run();
}

} // namespace

TEST_CASE("upstream pace: under heavy load, engines get work by their speed and fewer streams are late")
{
    for (const int gateways : { 1, 30 }) {
        CAPTURE(gateways);
        const auto equal = replay(gateways, false);
        const auto paced = replay(gateways, true);
        CHECK(paced.lateGap < 0.5 * equal.lateGap);
        CHECK(paced.lateFirst <= 0.5 * equal.lateFirst);
        CHECK(paced.factors[0] < 0.75);
        CHECK(paced.factors[2] > 1.25);
        // Outdated reports must not send everything to the fast engines: none gets more than twice its share.
        for (const int sent : paced.sent)
            CHECK(sent < 2 * paced.requests / static_cast<int>(paced.sent.size()));
    }
}

TEST_CASE("pace table: samples of all gateways are pooled, and factors are relative to the service's mean")
{
    pace_table table;
    // All take thrice as long as forecast; of two services, one has engines of different speeds.
    for (int sample = 0; sample < 20; ++sample) {
        table.onSamples("slow", "desk", { 900, 200 }, at(0));
        table.onSamples("fast", "desk", { 300, 200 }, at(0));
        table.onSamples("a", "other", { 600, 200 }, at(0));
        table.onSamples("b", "other", { 600, 200 }, at(0));
    }
    table.update(at(0));
    CHECK(factorOf(table, "slow") == doctest::Approx(1.5).epsilon(0.1));
    CHECK(factorOf(table, "fast") == doctest::Approx(0.5).epsilon(0.1));
    CHECK(factorOf(table, "a") == 1);
    const auto revision = table.revision();
    table.update(at(100));
    CHECK(table.changesSince(revision).empty());
    table.update(at(60000));
    CHECK(factorOf(table, "slow") == doctest::Approx(1).epsilon(0.05));
}

TEST_CASE("pace table: nonsense is ignored or bounded, and a new process begins anew")
{
    pace_table table;
    table.onSamples("u1", "desk", { std::numeric_limits<double>::quiet_NaN(), 100 }, at(0));
    table.onSamples("u1", "desk", { 100, -1 }, at(0));
    table.update(at(0));
    CHECK(table.changesSince(0).empty());
    table.onSamples("u1", "desk", { 1e30, 1e9 }, at(0));
    for (const char* upstream : { "u2", "u3", "u4" })
        table.onSamples(upstream, "desk", { 6000, 6000 }, at(0));
    table.update(at(100));
    CHECK(factorOf(table, "u1") <= maxPaceFactor);
    CHECK(factorOf(table, "u1") > 1.5);
    const auto revision = table.revision();
    table.onProcessReplaced("u1");
    CHECK(table.changesSince(revision) == std::vector<upstream_factor> { { "u1", 1 } });
}

TEST_CASE("upstream pace: a told factor holds while a coordinator answers, then own samples correct it")
{
    upstream_pace pace;
    pace.onTold(1.5);
    for (int sample = 0; sample < 100; ++sample)
        pace.onSample(50, 100, at(0));
    CHECK(pace.factor(true, at(0)) == 1.5);
    CHECK(pace.factor(false, at(0)) < 0.8);
    CHECK(pace.factor(false, at(120000)) == doctest::Approx(1.5));
    CHECK(pace.takeUnreported() == pace_sums { 5000, 10000 });
    CHECK(pace.takeUnreported() == pace_sums {});
    pace.onTold(1000);
    CHECK(pace.factor(true, at(0)) == maxPaceFactor);
    pace.onTold(std::numeric_limits<double>::quiet_NaN());
    CHECK(pace.factor(true, at(0)) == maxPaceFactor);
}

TEST_CASE("pace table: a start that several gateways report is one slow start, and its end is told")
{
    pace_table table;
    table.onStart("u1", "desk", 8, { true, {} }, at(0));
    table.onStart("u1", "desk", 8, { true, { 2, 0, 0 } }, at(200));
    CHECK(table.limitChangesSince(0) == std::vector<upstream_start_limit> { { "u1", 4 } });
    table.onStart("u1", "desk", 8, { false, { 4, 0, 0 } }, at(300));
    CHECK(table.limitChangesSince(0) == std::vector<upstream_start_limit> { { "u1", 0 } });
    // A gateway that read the list late means the same start; a later one is new.
    table.onStart("u1", "desk", 8, { true, {} }, at(1000));
    CHECK(table.limitChangesSince(0) == std::vector<upstream_start_limit> { { "u1", 0 } });
    table.onStart("u1", "desk", 8, { true, {} }, at(5000));
    CHECK(table.limitChangesSince(0) == std::vector<upstream_start_limit> { { "u1", 2 } });
    table.onStart("u2", "desk", 8, { false, { 1, 0, 0 } }, at(5000));
    CHECK(table.limitChangesSince(0).size() == 1);
}

TEST_CASE("upstream pace: the coordinator's limit of a slow start holds, and own outcomes without it")
{
    upstream_pace pace;
    pace.onOutcome({ 1, 0, 0 }, 1, at(0));
    CHECK(pace.takeStartReport() == start_report {});
    pace.beginStart(32, at(0));
    CHECK(pace.takeStartReport().isBeginning);
    pace.onLimitTold(8, 32, at(0));
    pace.onOutcome({ 0, 0, 5 }, 1, at(1000));
    CHECK(pace.startLimit(at(1000)) == 8);
    CHECK(pace.takeStartReport().outcomes.failed == 5);
    // A limit that stays the same is not told again and must not expire.
    CHECK(pace.startLimit(at(60000)) == 8);
    pace.onCoordinatorLost();
    pace.onOutcome({ 0, 0, 1 }, 1, at(1000));
    CHECK(pace.startLimit(at(1000)) == 4);
    // One of 30 gateways sees one of 30 answers.
    pace.onOutcome({ 1, 0, 0 }, 30, at(1100));
    CHECK(pace.startLimit(at(1100)) == 8);
    pace.onLimitTold(0, 32, at(1200));
    CHECK_FALSE(pace.startLimit(at(1200)).has_value());
    // What the coordinator told must not come back to it as the beginning of another slow start.
    pace.beginStart(32, at(1300));
    pace.onLimitTold(2, 32, at(1300));
    CHECK_FALSE(pace.takeStartReport().isBeginning);
}
