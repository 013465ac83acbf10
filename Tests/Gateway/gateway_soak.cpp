#include "Gateway/platform_fixture.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <sstream>

using namespace sagesaddle;

namespace {

constexpr int gateways = 3;
// Length of one seed's run, with faults; then all is sound again and must recover.
constexpr milliseconds faultTime { 8000 };
constexpr milliseconds stepTime { 40 };

/// One seeded run: callers send all the while, faults come in series and overlap.
class soak_run {
public:
    explicit soak_run(unsigned seed)
        : m_random(seed)
        , m_world(seed)
    {
        m_world.configure({ "key-1" });
        m_world.addEngine({ "e1" }, { "m1", "m2" });
        m_world.addEngine({ "e2" }, { "m1", "m3" });
        m_world.addEngine({ "l1", "ledger" });
        m_world.addEngine({ "l2", "ledger" });
        for (auto& engine : m_world.engines)
            engine.teamOf = [this](const std::string& id) { return m_teams[id]; };
        for (int gateway = 0; gateway < gateways; ++gateway)
            m_world.addGateway();
    }

    void play()
    {
        for (const auto& gateway : m_world.gateways)
            REQUIRE(m_world.waitReady(gateway));
        const monotonic_time end = monotonicNow() + faultTime;
        while (monotonicNow() < end) {
            sendSome();
            if (chance(0.12))
                breakSomething();
            mendDue();
            loopFor(m_world.loop, stepTime);
        }
        mendAll();
        checkRecovery();
        checkNoViolations();
    }

private:
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
    std::size_t pick(std::size_t count) { return m_random() % count; }

    void sendSome()
    {
        static const char* const paths[] = { "/safe/", "/unsafe/", "/stream/", "/resume/" };
        for (std::size_t call = pick(4); call > 0; --call) {
            const std::string path = paths[pick(4)];
            const std::string key = chance(0.5) ? "key-1" : (chance(0.9) ? "key-9" : "key-unknown");
            std::string fields;
            if (path == "/stream/" || path == "/resume/")
                fields = "Model: m" + std::to_string(1 + pick(3)) + (chance(0.3) ? "/a1" : "")
                    + "\r\nToken-Counts: 50,20\r\n";
            auto& attempt = m_world.send(m_world.gateways.at(pick(gateways)), path, key, fields);
            m_teams[attempt.id] = key == "key-1" ? "atelier" : "dealers";
            if (chance(0.05))
                attempt.caller->leave();
        }
    }

    void later(milliseconds from, milliseconds to, std::function<void()> action)
    {
        const auto span = from + milliseconds(pick(static_cast<std::size_t>((to - from).count())));
        m_mends.emplace_back(monotonicNow() + span, std::move(action));
    }

    void breakSomething()
    {
        auto& gateway = m_world.gateways.at(pick(gateways));
        auto& engine = m_world.engines.at(pick(m_world.engines.size()));
        switch (pick(11)) {
        case 0:
            gateway.process->kill();
            later(milliseconds(50), milliseconds(800), [&] { m_world.start(gateway); });
            break;
        case 1:
            gateway.process->freeze();
            later(milliseconds(100), milliseconds(4000), [&] { gateway.process->wake(); });
            break;
        case 2:
            gateway.process->terminate();
            later(milliseconds(3100), milliseconds(3600), [&] { m_world.start(gateway); });
            break;
        case 3:
            gateway.storeLink.setMode(fault_proxy::behaviour::Silent);
            later(milliseconds(200), milliseconds(4000),
                [&] { gateway.storeLink.setMode(fault_proxy::behaviour::Passing); });
            break;
        case 4:
            gateway.storeLink.setMode(
                chance(0.5) ? fault_proxy::behaviour::OneWay : fault_proxy::behaviour::Cutting);
            later(milliseconds(200), milliseconds(3000),
                [&] { gateway.storeLink.setMode(fault_proxy::behaviour::Passing); });
            break;
        case 5:
            m_world.store.mode
                = chance(0.5) ? store_stand_in::behaviour::Busy : store_stand_in::behaviour::Silent;
            later(milliseconds(200), milliseconds(3000),
                [this] { m_world.store.mode = store_stand_in::behaviour::Sound; });
            break;
        case 6:
            m_world.store.lostAnswers = 0.5;
            m_world.store.delay = milliseconds(pick(300));
            later(milliseconds(500), milliseconds(2000), [this] {
                m_world.store.lostAnswers = 0;
                m_world.store.delay = milliseconds(0);
            });
            break;
        case 7:
            engine.server.cutAll();
            break;
        case 8:
            engine.cutAnswers = 5;
            break;
        case 9:
            engine.isDraining = !engine.isDraining;
            m_world.list(engine);
            later(milliseconds(300), milliseconds(1500), [&] {
                engine.isDraining = false;
                m_world.list(engine);
            });
            break;
        default:
            m_world.store.compact();
            m_world.configure({ "key-1" });
            break;
        }
    }

    void mendDue()
    {
        const monotonic_time now = monotonicNow();
        std::vector<std::function<void()>> due;
        std::erase_if(m_mends, [&](auto& item) {
            if (item.first > now)
                return false;
            due.push_back(std::move(item.second));
            return true;
        });
        for (const auto& action : due)
            action();
    }

    void mendAll()
    {
        for (const auto& [at, action] : m_mends)
            action();
        m_mends.clear();
        m_world.store.mode = store_stand_in::behaviour::Sound;
        for (auto& engine : m_world.engines) {
            engine.isDraining = false;
            engine.cutAnswers = 0;
            m_world.list(engine);
        }
        for (auto& gateway : m_world.gateways) {
            gateway.storeLink.setMode(fault_proxy::behaviour::Passing);
            gateway.process->wake();
            // A process that is asked to stop ends by itself within its grace.
            loopUntil(m_world.loop,
                [&] { return !gateway.process->isRunning() || m_world.readiness(gateway) == 200; });
            if (!gateway.process->isRunning())
                m_world.start(gateway);
        }
    }

    void checkRecovery()
    {
        for (auto& gateway : m_world.gateways) {
            CHECK(m_world.waitReady(gateway));
            CHECK(loopUntil(m_world.loop, [&] {
                auto& attempt = m_world.send(gateway, "/safe/");
                m_teams[attempt.id] = "atelier";
                return m_world.waitEnd(attempt) && attempt.caller->status() == 200;
            }));
        }
    }

    void checkNoViolations()
    {
        int answered = 0;
        for (const auto& attempt : m_world.attempts) {
            m_world.audit(attempt);
            answered += attempt.caller->status() == 200 ? 1 : 0;
            if (attempt.key == "key-unknown" && m_world.runsOf(attempt.id) > 0)
                m_world.violations.push_back(attempt.id + " ran with an unknown key");
        }
        for (const auto& text : m_world.violations)
            FAIL_CHECK(text);
        CHECK(answered > 20);
    }

    std::minstd_rand m_random;
    platform_fixture m_world;
    std::map<std::string, std::string> m_teams;
    std::vector<std::pair<monotonic_time, std::function<void()>>> m_mends;
};

} // namespace

TEST_CASE("soak: the promises hold under random faults of processes, links, engines and the store")
{
    unsigned first = 1;
    unsigned last = 2;
    if (const char* seeds = std::getenv("SAGESADDLE_SOAK_SEEDS"))
        std::istringstream(seeds) >> first >> last;
    for (unsigned seed = first; seed <= last; ++seed) {
        CAPTURE(seed);
        soak_run(seed).play();
    }
}
