#include "measure_fleet.h"

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
// Tokens a second: about the least asked of a base model in the traces.
constexpr int spreadFrom = 20;

std::string modelName(std::size_t index)
{
    return "model-" + std::to_string(index);
}

std::string adapterName(std::size_t index)
{
    return "adapter-" + std::to_string(index);
}

// Models that are pinned on an engine: an adapter beside its base model.
std::vector<model> pinnedOn(const deployment& of, std::size_t engine)
{
    std::vector<model> pinned;
    for (std::size_t i = engine; i < of.models; i += of.engines)
        pinned.push_back({ modelName(i), modelMemoryMb, "" });
    if (of.models == 0)
        return pinned;
    for (std::size_t i = 0; i < of.adapters; ++i) {
        const std::size_t base = i % of.models;
        if (base % of.engines == engine)
            pinned.push_back({ adapterName(i), adapterMemoryMb, modelName(base) });
    }
    return pinned;
}

void declare(testing::fleet_records& records, const deployment& of, const trace& given)
{
    for (const traced_team& team : given.teams)
        records.addTeam(team.name, team.rate, team.burst);
    records.models.clear();
    records.placements.clear();
    std::size_t engine = 0;
    for (upstream& value : records.upstreams) {
        if (value.kind != upstream_kind::Engine)
            continue;
        value.slots = engineBatch;
        for (const model& wanted : pinnedOn(of, engine)) {
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

measure_fleet::measure_fleet(const deployment& of, const trace& given, bool baseline)
    : m_of(of)
    , m_storeAddress(testing::freeAddress())
    , m_folder(std::make_unique<testing::temp_folder>())
{
    const std::vector<std::string> store { std::string(SAGESADDLE_BIN) + "/fake-store", "--listen",
        formatAddress(m_storeAddress), "--loads-per-second", std::to_string(of.storeLoadsPerSecond),
        "--at-once", std::to_string(of.storeAtOnce), "--load-ms", std::to_string(storeLoadMs) };
    m_store = std::make_unique<testing::child_process>(store, m_folder->path() / "store.log");
    m_fleet = std::make_unique<testing::fleet>(planOf(of, given, baseline));
}

testing::fleet_options measure_fleet::planOf(const deployment& of, const trace& given, bool baseline) const
{
    testing::fleet_options plan;
    plan.entries = entryCount;
    plan.engines = of.engines;
    plan.services = of.services;
    plan.engineMemoryMb = engineMemoryMb;
    plan.engineOptions = { "--batch", std::to_string(engineBatch), "--tokens-per-second",
        std::to_string(tokensPerSecond), "--store", formatAddress(m_storeAddress) };
    plan.optionsOfEngine = [of](std::size_t engine) {
        std::vector<std::string> options;
        for (const model& pinned : pinnedOn(of, engine)) {
            options.emplace_back("--preload");
            options.push_back(pinned.name + "=" + std::to_string(pinned.memoryMb));
        }
        return options;
    };
    plan.adjustRecords = [of, given](testing::fleet_records& records) { declare(records, of, given); };
    if (baseline) {
        plan.entrySettings = "[baseline]\nrates = \"static\"\nrouting = \"round_robin\"\n"
                             "placement = \"static\"\n";
        plan.sideSettings = "[baseline]\nqueue = \"fifo\"\n";
    } else {
        plan.entrySettings = "[planner]\nspread_from_tokens_per_s = " + std::to_string(spreadFrom) + "\n";
    }
    return plan;
}

fleet_counts measure_fleet::counts()
{
    fleet_counts result;
    for (std::size_t i = 0; i < m_of.engines; ++i) {
        testing::fleet_member& engine = m_fleet->engine(i);
        if (!engine.process->isRunning())
            continue;
        const auto stats = testing::getJson(engine.listen, "/admin/stats");
        result.moves += sumOf(stats.at("loads"));
        result.overcommits += stats.at("peak_memory_mb") > stats.at("memory_total_mb") ? 1 : 0;
    }
    std::map<std::string, std::uint64_t> executions;
    for (std::size_t i = 0; i < m_of.services; ++i) {
        const auto stats = testing::getJson(m_fleet->service(i).listen, "/admin/executions");
        for (const auto& [key, count] : stats.at("by_key").items())
            executions[key] += count.get<std::uint64_t>();
    }
    result.executedTwice = static_cast<std::uint64_t>(std::count_if(
        executions.begin(), executions.end(), [](const auto& entry) { return entry.second > 1; }));
    return result;
}

} // namespace sagesaddle::measure
