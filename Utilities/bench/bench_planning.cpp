#include "Entry/plan_view_builder.h"
#include "Plan/placement_planner.h"
#include "Support/test_time.h"
#include "bench_fleet.h"

#include <benchmark/benchmark.h>
#include <map>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr double tokensPerSecond = 100;

/// \brief A planner's input: a fleet whose upstreams are all connected and report their loaded models.
struct planned_fleet {
    fleet_state state;
    plan_view_builder::load_report_map loads;
    plan_view_builder viewBuilder { {} };

    explicit planned_fleet(int percent)
        : state(bench::makeFleet(bench::sizeOf(percent)))
    {
        for (load_report& report : bench::makeReports(state))
            loads[report.upstream] = std::move(report);
        for (const auto& [key, placed] : state.placements) {
            loads[placed.upstream].residentModels.push_back(placed.model);
            loads[placed.upstream].modelUses.push_back({ placed.model, tokensPerSecond });
        }
        for (const auto& [name, record] : state.upstreams)
            viewBuilder.onLink(name, true, start);
    }
};

void lookAtFleet(benchmark::State& run)
{
    planned_fleet fleet(static_cast<int>(run.range(0)));
    for (auto _ : run)
        benchmark::DoNotOptimize(fleet.viewBuilder.makeView(fleet.state, fleet.loads, start));
}

/// A planning pass with nothing to do, or, with `lost`, one after the connection to an upstream was lost.
void planPass(benchmark::State& run, bool lost)
{
    planned_fleet fleet(static_cast<int>(run.range(0)));
    if (lost)
        fleet.viewBuilder.onLink(bench::upstreamName(0), false, start);
    const plan_view view = fleet.viewBuilder.makeView(fleet.state, fleet.loads, start + seconds(10));
    placement_planner planner({});
    std::size_t steps = 0;
    for (auto _ : run)
        steps = planner.plan(view, start + seconds(10)).size();
    run.counters["steps"] = static_cast<double>(steps);
}

BENCHMARK(lookAtFleet)->Arg(10)->Arg(50)->Arg(100)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(planPass, settled, false)->Arg(10)->Arg(50)->Arg(100)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(planPass, host_lost, true)->Arg(10)->Arg(50)->Arg(100)->Unit(benchmark::kMicrosecond);

} // namespace
