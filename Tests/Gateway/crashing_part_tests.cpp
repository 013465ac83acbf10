#include "Gateway/platform_checks.h"

#include <algorithm>

using namespace sagesaddle;

namespace {

// The time by which a crashing part is known: after the crash that shows it beyond doubt.
constexpr std::size_t tellingCrash = 5;
constexpr milliseconds tellingTime { 3000 };
// Requests with the part that may reach engines after that.
constexpr int allowedArrivals = 3;

/// Gateways before engines that all hold one model, and callers whose prompts share their parts.
class crashing_part_run {
public:
    crashing_part_run(int gateways, int engineCount)
    {
        fixture.streamEvents = 30;
        fixture.configure({ "key-1" });
        for (int engine = 0; engine < engineCount; ++engine) {
            auto& added = fixture.addEngine({ "e" + std::to_string(engine + 1) }, { "m1" });
            added.onRestarted = [this, &added] { fixture.publishListing(added); };
        }
        for (int gateway = 0; gateway < gateways; ++gateway)
            fixture.addGateway();
        for (const auto& gateway : fixture.gateways)
            REQUIRE(fixture.waitReady(gateway));
    }

    void setCrashingParts(const std::set<std::string>& parts)
    {
        for (auto& engine : fixture.engines)
            engine.crashingParts = parts;
    }

    /// Sends requests to all running gateways in turn, each eighth with a crashing part.
    void sendFor(milliseconds duration)
    {
        const monotonic_time end = monotonicNow() + duration;
        while (monotonicNow() < end) {
            ++m_sent;
            auto& gateway = fixture.gateways.at(m_sent % fixture.gateways.size());
            const std::string own = std::to_string(m_sent);
            const auto& parts = fixture.engines.front().crashingParts;
            const bool isCrashing = m_sent % 8 == 0 && !parts.empty();
            std::string prompt = "a1:100,";
            if (isCrashing)
                prompt += *std::next(parts.begin(), static_cast<std::ptrdiff_t>(m_sent / 8 % parts.size()))
                    + ":50,";
            else if (m_sent % 3 == 0)
                prompt += "c" + std::to_string(m_sent % 5) + ":50,";
            if (gateway.process->isRunning()) {
                auto& attempt = fixture.send(gateway, "/stream/", "key-1",
                    "Model: m1\r\nToken-Counts: 200,60\r\nPrompt-Prefix: " + prompt + "f" + own + ":50\r\n");
                if (!isCrashing)
                    sound.push_back(&attempt);
            }
            loopFor(fixture.loop, milliseconds(25));
        }
    }

    /// Sends the same request to one gateway after the other, beside sound ones, as its caller repeats it.
    void repeatFor(milliseconds duration, milliseconds interval)
    {
        const std::string prompt = "a1:100,c1:50,e1:50";
        for (auto& engine : fixture.engines)
            engine.crashingPrompts = { prompt };
        const monotonic_time end = monotonicNow() + duration;
        while (monotonicNow() < end) {
            auto& gateway = fixture.gateways.at(++m_repeated % fixture.gateways.size());
            fixture.send(gateway, "/stream/", "key-1",
                "Model: m1\r\nToken-Counts: 200,60\r\nPrompt-Prefix: " + prompt + "\r\n");
            sendFor(interval);
        }
    }

    /// \return requests that crash their engines and reached one later than a number of crashes.
    int arrivalsAfter(std::size_t crashes) const
    {
        int arrivals = 0;
        for (const auto& engine : fixture.engines)
            arrivals += static_cast<int>(engine.crashingArrivals.size());
        return std::max(arrivals - static_cast<int>(crashes), 0);
    }

    /// \return requests with a crashing part that reached engines after the part was to be known.
    int lateArrivals() const
    {
        std::vector<monotonic_time> crashes;
        for (const auto& engine : fixture.engines)
            crashes.insert(crashes.end(), engine.crashes.begin(), engine.crashes.end());
        std::sort(crashes.begin(), crashes.end());
        if (crashes.size() < tellingCrash)
            return 0;
        const monotonic_time known = crashes.at(tellingCrash - 1) + tellingTime;
        int late = 0;
        for (const auto& engine : fixture.engines)
            late += static_cast<int>(std::count_if(engine.crashingArrivals.begin(),
                engine.crashingArrivals.end(), [&](monotonic_time at) { return at > known; }));
        return late;
    }

    /// \return the part of the sound requests that were sent from a time on and have a complete answer.
    double soundShare(monotonic_time from) const
    {
        double sent = 0;
        double whole = 0;
        for (const auto* attempt : sound) {
            if (attempt->sentAt < from)
                continue;
            ++sent;
            whole += attempt->caller->status() == 200 && platform_fixture::isWhole(*attempt) ? 1 : 0;
        }
        return whole / std::max(sent, 1.0);
    }

    std::size_t crashCount() const
    {
        std::size_t count = 0;
        for (const auto& engine : fixture.engines)
            count += engine.crashes.size();
        return count;
    }

    platform_fixture fixture;
    std::vector<const platform_fixture::attempt*> sound;

private:
    std::size_t m_sent { 0 };
    std::size_t m_repeated { 0 };
};

} // namespace

TEST_CASE(
    "gateway: a prompt part that crashes the engines that answer it reaches them no more once that shows")
{
    crashing_part_run run(4, 5);
    run.sendFor(milliseconds(1000));
    run.setCrashingParts({ "dead" });
    run.sendFor(milliseconds(9000));
    CHECK(run.crashCount() > 0);
    CHECK(run.lateArrivals() <= allowedArrivals);
    const monotonic_time recovered = monotonicNow();
    run.sendFor(milliseconds(3000));
    loopFor(run.fixture.loop, milliseconds(1500));
    CHECK(run.soundShare(recovered) >= 0.9);
    checkNoViolations(run.fixture);
}

// Guards against one request that its caller repeats and that ends one engine after the other.
TEST_CASE("gateway: a request that crashes its engine and is repeated soon reaches no engine any more")
{
    crashing_part_run run(4, 6);
    run.sendFor(milliseconds(1000));
    run.repeatFor(milliseconds(9000), milliseconds(600));
    CHECK(run.crashCount() >= 3);
    CHECK(run.arrivalsAfter(3) <= allowedArrivals);
    const monotonic_time recovered = monotonicNow();
    run.sendFor(milliseconds(3000));
    loopFor(run.fixture.loop, milliseconds(1500));
    CHECK(run.soundShare(recovered) >= 0.9);
    checkNoViolations(run.fixture);
}

TEST_CASE(
    "gateway: two crashing prompt parts are stopped while the coordinator is killed and the store is away")
{
    crashing_part_run run(4, 6);
    run.sendFor(milliseconds(1000));
    run.setCrashingParts({ "bad", "dead" });
    run.sendFor(milliseconds(700));
    const auto coordinator
        = std::find_if(run.fixture.gateways.begin(), run.fixture.gateways.end(), [&](const auto& gateway) {
              return run.fixture.outputOf(gateway).find("duty_taken") != std::string::npos;
          });
    REQUIRE(coordinator != run.fixture.gateways.end());
    coordinator->process->kill();
    run.fixture.store.mode = store_stand_in::behaviour::Silent;
    run.sendFor(milliseconds(1500));
    run.fixture.store.mode = store_stand_in::behaviour::Sound;
    run.sendFor(milliseconds(9000));
    CHECK(run.crashCount() > 0);
    // Each of the two parts is allowed so many.
    CHECK(run.lateArrivals() <= 2 * allowedArrivals);
    const monotonic_time recovered = monotonicNow();
    run.sendFor(milliseconds(3000));
    loopFor(run.fixture.loop, milliseconds(1500));
    CHECK(run.soundShare(recovered) >= 0.9);
    checkNoViolations(run.fixture);
}
