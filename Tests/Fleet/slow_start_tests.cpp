#include "Fleet/slow_start.h"
#include "Support/test_time.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace sagesaddle;
using testing::at;

namespace {

/// \brief Replays requests that many gateways want to send to an upstream that has just started and takes
/// longer for each one while it has many. Gateways know each other's requests as of the last report.
struct start_replay {
    int gateways { 30 };
    /// Requests per second that want to go to the upstream.
    double requestsPerSecond { 300 };
    /// Requests at once beyond which answers are late.
    int capacity { 1000 };
    /// From this time on the upstream fails all requests, in milliseconds.
    int failsFrom { 1 << 30 };

    struct outcome {
        /// Most requests in flight at any time.
        int mostInFlight { 0 };
        int sent { 0 };
        int sentAfterFailure { 0 };
        /// When the slow start ended, in milliseconds; -1 if it did not.
        int endedAt { -1 };
    };

    outcome run() const
    {
        constexpr int reportMs = 100;
        constexpr int answerMs = 150;
        constexpr int replayMs = 6000;
        std::minstd_rand random(3);
        const auto draw = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
        slow_start tested(32, at(0));
        outcome result;
        std::vector<int> known(static_cast<std::size_t>(gateways), 0);
        std::deque<std::pair<int, bool>> ends;
        start_outcomes unreported;
        int told = tested.limit(at(0)).value_or(0);
        for (int now = 0; now < replayMs; ++now) {
            for (; !ends.empty() && ends.front().first <= now; ends.pop_front()) {
                const bool failed = now >= failsFrom;
                unreported += { !failed && !ends.front().second ? 1U : 0U,
                    !failed && ends.front().second ? 1U : 0U, failed ? 1U : 0U };
            }
            const int inFlight = static_cast<int>(ends.size());
            for (int gateway = 0; gateway < gateways; ++gateway) {
                if ((now + gateway * reportMs / gateways) % reportMs == 0)
                    known[static_cast<std::size_t>(gateway)] = inFlight;
            }
            if (now % reportMs == 0 && tested.limit(at(now))) {
                tested.onOutcomes(unreported, at(now));
                unreported = {};
                told = tested.limit(at(now)).value_or(0);
                result.endedAt = told == 0 ? now : -1;
            }
            if (draw() >= requestsPerSecond / 1000)
                continue;
            int& seen = known[static_cast<std::size_t>(draw() * gateways)];
            const double unseen = requestsPerSecond * reportMs / 2000 * (gateways - 1) / gateways;
            if (told > 0 && draw() >= startAdmission(told, seen, unseen))
                continue;
            ++seen;
            ends.emplace_back(now + answerMs, inFlight >= capacity);
            ++result.sent;
            result.sentAfterFailure += now >= failsFrom + 1000 ? 1 : 0;
            if (told > 0)
                result.mostInFlight = std::max(result.mostInFlight, inFlight + 1);
        }
        return result;
    }
};

} // namespace

TEST_CASE("slow start: an upstream that keeps up gets all requests within two seconds")
{
    const auto result = start_replay {}.run();
    CHECK(result.endedAt > 300);
    CHECK(result.endedAt <= 2000);
    CHECK(result.sent > 1000);
}

TEST_CASE("slow start: an upstream that is late beyond a few requests is neither flooded nor left idle")
{
    start_replay replay;
    replay.capacity = 4;
    const auto result = replay.run();
    CHECK(result.endedAt == -1);
    // Without a limit it would have 45 requests in flight.
    CHECK(result.mostInFlight <= 20);
    CHECK(result.sent >= 60);
}

TEST_CASE("slow start: an upstream that fails while it starts gets few requests, but some")
{
    start_replay replay;
    replay.failsFrom = 300;
    const auto result = replay.run();
    CHECK(result.endedAt == -1);
    CHECK(result.sentAfterFailure < 100);
    CHECK(result.sentAfterFailure >= 5);
}

TEST_CASE("slow start: halvings need new answers, the limit stays above 0, and without trouble it ends")
{
    slow_start tested(64, at(0));
    tested.onOutcomes({ 2, 0, 0 }, at(100));
    tested.onOutcomes({ 4, 0, 0 }, at(200));
    CHECK(tested.limit(at(200)) == 8);
    tested.onOutcomes({ 0, 0, 3 }, at(300));
    tested.onOutcomes({ 0, 0, 3 }, at(400));
    CHECK(tested.limit(at(400)) == 4);
    for (int ms = 600; ms < 3000; ms += 300)
        tested.onOutcomes({ 1, 1, 0 }, at(ms));
    CHECK(tested.limit(at(3000)) == 1);
    tested.onOutcomes({ 1, 0, 0 }, at(3100));
    CHECK(tested.limit(at(3100)) == 2);
    CHECK_FALSE(tested.limit(at(30000)).has_value());
}

TEST_CASE("slow start: admission falls with what other gateways may place unseen")
{
    CHECK(startAdmission(8, 2, 0) == 1);
    CHECK(startAdmission(8, 2, 12) == 0.5);
    CHECK(startAdmission(8, 9, 0) == 0);
    CHECK(startAdmission(0.1, 0, 1) == doctest::Approx(0.1));
}
