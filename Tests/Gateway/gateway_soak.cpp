#include "Gateway/platform_fixture.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <sstream>

using namespace sagesaddle;

namespace {

constexpr int gateways = 3;
// Duration of the faults of one seed; afterwards every fault is ended and the fleet must recover.
constexpr milliseconds faultDuration { 8000 };
constexpr milliseconds stepInterval { 40 };
// Key of the evacuation of zone `y`, and the platform's bound for it.
const std::string evacuationKey = "evacuate/y";
// Key of the evacuation of the gateways' own zone.
const std::string ownZoneKey = "evacuate/z";
constexpr milliseconds evacuationBound { 5000 };

/// One run with a seed: callers send requests while faults begin at random, one after another, and overlap.
class soak_run {
public:
    explicit soak_run(unsigned seed)
        : m_random(seed)
        , m_fixture(seed)
    {
        m_fixture.configure({ "key-1" });
        m_fixture.addEngine({ "e1" }, { "m1", "m2" });
        m_fixture.addEngine({ "e2" }, { "m1", "m3" });
        m_fixture.addEngine({ "l1", "ledger" });
        engine_stand_in::settings inOtherZone { "l2", "ledger" };
        inOtherZone.zone = "y";
        m_fixture.addEngine(inOtherZone);
        for (auto& engine : m_fixture.engines) {
            engine.teamOf = [this](const std::string& id) { return m_teams[id]; };
            engine.onRestarted = [this, &engine] { m_fixture.publishListing(engine); };
        }
        for (int gateway = 0; gateway < gateways; ++gateway)
            m_fixture.addGateway();
    }

    void run()
    {
        for (const auto& gateway : m_fixture.gateways)
            REQUIRE(m_fixture.waitReady(gateway));
        const monotonic_time end = monotonicNow() + faultDuration;
        while (monotonicNow() < end) {
            sendRequests();
            if (chance(0.12))
                injectFault();
            endDueFaults();
            loopFor(m_fixture.loop, stepInterval);
        }
        endAllFaults();
        checkRecovery();
        checkEvacuation();
        checkNoViolations();
    }

private:
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    std::size_t pick(std::size_t count) { return m_random() % count; }

    void sendRequests()
    {
        static const char* const paths[] = { "/safe/", "/unsafe/", "/stream/", "/resume/" };
        for (std::size_t call = pick(4); call > 0; --call) {
            const std::string path = paths[pick(4)];
            const std::string key = chance(0.5) ? "key-1" : (chance(0.9) ? "key-9" : "key-unknown");
            std::string fields;
            if (path == "/stream/" || path == "/resume/")
                fields = "Model: m" + std::to_string(1 + pick(3)) + (chance(0.3) ? "/a1" : "")
                    + "\r\nToken-Counts: 50,20\r\n";
            auto& attempt = m_fixture.send(m_fixture.gateways.at(pick(gateways)), path, key, fields);
            m_teams[attempt.id] = key == "key-1" ? "atelier" : "dealers";
            if (chance(0.05))
                attempt.caller->leave();
        }
    }

    void scheduleFaultEnd(milliseconds from, milliseconds to, std::function<void()> action)
    {
        const auto span = from + milliseconds(pick(static_cast<std::size_t>((to - from).count())));
        m_faultEnds.emplace_back(monotonicNow() + span, std::move(action));
    }

    void injectFault()
    {
        auto& gateway = m_fixture.gateways.at(pick(gateways));
        auto& engine = m_fixture.engines.at(pick(m_fixture.engines.size()));
        switch (pick(13)) {
        case 0:
            gateway.process->kill();
            scheduleFaultEnd(milliseconds(50), milliseconds(800), [&] { m_fixture.start(gateway); });
            break;
        case 1:
            gateway.process->freeze();
            scheduleFaultEnd(milliseconds(100), milliseconds(4000), [&] { gateway.process->wake(); });
            break;
        case 2:
            gateway.process->terminate();
            scheduleFaultEnd(milliseconds(3100), milliseconds(3600), [&] { m_fixture.start(gateway); });
            break;
        case 3:
            gateway.storeProxy.setMode(fault_proxy::behaviour::Silent);
            scheduleFaultEnd(milliseconds(200), milliseconds(4000),
                [&] { gateway.storeProxy.setMode(fault_proxy::behaviour::Passing); });
            break;
        case 4:
            gateway.storeProxy.setMode(
                chance(0.5) ? fault_proxy::behaviour::OneWay : fault_proxy::behaviour::Cutting);
            scheduleFaultEnd(milliseconds(200), milliseconds(3000),
                [&] { gateway.storeProxy.setMode(fault_proxy::behaviour::Passing); });
            break;
        case 5:
            m_fixture.store.mode
                = chance(0.5) ? store_stand_in::behaviour::Busy : store_stand_in::behaviour::Silent;
            scheduleFaultEnd(milliseconds(200), milliseconds(3000),
                [this] { m_fixture.store.mode = store_stand_in::behaviour::Sound; });
            break;
        case 6:
            m_fixture.store.lostAnswers = 0.5;
            m_fixture.store.delay = milliseconds(pick(300));
            scheduleFaultEnd(milliseconds(500), milliseconds(2000), [this] {
                m_fixture.store.lostAnswers = 0;
                m_fixture.store.delay = milliseconds(0);
            });
            break;
        case 7:
            engine.server.cutAll();
            break;
        case 8:
            engine.cutAnswers = 5;
            break;
        case 9:
            engine.crash();
            break;
        case 10:
            engine.isDraining = true;
            m_fixture.publishListing(engine);
            scheduleFaultEnd(milliseconds(300), milliseconds(1500), [&] {
                engine.replaceProcess();
                m_fixture.publishListing(engine);
            });
            break;
        case 11:
            m_fixture.store.put("keyed.op", evacuationKey, "{}");
            scheduleFaultEnd(milliseconds(500), milliseconds(4000),
                [this] { m_fixture.store.drop("keyed.op", evacuationKey); });
            break;
        default:
            m_fixture.store.compact();
            m_fixture.configure({ "key-1" });
            break;
        }
    }

    void endDueFaults()
    {
        const monotonic_time now = monotonicNow();
        std::vector<std::function<void()>> due;
        std::erase_if(m_faultEnds, [&](auto& item) {
            if (item.first > now)
                return false;
            due.push_back(std::move(item.second));
            return true;
        });
        for (const auto& action : due)
            action();
    }

    void endAllFaults()
    {
        for (const auto& [at, action] : m_faultEnds)
            action();
        m_faultEnds.clear();
        m_fixture.store.mode = store_stand_in::behaviour::Sound;
        for (auto& engine : m_fixture.engines) {
            if (engine.isDraining)
                engine.replaceProcess();
            engine.cutAnswers = 0;
            m_fixture.publishListing(engine);
        }
        for (auto& gateway : m_fixture.gateways) {
            gateway.storeProxy.setMode(fault_proxy::behaviour::Passing);
            gateway.process->wake();
            // A process that got SIGTERM exits by itself within its shutdown grace.
            loopUntil(m_fixture.loop,
                [&] { return !gateway.process->isRunning() || m_fixture.readiness(gateway) == 200; });
            if (!gateway.process->isRunning())
                m_fixture.start(gateway);
        }
    }

    void checkRecovery()
    {
        for (auto& gateway : m_fixture.gateways) {
            CHECK(m_fixture.waitReady(gateway));
            CHECK(loopUntil(m_fixture.loop, [&] {
                auto& attempt = m_fixture.send(gateway, "/safe/");
                m_teams[attempt.id] = "atelier";
                return m_fixture.waitEnd(attempt) && attempt.caller->status() == 200;
            }));
        }
    }

    /// Whatever the faults left behind, an evacuation takes effect within the bound, and ends.
    void checkEvacuation()
    {
        const auto& arrivals = m_fixture.engines.back().arrivals;
        m_fixture.store.put("keyed.op", evacuationKey, "{}");
        loopFor(m_fixture.loop, evacuationBound);
        const std::size_t before = arrivals.size();
        checkRecovery();
        CHECK(arrivals.size() == before);
        // The gateways prefer their own zone, so only its evacuation shows that the other one is used again.
        m_fixture.store.drop("keyed.op", evacuationKey);
        m_fixture.store.put("keyed.op", ownZoneKey, "{}");
        loopFor(m_fixture.loop, evacuationBound);
        checkRecovery();
        CHECK(arrivals.size() > before);
        m_fixture.store.drop("keyed.op", ownZoneKey);
    }

    void checkNoViolations()
    {
        int answered = 0;
        for (const auto& attempt : m_fixture.attempts) {
            m_fixture.audit(attempt);
            answered += attempt.caller->status() == 200 ? 1 : 0;
            if (attempt.key == "key-unknown" && m_fixture.runsOf(attempt.id) > 0)
                m_fixture.violations.push_back(attempt.id + " ran with an unknown key");
        }
        for (const auto& text : m_fixture.violations)
            FAIL_CHECK(text);
        CHECK(answered > 20);
    }

    std::minstd_rand m_random;
    platform_fixture m_fixture;
    std::map<std::string, std::string> m_teams;
    std::vector<std::pair<monotonic_time, std::function<void()>>> m_faultEnds;
};

// Rounds of one seed in which the holder of the coordinator lease is cut off from the store.
constexpr int cutRounds = 3;
// The bound of the platform's sites for orders of two holders.
constexpr milliseconds siteHandoverPause { 3000 };
// By then a holder that was cut off has lost the lease, and another one has given orders.
constexpr milliseconds shortestCut { 2500 };
constexpr std::size_t cutVariation = 2500;
constexpr milliseconds betweenCuts { 4500 };

/// Requests for more models than fit, so that the coordinator keeps giving orders, while its holders are cut
/// off in turn and answers to appends are lost.
class lease_soak_run {
public:
    explicit lease_soak_run(unsigned seed)
        : m_random(seed)
        , m_fixture(seed)
    {
        m_fixture.handoverPause = siteHandoverPause;
        m_fixture.configure({ "key-1" });
        m_fixture.addEngine({ "e1" }, { "m1", "m2" });
        m_fixture.addEngine({ "e2" }, { "m1", "m3" });
        // With two gateways a holder that lost the lease is the next one to acquire it.
        m_fixture.addGateway();
        m_fixture.addGateway();
    }

    void run()
    {
        for (const auto& gateway : m_fixture.gateways)
            REQUIRE(m_fixture.waitReady(gateway));
        sendFor(betweenCuts);
        for (int round = 0; round < cutRounds; ++round) {
            auto* holder = findHolder();
            if (holder == nullptr)
                continue;
            holder->storeProxy.setMode(fault_proxy::behaviour::Silent);
            m_fixture.store.lostAnswers = round == 0 ? 0 : 0.4;
            sendFor(shortestCut + milliseconds(m_random() % cutVariation));
            m_fixture.store.lostAnswers = 0;
            holder->storeProxy.setMode(fault_proxy::behaviour::Passing);
            if (m_random() % 3 == 0)
                restart(*holder);
            sendFor(betweenCuts);
        }
        for (const auto& engine : m_fixture.engines)
            m_orders += engine.holders.size();
        CHECK(m_orders > 10);
        for (const auto& text : m_fixture.violations)
            FAIL_CHECK(text);
    }

private:
    platform_fixture::gateway_process* findHolder()
    {
        const std::string record = m_fixture.store.newest("keyed.lease", "duty");
        const std::string member = R"("member":")" + record.substr(0, record.find('|')) + '"';
        for (auto& gateway : m_fixture.gateways) {
            if (m_fixture.outputOf(gateway).find(member) != std::string::npos)
                return &gateway;
        }
        return nullptr;
    }

    void restart(platform_fixture::gateway_process& gateway)
    {
        gateway.process->kill();
        m_fixture.start(gateway);
    }

    void sendFor(milliseconds duration)
    {
        const monotonic_time end = monotonicNow() + duration;
        while (monotonicNow() < end) {
            auto& gateway = m_fixture.gateways.at(m_random() % m_fixture.gateways.size());
            m_fixture.send(gateway, "/stream/", "key-1",
                "Model: m" + std::to_string(1 + m_random() % 3) + "/a" + std::to_string(1 + m_random() % 3)
                    + "\r\nToken-Counts: 50,20\r\n");
            loopFor(m_fixture.loop, stepInterval);
        }
    }

    std::minstd_rand m_random;
    platform_fixture m_fixture;
    std::size_t m_orders { 0 };
};

/// \return the first and the last seed to run.
std::pair<unsigned, unsigned> soakSeeds(unsigned first, unsigned last)
{
    if (const char* seeds = std::getenv("SAGESADDLE_SOAK_SEEDS"))
        std::istringstream(seeds) >> first >> last;
    return { first, last };
}

} // namespace

TEST_CASE(
    "soak: orders keep to fencing tokens and pauses while holders of the lease are cut off and answers lost")
{
    const auto [first, last] = soakSeeds(1, 1);
    for (unsigned seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        lease_soak_run(seed).run();
    }
}

TEST_CASE("soak: the guarantees hold under random faults of processes, links, engines and the store")
{
    const auto [first, last] = soakSeeds(1, 2);
    for (unsigned seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        soak_run(seed).run();
    }
}
