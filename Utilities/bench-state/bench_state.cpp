// Measures the cost of folding one record into the state, of snapshots and of side views, and the memory of
// the state. The argument is the fleet's size in tenths of the target size.
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

constexpr std::int64_t fullSize = 10;
constexpr std::int64_t modelsAtTarget = 1300;
constexpr std::int64_t upstreamsAtTarget = 5800;
constexpr std::int64_t entriesAtTarget = 350;
constexpr std::int64_t teamsAtTarget = 200;
constexpr std::int64_t keysAtTarget = 2000;

const address anyAddress { "10.0.0.1", 7000 };

api_key makeKey(std::int64_t index)
{
    std::string hash = std::to_string(index);
    hash.insert(0, 64 - hash.size(), '0');
    return { "key-" + std::to_string(index), "team-0", hash };
}

upstream makeUpstream(std::int64_t index)
{
    upstream value { "engine-host-" + std::to_string(index), upstream_kind::Engine, "region-1", "zone-1",
        anyAddress, anyAddress };
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
    const std::int64_t models = modelsAtTarget * size / fullSize;
    const std::int64_t upstreams = upstreamsAtTarget * size / fullSize;
    putAll(state, teamsAtTarget * size / fullSize, [](std::int64_t index) {
        return team { "team-" + std::to_string(index), 100, 1000 };
    });
    for (std::int64_t index = 0; index < keysAtTarget * size / fullSize; ++index) {
        const api_key key = makeKey(index);
        state.keys.emplace(key.secretSha256, key);
    }
    putAll(state, models, [](std::int64_t index) {
        return model { "model-" + std::to_string(index), 800, "" };
    });
    putAll(state, upstreams, makeUpstream);
    putAll(state, upstreams, [&](std::int64_t index) { return makePlacement(index, index % models); });
    putAll(state, upstreams, [&](std::int64_t index) { return makePlacement(index, (index + 1) % models); });
    putAll(state, entriesAtTarget * size / fullSize, [](std::int64_t index) {
        return entry_config { "entry-" + std::to_string(index), "region-1", "zone-1", anyAddress,
            anyAddress };
    });
    return state;
}

fold_result foldOnto(fleet_state&& state, const std::string& text)
{
    const std::uint64_t offset = state.nextOffset;
    return fold(std::move(state), offset, text);
}

// Folds changes of one object, each into the state that the one before left. With `copyFirst` the state is
// copied before each fold; otherwise it is changed in place.
void foldChange(benchmark::State& run, const fleet_object& object, bool copyFirst)
{
    fleet_state state = makeFleet(run.range(0));
    std::uint64_t count = 0;
    for (auto _ : run) {
        run.PauseTiming();
        change_record change { state.revision, "ann", { { object, {} } }, {} };
        const std::string text = formatRecord({ "id-" + std::to_string(count++), 2, std::move(change) });
        run.ResumeTiming();
        fold_result result
            = copyFirst ? foldOnto(fleet_state(state), text) : foldOnto(std::move(state), text);
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

void withSizes(benchmark::internal::Benchmark* measured)
{
    measured->Arg(1)->Arg(5)->Arg(10)->Unit(benchmark::kMicrosecond);
}

} // namespace

BENCHMARK(keyInPlace)->Apply(withSizes);
BENCHMARK(placementInPlace)->Apply(withSizes);
BENCHMARK(upstreamInPlace)->Apply(withSizes);
BENCHMARK(keyWithCopy)->Apply(withSizes);
BENCHMARK(placementWithCopy)->Apply(withSizes);
BENCHMARK(upstreamWithCopy)->Apply(withSizes);
BENCHMARK(snapshotWritten)->Apply(withSizes);
BENCHMARK(snapshotRead)->Apply(withSizes);
BENCHMARK(sideViewMade)->Apply(withSizes);
BENCHMARK(memoryOfState)->Apply(withSizes)->Iterations(1);

BENCHMARK_MAIN();
