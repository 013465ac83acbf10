#include "bench_fleet.h"

#include <algorithm>
#include <malloc.h>
#include <map>

namespace sagesaddle::bench {

namespace {

constexpr fleet_size targetSize { 1300, 5800, 350, 13, 200 };
constexpr int regions = 6;
/// Copies of most models.
constexpr int usualCopies = 4;
/// One model in 50 is hot and has more copies.
constexpr int hotModelEvery = 50;
constexpr int hotCopies = 120;

int scaled(int whole, int percent)
{
    return std::max(1, whole * percent / 100);
}

std::string numberedName(const char* prefix, int index)
{
    return prefix + std::to_string(10000 + index);
}

upstream makeUpstream(int index, const fleet_size& size)
{
    upstream record;
    record.name = upstreamName(index);
    const int zone = index % size.zones;
    record.region = numberedName("region-", zone % std::min(size.zones, regions));
    record.zone = numberedName("zone-", zone);
    record.memoryMb = 80000;
    record.slots = 16;
    return record;
}

} // namespace

fleet_size sizeOf(int percent)
{
    return { scaled(targetSize.models, percent), scaled(targetSize.upstreams, percent),
        scaled(targetSize.entries, percent), scaled(targetSize.zones, percent),
        scaled(targetSize.teams, percent) };
}

std::string modelName(int index)
{
    return numberedName("model-", index);
}
std::string upstreamName(int index)
{
    return numberedName("upstream-", index);
}
std::string entryName(int index)
{
    return numberedName("entry-", index);
}
std::string teamName(int index)
{
    return numberedName("team-", index);
}

fleet_state makeFleet(const fleet_size& size)
{
    fleet_state state;
    for (int index = 0; index < size.upstreams; ++index)
        state.upstreams[upstreamName(index)] = makeUpstream(index, size);
    int next = 0;
    for (int index = 0; index < size.models; ++index) {
        state.models[modelName(index)] = { modelName(index), 16000, "" };
        const int copies = index % hotModelEvery == 0 ? std::min(hotCopies, size.upstreams) : usualCopies;
        for (int copy = 0; copy < copies; ++copy, next = (next + 1) % size.upstreams)
            state.placements[{ modelName(index), upstreamName(next) }]
                = { modelName(index), upstreamName(next), copy == 0 };
    }
    for (int index = 0; index < size.teams; ++index)
        state.teams[teamName(index)] = { teamName(index), 1e8, 4e9, priority::Interactive };
    for (int index = 0; index < size.entries; ++index)
        state.entries[entryName(index)] = { entryName(index), "region-10000", "zone-10000", {}, {} };
    state.nextOffset = 1;
    return state;
}

std::vector<load_report> makeReports(const fleet_state& state)
{
    std::map<std::string, load_report> reports;
    for (const auto& [name, record] : state.upstreams) {
        load_report& report = reports[name];
        report.upstream = name;
        report.running = 3;
        report.slots = record.slots;
        report.freeMemoryMb = 8000;
        for (std::uint64_t prefix = 0; prefix < 64; ++prefix)
            report.cachedPrefixes.push_back(prefix * 7919 + reports.size());
    }
    for (const auto& [key, placed] : state.placements)
        reports[placed.upstream].residentModels.push_back(placed.model);
    std::vector<load_report> list;
    list.reserve(reports.size());
    for (auto& [name, report] : reports)
        list.push_back(std::move(report));
    return list;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

} // namespace sagesaddle::bench
