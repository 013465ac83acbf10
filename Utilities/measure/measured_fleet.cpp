#include "measured_fleet.h"

#include "Support/calls.h"
#include "Support/free_port.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagesaddle::measure {

namespace {

constexpr std::uint64_t engineMemoryMb = 64000;
constexpr std::uint64_t modelMemoryMb = 16000;
constexpr std::uint64_t adapterMemoryMb = 200;
constexpr std::uint32_t engineBatch = 8;
constexpr std::uint32_t tokensPerSecond = 100;
constexpr std::uint32_t storeLoadMs = 1500;
// About the lowest demand for a base model in the workloads.
constexpr int spreadFromTokensPerSecond = 20;

std::string modelName(std::size_t index)
{
    return "model-" + std::to_string(index);
}

std::string adapterName(std::size_t index)
{
    return "adapter-" + std::to_string(index);
}

// Returns the models that are pinned on an engine; an adapter is pinned where its base model is.
std::vector<model> pinnedModels(const deployment& sizes, std::size_t engine)
{
    std::vector<model> pinned;
    for (std::size_t i = engine; i < sizes.models; i += sizes.engines)
        pinned.push_back({ modelName(i), modelMemoryMb, "" });
    if (sizes.models == 0)
        return pinned;
    for (std::size_t i = 0; i < sizes.adapters; ++i) {
        const std::size_t base = i % sizes.models;
        if (base % sizes.engines == engine)
            pinned.push_back({ adapterName(i), adapterMemoryMb, modelName(base) });
    }
    return pinned;
}

void declareWorkload(testing::fleet_records& records, const deployment& sizes, const workload& load)
{
    for (const workload_team& team : load.teams)
        records.addTeam(team.name, team.rate, team.burst);
    records.models.clear();
    records.placements.clear();
    std::size_t engine = 0;
    for (upstream& value : records.upstreams) {
        if (value.kind != upstream_kind::Engine)
            continue;
        value.slots = engineBatch;
        for (const model& wanted : pinnedModels(sizes, engine)) {
            records.models.push_back(wanted);
            records.placements.push_back({ wanted.name, value.name, true });
        }
        ++engine;
    }
}

std::uint64_t sumOf(const nlohmann::json& counts)
{
    std::uint64_t sum = 0;
    for (const auto& [name, count] : counts.items())
        sum += count.get<std::uint64_t>();
    return sum;
}

} // namespace

measured_fleet::measured_fleet(const deployment& sizes, const workload& load, bool baseline)
    : m_sizes(sizes)
    , m_storeAddress(testing::freeAddress())
    , m_folder(std::make_unique<testing::temp_folder>())
{
    const std::vector<std::string> store { std::string(SAGESADDLE_BIN) + "/fake-store", "--listen",
        formatAddress(m_storeAddress), "--loads-per-second", std::to_string(sizes.storeLoadsPerSecond),
        "--at-once", std::to_string(sizes.storeAtOnce), "--load-ms", std::to_string(storeLoadMs) };
    m_store = std::make_unique<testing::child_process>(store, m_folder->path() / "store.log");
    m_fleet = std::make_unique<testing::fleet>(makePlan(sizes, load, baseline));
}

testing::fleet_options measured_fleet::makePlan(
    const deployment& sizes, const workload& load, bool baseline) const
{
    testing::fleet_options plan;
    plan.entries = entryCount;
    plan.engines = sizes.engines;
    plan.services = sizes.services;
    plan.engineMemoryMb = engineMemoryMb;
    plan.engineOptions = { "--batch", std::to_string(engineBatch), "--tokens-per-second",
        std::to_string(tokensPerSecond), "--store", formatAddress(m_storeAddress) };
    plan.optionsOfEngine = [sizes](std::size_t engine) {
        std::vector<std::string> options;
        for (const model& pinned : pinnedModels(sizes, engine)) {
            options.emplace_back("--preload");
            options.push_back(pinned.name + "=" + std::to_string(pinned.memoryMb));
        }
        return options;
    };
    plan.adjustRecords
        = [sizes, load](testing::fleet_records& records) { declareWorkload(records, sizes, load); };
    if (baseline) {
        plan.entrySettings = "[baseline]\nrates = \"static\"\nrouting = \"round_robin\"\n"
                             "placement = \"static\"\n";
        plan.sideSettings = "[baseline]\nqueue = \"fifo\"\n";
    } else {
        plan.entrySettings
            = "[planner]\nspread_from_tokens_per_s = " + std::to_string(spreadFromTokensPerSecond) + "\n";
    }
    return plan;
}

fleet_counts measured_fleet::counts()
{
    fleet_counts result;
    for (std::size_t i = 0; i < m_sizes.engines; ++i) {
        testing::fleet_member& engine = m_fleet->engine(i);
        if (!engine.process->isRunning())
            continue;
        const auto stats = testing::getJson(engine.listen, "/admin/stats");
        result.moves += sumOf(stats.at("loads"));
        result.overcommits += stats.at("peak_memory_mb") > stats.at("memory_total_mb") ? 1 : 0;
    }
    std::map<std::string, std::uint64_t> executions;
    for (std::size_t i = 0; i < m_sizes.services; ++i) {
        const auto stats = testing::getJson(m_fleet->service(i).listen, "/admin/executions");
        for (const auto& [key, count] : stats.at("by_key").items())
            executions[key] += count.get<std::uint64_t>();
    }
    result.executedTwice = static_cast<std::uint64_t>(std::count_if(
        executions.begin(), executions.end(), [](const auto& entry) { return entry.second > 1; }));
    return result;
}

} // namespace sagesaddle::measure
