// Measures what the fold of one record costs, by the size of the fleet in tenths of the target.
#include "Agree/state_replica.h"
#include "Record/log_record.h"
#include "Record/object_table.h"
#include "Record/side_view.h"
#include "Record/state_json.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace sagesaddle;

namespace {

constexpr std::int64_t tenths = 10;
constexpr std::int64_t modelsAtTarget = 1300;
constexpr std::int64_t upstreamsAtTarget = 5800;
constexpr std::int64_t entriesAtTarget = 350;
constexpr std::int64_t teamsAtTarget = 200;
constexpr std::int64_t keysAtTarget = 2000;

const address somewhere { "10.0.0.1", 7000 };

api_key makeKey(std::int64_t index)
{
    std::string hash = std::to_string(index);
    hash.insert(0, 64 - hash.size(), '0');
    return { "key-" + std::to_string(index), "team-0", hash };
}

upstream makeUpstream(std::int64_t index)
{
    upstream value { "engine-host-" + std::to_string(index), upstream_kind::Engine, "region-1", "zone-1",
        somewhere, somewhere };
    value.memoryMb = 64000;
    value.slots = 16;
    return value;
}

placement makePlacement(std::int64_t upstreamIndex, std::int64_t modelIndex)
{
    return { "model-" + std::to_string(modelIndex), "engine-host-" + std::to_string(upstreamIndex), true };
}

void putAll(fleet_state& state, std::int64_t count, const auto& make)
{
    for (std::int64_t index = 0; index < count; ++index)
        putObject(state, { make(index), {} });
}

fleet_state makeFleet(std::int64_t size)
{
    fleet_state state;
    const std::int64_t models = modelsAtTarget * size / tenths;
    const std::int64_t upstreams = upstreamsAtTarget * size / tenths;
    putAll(state, teamsAtTarget * size / tenths, [](std::int64_t index) {
        return team { "team-" + std::to_string(index), 100, 1000 };
    });
    for (std::int64_t index = 0; index < keysAtTarget * size / tenths; ++index) {
        const api_key key = makeKey(index);
        state.keys.emplace(key.secretSha256, key);
    }
    putAll(state, models, [](std::int64_t index) {
        return model { "model-" + std::to_string(index), 800, "" };
    });
    putAll(state, upstreams, makeUpstream);
    putAll(state, upstreams, [&](std::int64_t index) { return makePlacement(index, index % models); });
    putAll(state, upstreams, [&](std::int64_t index) { return makePlacement(index, (index + 1) % models); });
    putAll(state, entriesAtTarget * size / tenths, [](std::int64_t index) {
        return entry_config { "entry-" + std::to_string(index), "region-1", "zone-1", somewhere, somewhere };
    });
    return state;
}

fold_result foldOnto(fleet_state&& state, const std::string& text)
{
    const std::uint64_t offset = state.nextOffset;
    return fold(std::move(state), offset, text);
}

// Folds a change of one object again and again, each against the state as it then is.
void foldChange(benchmark::State& run, const fleet_object& object, bool copies)
{
    fleet_state state = makeFleet(run.range(0));
    std::uint64_t count = 0;
    for (auto _ : run) {
        run.PauseTiming();
        change_record change { state.revision, "ann", { { object, {} } }, {} };
        const std::string text = formatRecord({ "id-" + std::to_string(count++), 2, std::move(change) });
        run.ResumeTiming();
        fold_result result = copies ? foldOnto(fleet_state(state), text) : foldOnto(std::move(state), text);
        if (result.outcome != fold_outcome::Accepted)
            run.SkipWithError(result.reason.c_str());
        state = std::move(result.state);
    }
}

void keyInPlace(benchmark::State& run)
{
    foldChange(run, makeKey(7), false);
}
void placementInPlace(benchmark::State& run)
{
    foldChange(run, makePlacement(7, 9), false);
}
void upstreamInPlace(benchmark::State& run)
{
    foldChange(run, makeUpstream(7), false);
}
void keyWithCopy(benchmark::State& run)
{
    foldChange(run, makeKey(7), true);
}
void placementWithCopy(benchmark::State& run)
{
    foldChange(run, makePlacement(7, 9), true);
}
void upstreamWithCopy(benchmark::State& run)
{
    foldChange(run, makeUpstream(7), true);
}

void snapshotWritten(benchmark::State& run)
{
    const fleet_state state = makeFleet(run.range(0));
    std::size_t bytes = 0;
    for (auto _ : run)
        bytes = formatStateJson(state).dump().size();
    run.counters["bytes"] = static_cast<double>(bytes);
}

void snapshotRead(benchmark::State& run)
{
    const std::string text = formatStateJson(makeFleet(run.range(0))).dump();
    for (auto _ : run)
        benchmark::DoNotOptimize(parseStateJson(nlohmann::json::parse(text)));
}

void sideViewMade(benchmark::State& run)
{
    const fleet_state state = makeFleet(run.range(0));
    std::size_t bytes = 0;
    for (auto _ : run)
        bytes = formatSideView(*makeSideView(state, "engine-host-7")).size();
    run.counters["bytes"] = static_cast<double>(bytes);
}

void memoryOfState(benchmark::State& run)
{
    double bytes = 0;
    for (auto _ : run) {
        const std::size_t before = mallinfo2().uordblks;
        const fleet_state state = makeFleet(run.range(0));
        bytes = static_cast<double>(mallinfo2().uordblks - before);
        benchmark::DoNotOptimize(state);
    }
    run.counters["bytes"] = bytes;
}

void atSizes(benchmark::internal::Benchmark* measured)
{
    measured->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMicrosecond);
}

} // namespace

BENCHMARK(keyInPlace)->Apply(atSizes);
BENCHMARK(placementInPlace)->Apply(atSizes);
BENCHMARK(upstreamInPlace)->Apply(atSizes);
BENCHMARK(keyWithCopy)->Apply(atSizes);
BENCHMARK(placementWithCopy)->Apply(atSizes);
BENCHMARK(upstreamWithCopy)->Apply(atSizes);
BENCHMARK(snapshotWritten)->Apply(atSizes);
BENCHMARK(snapshotRead)->Apply(atSizes);
BENCHMARK(sideViewMade)->Apply(atSizes);
BENCHMARK(memoryOfState)->Apply(atSizes)->Iterations(1);

BENCHMARK_MAIN();
