// What answering the gateways' reports costs the one that coordinates, by the fleet's size.

#include "Gateway/coordinator.h"

#include <benchmark/benchmark.h>
#include <random>

using namespace sagesaddle;

namespace {

constexpr unsigned enginesPerGateway = 10;
// Work of one gateway at a moment: requests a second times the seconds that each takes.
constexpr unsigned requestsOfGateway = 12;
constexpr unsigned models = 40;
constexpr unsigned adapters = 400;
constexpr unsigned adaptersOfEngine = 8;

/// A fleet of gateways that report in turns, while engines get orders for adapters.
class world {
public:
    explicit world(unsigned gateways)
        : m_gateways(gateways)
    {
        fleet_config config;
        service_config service;
        service.name = "desk";
        service.engine = engine_config {};
        service.engine->adapterSlots = adaptersOfEngine;
        config.services.push_back(service);
        for (int number = 0; number < 8; ++number) {
            team_config team;
            team.name = "team-" + std::to_string(number);
            team.ratePerSecond = 1e6;
            team.burst = 1e6;
            config.teams.push_back(team);
        }
        m_tested.onConfig(config, m_now);
        upstream_list list(seconds(2));
        for (unsigned engine = 0; engine < gateways * enginesPerGateway; ++engine) {
            upstream_entry entry;
            entry.id = "upstream-" + std::to_string(engine);
            entry.service = "desk";
            entry.endpoint = { "10.0.0.1", 80 };
            entry.zone = "zone-" + std::to_string(engine % 3);
            entry.models = { { "model-" + std::to_string(engine % models), {} } };
            list.onRecord({ entry.id, engine + 1, entry }, m_now);
            m_engines.push_back(entry.id);
            m_held.emplace_back();
            for (unsigned adapter = 0; adapter < adaptersOfEngine; ++adapter)
                m_held.back().push_back(adapterName());
        }
        m_tested.onUpstreams(list);
        m_tested.beginTerm(gateways, m_now);
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
            reportEngine(engine);
        for (unsigned gateway = 0; gateway < gateways; ++gateway)
            answer(gateway, true);
    }

    /// One gateway's report, and the orders that engines got since the one before.
    std::size_t step(unsigned ordersOfHundred)
    {
        m_now += std::chrono::duration_cast<monotonic_time::duration>(std::chrono::milliseconds(3));
        if (m_random() % 100 < ordersOfHundred) {
            const std::size_t engine = m_random() % m_engines.size();
            m_held[engine][m_random() % adaptersOfEngine] = adapterName();
            reportEngine(engine);
        }
        m_next = (m_next + 1) % m_gateways;
        return answer(m_next, false);
    }

    /// Tells the next gateway everything.
    std::size_t tellAll()
    {
        m_next = (m_next + 1) % m_gateways;
        return answer(m_next, true);
    }

private:
    std::string adapterName() { return "adapter-" + std::to_string(m_random() % adapters); }

    void reportEngine(std::size_t engine)
    {
        loaded_models_report report;
        report.models = { { "model-" + std::to_string(engine % models), m_held[engine] } };
        m_tested.books().at(m_engines[engine]).onReport(report, m_now, m_now);
    }

    std::size_t answer(unsigned gateway, bool wantsFullUpdate)
    {
        fleet_report report;
        report.gateway = "gateway-" + std::to_string(gateway);
        report.wantsFullUpdate = wantsFullUpdate;
        report.credit = { { "team-1", 500, 200, 0 }, { "team-2", 0, 300, 0 }, { "team-3", 0, 0, 100 } };
        for (unsigned i = 0; i < requestsOfGateway; ++i)
            report.work.push_back({ m_engines[m_random() % m_engines.size()], 1,
                static_cast<double>(m_random() % 3000), static_cast<double>(m_random() % 9000) });
        for (unsigned i = 0; i < requestsOfGateway; ++i)
            report.demand.push_back(
                { "desk", "model-" + std::to_string(m_random() % models), adapterName(), 1, 0, 300 });
        const auto read = decodeFleetMessage(encodeFleetMessage(report));
        const auto news = m_tested.onReport(std::get<fleet_report>(*read.message), m_now);
        return encodeFleetMessage(news).size();
    }

    unsigned m_gateways;
    unsigned m_next { 0 };
    std::minstd_rand m_random { 1 };
    monotonic_time m_now { seconds(100) };
    coordinator m_tested;
    std::vector<std::string> m_engines;
    std::vector<std::vector<std::string>> m_held;
};

/// Arguments: gateways, orders for adapters in a hundred reports.
void answerReports(benchmark::State& state)
{
    world tested(static_cast<unsigned>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes += tested.step(static_cast<unsigned>(state.range(1)));
    state.counters["bytes"]
        = benchmark::Counter(static_cast<double>(bytes), benchmark::Counter::kAvgIterations);
}

/// Argument: gateways.
void tellWholeLists(benchmark::State& state)
{
    world tested(static_cast<unsigned>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state)
        bytes += tested.tellAll();
    state.counters["bytes"]
        = benchmark::Counter(static_cast<double>(bytes), benchmark::Counter::kAvgIterations);
}

BENCHMARK(answerReports)->ArgsProduct({ { 30, 100, 300 }, { 0, 30 } })->Unit(benchmark::kMicrosecond);
BENCHMARK(tellWholeLists)->ArgsProduct({ { 30, 100, 300 } })->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
