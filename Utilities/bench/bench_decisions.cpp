// Measures the cost of the decisions that a request passes, and the memory that they need. The argument is
// the fleet's size in percent of the target size; for the queue, the number of waiting requests.

#include "Limit/rate_limiter_core.h"
#include "Route/fair_queue.h"
#include "Route/router.h"
#include "Support/test_time.h"
#include "bench_fleet.h"

#include <benchmark/benchmark.h>
#include <random>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr double requestTokens = 300;

/// \brief A router that has the state and the load reports of a fleet.
struct routed_fleet {
    fleet_state_ptr state;
    router fleetRouter { "region-10000", "zone-10000", 7 };
    std::size_t bytes { 0 };

    explicit routed_fleet(int percent)
        : state(std::make_shared<const fleet_state>(bench::makeFleet(bench::sizeOf(percent))))
    {
        const std::vector<load_report> reports = bench::makeReports(*state);
        const std::size_t before = bench::heapBytes();
        fleetRouter.update(state);
        for (const load_report& report : reports)
            fleetRouter.onReport(report, start);
        for (const auto& [name, model] : state->models)
            fleetRouter.choose(requestFor(name), start);
        bytes = bench::heapBytes() - before;
    }

    static route_request requestFor(const std::string& model)
    {
        route_request request;
        request.model = model;
        request.prefixes = { 1, 2, 3, 4, 5, 6, 7, 8 };
        request.tokens = requestTokens;
        request.deadline = start + seconds(3600);
        return request;
    }
};

void routeRequest(benchmark::State& run)
{
    routed_fleet fleet(static_cast<int>(run.range(0)));
    std::vector<route_request> requests;
    for (const auto& [name, model] : fleet.state->models)
        requests.push_back(routed_fleet::requestFor(name));
    std::size_t next = 0;
    monotonic_time now = start;
    for (auto _ : run) {
        now += std::chrono::microseconds(1);
        const route_choice choice = fleet.fleetRouter.choose(requests[next], now);
        fleet.fleetRouter.onSent(choice.upstream, requestTokens, now);
        fleet.fleetRouter.onDone(choice.upstream, requestTokens, false, now);
        next = (next + 1) % requests.size();
    }
    run.counters["router_bytes"] = static_cast<double>(fleet.bytes);
}

/// Routes to a model with many copies that are all full, so that the router considers the copies beyond its
/// preferred subset.
void routeToFullCopies(benchmark::State& run)
{
    routed_fleet fleet(static_cast<int>(run.range(0)));
    for (load_report& report : bench::makeReports(*fleet.state)) {
        report.running = 2 * report.slots;
        fleet.fleetRouter.onReport(report, start);
    }
    const route_request request = routed_fleet::requestFor(bench::modelName(0));
    for (auto _ : run)
        benchmark::DoNotOptimize(fleet.fleetRouter.choose(request, start));
}

/// Routes to models without a copy; all entries of a region choose the same upstream to load such a model.
void routeToColdModels(benchmark::State& run)
{
    const bench::fleet_size size = bench::sizeOf(static_cast<int>(run.range(0)));
    fleet_state state = bench::makeFleet(size);
    state.placements.clear();
    router fleetRouter("region-10000", "zone-10000", 7);
    fleetRouter.update(std::make_shared<const fleet_state>(state));
    for (load_report& report : bench::makeReports(state)) {
        report.residentModels.clear();
        report.freeMemoryMb = std::uint64_t { 1 } << 40U;
        fleetRouter.onReport(report, start);
    }
    int next = 0;
    for (auto _ : run) {
        const route_request request = routed_fleet::requestFor(bench::modelName(next++ % size.models));
        benchmark::DoNotOptimize(fleetRouter.choose(request, start));
    }
}

void takeReport(benchmark::State& run)
{
    routed_fleet fleet(static_cast<int>(run.range(0)));
    std::vector<load_report> reports = bench::makeReports(*fleet.state);
    std::size_t next = 0;
    monotonic_time now = start;
    for (auto _ : run) {
        now += std::chrono::microseconds(1);
        reports[next].running = (reports[next].running + 1) % 8;
        fleet.fleetRouter.onReport(reports[next], now);
        next = (next + 1) % reports.size();
    }
}

void updateRouter(benchmark::State& run)
{
    routed_fleet fleet(static_cast<int>(run.range(0)));
    fleet_state changed = *fleet.state;
    changed.placements.erase(changed.placements.begin());
    const auto other = std::make_shared<const fleet_state>(changed);
    bool flip = false;
    for (auto _ : run) {
        fleet.fleetRouter.update(flip ? fleet.state : other);
        flip = !flip;
    }
}

/// \brief The rate limiter of one entry, which holds its shares of the teams' rates.
struct limited_fleet {
    fleet_state_ptr before;
    fleet_state_ptr state;
    rate_limiter_core limiter { bench::entryName(0), 1000 };
    std::size_t bytes { 0 };

    explicit limited_fleet(int percent)
    {
        const bench::fleet_size size = bench::sizeOf(percent);
        fleet_state records = bench::makeFleet(size);
        before = std::make_shared<const fleet_state>(records);
        records.pastEpochs = { records.epoch };
        records.epoch.number = 1;
        for (int entry = 0; entry < size.entries; ++entry)
            records.epoch.members.push_back(bench::entryName(entry));
        records.nextOffset = 2;
        state = std::make_shared<const fleet_state>(records);
        const std::size_t heapBefore = bench::heapBytes();
        limiter.update(before, start);
        limiter.update(state, start);
        bytes = bench::heapBytes() - heapBefore;
    }
};

/// Grants the entry all credit that it asks for, as holders with full shares do.
void grantAll(
    rate_limiter_core& limiter, const std::vector<addressed_ask>& asks, double& granted, monotonic_time now)
{
    for (const addressed_ask& each : asks) {
        granted += each.ask.tokens;
        credit_grant grant;
        grant.id = each.ask.id;
        grant.team = each.ask.team;
        grant.holder = each.holder;
        grant.epoch = each.ask.epoch;
        grant.tokens = each.ask.tokens;
        grant.grantedTotal = granted;
        grant.share = each.ask.share;
        limiter.onGrant(grant, now);
    }
}

void checkRate(benchmark::State& run)
{
    limited_fleet fleet(static_cast<int>(run.range(0)));
    std::vector<std::string> teams;
    for (const auto& [name, record] : fleet.state->teams)
        teams.push_back(name);
    std::vector<double> granted(teams.size(), 0);
    std::size_t next = 0;
    std::uint64_t admitted = 0;
    monotonic_time now = start;
    for (auto _ : run) {
        now += std::chrono::microseconds(100);
        const std::string& team = teams[next];
        if (fleet.limiter.admit(team, 300, now).admitted)
            ++admitted;
        else
            grantAll(fleet.limiter, fleet.limiter.asksForShortfall(team, 300, now), granted[next], now);
        grantAll(fleet.limiter, fleet.limiter.asksAfterAdmission(team, now), granted[next], now);
        next = (next + 1) % teams.size();
    }
    run.counters["gate_bytes"] = static_cast<double>(fleet.bytes);
    run.counters["admitted_share"] = static_cast<double>(admitted) / static_cast<double>(run.iterations());
}

void answerAsk(benchmark::State& run)
{
    limited_fleet fleet(static_cast<int>(run.range(0)));
    const bench::fleet_size size = bench::sizeOf(static_cast<int>(run.range(0)));
    std::string team;
    for (const auto& [name, record] : fleet.state->teams)
        for (const team_share& share : sharesOf(name, fleet.state->epoch.members))
            if (share.holder == bench::entryName(0))
                team = name;
    if (team.empty()) {
        run.SkipWithError("the entry holds no share");
        return;
    }
    std::uint64_t id = 10;
    int asker = 0;
    monotonic_time now = start;
    for (auto _ : run) {
        now += std::chrono::microseconds(100);
        asker = (asker + 1) % size.entries;
        const credit_ask ask { ++id, team, bench::entryName(asker) + "/1", 1, 3, 0, 1, 0, 0 };
        benchmark::DoNotOptimize(fleet.limiter.answer(ask, now));
    }
}

void updateGate(benchmark::State& run)
{
    for (auto _ : run) {
        run.PauseTiming();
        limited_fleet fleet(static_cast<int>(run.range(0)));
        fleet_state next = *fleet.state;
        next.pastEpochs.push_back(next.epoch);
        next.epoch.number = next.nextOffset++;
        next.epoch.members.pop_back();
        const auto changed = std::make_shared<const fleet_state>(next);
        run.ResumeTiming();
        fleet.limiter.update(changed, start + seconds(1));
    }
}

/// Enqueues, starts and finishes one request in a queue with the given number of waiting requests.
void queueRequest(benchmark::State& run)
{
    fair_queue queue({ 16, 100000, 0.1 });
    const auto waiting = static_cast<std::uint64_t>(run.range(0));
    std::uint64_t ticket = 0;
    const auto request = [&](monotonic_time now) {
        ++ticket;
        return queued_request { ticket, bench::teamName(static_cast<int>(ticket % 200)),
            ticket % 5 ? priority::Interactive : priority::Batch, requestTokens, now, now + seconds(36000) };
    };
    while (queue.waiting() < waiting)
        queue.offer(request(start), start);
    monotonic_time now = start;
    for (auto _ : run) {
        now += std::chrono::microseconds(10);
        queue.offer(request(now), now);
        queue.takeExpired(now);
        const auto next = queue.startNext(now);
        queue.finish(next->ticket, now);
    }
}

BENCHMARK(routeRequest)->Arg(10)->Arg(50)->Arg(100);
BENCHMARK(routeToFullCopies)->Arg(10)->Arg(50)->Arg(100);
BENCHMARK(routeToColdModels)->Arg(10)->Arg(50)->Arg(100);
BENCHMARK(takeReport)->Arg(10)->Arg(50)->Arg(100);
BENCHMARK(updateRouter)->Arg(10)->Arg(50)->Arg(100)->Unit(benchmark::kMicrosecond);
BENCHMARK(checkRate)->Arg(10)->Arg(50)->Arg(100);
BENCHMARK(answerAsk)->Arg(10)->Arg(50)->Arg(100);
BENCHMARK(updateGate)->Arg(10)->Arg(50)->Arg(100)->Unit(benchmark::kMicrosecond)->Iterations(20);
BENCHMARK(queueRequest)->Arg(10)->Arg(100)->Arg(1000);

} // namespace

BENCHMARK_MAIN();
