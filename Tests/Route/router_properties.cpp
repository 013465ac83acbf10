#include "Route/router.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace sagesaddle;

namespace {

using testing::start;
const std::vector<std::string> modelNames { "m0", "m1", "m2", "a0", "a1" };
constexpr int upstreamCount = 60;

std::string upstreamName(int index)
{
    return "u" + std::to_string(index);
}

/// \brief Reference model: keeps the inputs of a router, and finds the allowed upstreams by a full scan.
struct reference_router {
    fleet_state state;
    std::map<std::string, load_report> reports;
    std::set<std::string> down;
    std::set<std::string> leaving;

    bool acceptsRequests(const std::string& name, const route_request& request) const
    {
        const auto record = state.upstreams.find(name);
        const auto report = reports.find(name);
        return record != state.upstreams.end() && !record->second.leaving && !down.contains(name)
            && !leaving.contains(name) && (report == reports.end() || !report->second.draining)
            && !request.tried.contains(name);
    }

    bool isResident(const std::string& model, const std::string& name) const
    {
        const auto report = reports.find(name);
        return report != reports.end() && std::ranges::count(report->second.residentModels, model) > 0;
    }

    std::set<std::string> ready(const std::string& model, const route_request& request) const
    {
        std::set<std::string> names;
        for (const auto& [name, record] : state.upstreams) {
            const bool assumeReady = state.placements.contains({ model, name }) && !reports.contains(name);
            if (acceptsRequests(name, request) && (isResident(model, name) || assumeReady))
                names.insert(name);
        }
        return names;
    }

    bool isLoading(const std::string& model, const std::string& name) const
    {
        const auto report = reports.find(name);
        return report != reports.end() && std::ranges::count(report->second.loadingModels, model) > 0
            && !isResident(model, name);
    }

    std::set<std::string> loading(const std::string& model, const route_request& request) const
    {
        std::set<std::string> names;
        for (const auto& [name, report] : reports)
            if (acceptsRequests(name, request) && isLoading(model, name))
                names.insert(name);
        return names;
    }

    std::set<std::string> placed(const std::string& model, const route_request& request) const
    {
        std::set<std::string> names;
        for (const auto& [name, record] : state.upstreams)
            if (acceptsRequests(name, request) && state.placements.contains({ model, name }))
                names.insert(name);
        return names;
    }

    std::set<std::string> withFreeMemory(std::uint64_t memoryMb, const route_request& request) const
    {
        std::set<std::string> names;
        for (const auto& [name, report] : reports)
            if (acceptsRequests(name, request) && state.upstreams.at(name).kind == upstream_kind::Engine
                && report.freeMemoryMb >= memoryMb)
                names.insert(name);
        return names;
    }

    std::set<std::string> withTotalMemory(std::uint64_t memoryMb, const route_request& request) const
    {
        std::set<std::string> names;
        for (const auto& [name, record] : state.upstreams)
            if (acceptsRequests(name, request) && record.kind == upstream_kind::Engine
                && record.memoryMb >= memoryMb)
                names.insert(name);
        return names;
    }

    /// \return the first set that is not empty, in the router's order of preference.
    std::set<std::string> allowed(const route_request& request) const
    {
        const auto record = state.models.find(request.model);
        if (record == state.models.end())
            return {};
        std::uint64_t memoryMb = record->second.memoryMb;
        const auto base = state.models.find(record->second.base);
        std::vector<std::set<std::string>> preferences { ready(request.model, request),
            loading(request.model, request), placed(request.model, request) };
        if (base != state.models.end()) {
            preferences.push_back(ready(base->first, request));
            preferences.push_back(loading(base->first, request));
            memoryMb += base->second.memoryMb;
        }
        if (request.mayLoad) {
            preferences.push_back(withFreeMemory(memoryMb, request));
            preferences.push_back(withTotalMemory(memoryMb, request));
        }
        const auto best = std::ranges::find_if(preferences, [](const auto& names) { return !names.empty(); });
        return best == preferences.end() ? std::set<std::string> {} : *best;
    }
};

load_report anyReport(const std::string& name)
{
    load_report report;
    report.upstream = name;
    report.queued = *rc::gen::inRange(0, 6);
    report.running = *rc::gen::inRange(0, 4);
    report.freeMemoryMb = *rc::gen::inRange<std::uint64_t>(0, 1000);
    report.draining = *rc::gen::inRange(0, 8) == 0;
    for (const std::string& model : modelNames)
        if (*rc::gen::inRange(0, 3) == 0)
            report.residentModels.push_back(model);
    for (const std::string& model : modelNames)
        if (*rc::gen::inRange(0, 20) == 0)
            report.loadingModels.push_back(model);
    return report;
}

upstream anyUpstream(const std::string& name)
{
    upstream record;
    record.name = name;
    record.region = *rc::gen::element<std::string>("r1", "r2");
    record.zone = *rc::gen::element<std::string>("z1", "z2");
    record.slots = *rc::gen::inRange<std::uint32_t>(1, 5);
    record.memoryMb = *rc::gen::inRange<std::uint64_t>(0, 1200);
    record.leaving = *rc::gen::inRange(0, 8) == 0;
    return record;
}

void changeRecords(fleet_state& state, const std::string& name)
{
    const std::string model = *rc::gen::elementOf(modelNames);
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        state.upstreams.erase(name);
        break;
    case 1:
        state.placements[{ model, name }] = { model, name, false };
        break;
    case 2:
        state.placements.erase({ model, name });
        break;
    case 3:
        state.models[model]
            = { model, *rc::gen::inRange<std::uint64_t>(1, 900), model[0] == 'a' ? "m0" : "" };
        break;
    default:
        state.upstreams[name] = anyUpstream(name);
    }
}

void applyRandomEvent(router& chooser, reference_router& reference, monotonic_time now)
{
    const std::string name = upstreamName(*rc::gen::inRange(0, upstreamCount));
    const bool known = reference.state.upstreams.contains(name);
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        if (known && *rc::gen::inRange(0, 4) == 0) {
            reference.leaving.insert(name);
            chooser.onLeaving(name);
        }
        break;
    case 1: {
        const bool up = *rc::gen::arbitrary<bool>();
        up ? reference.down.erase(name) : reference.down.insert(name).second;
        chooser.onLink(name, up, now);
        break;
    }
    case 2:
    case 3:
        if (known) {
            reference.reports[name] = anyReport(name);
            chooser.onReport(reference.reports[name], now);
        }
        break;
    default:
        changeRecords(reference.state, name);
        std::erase_if(reference.leaving,
            [&](const auto& leaving) { return !reference.state.upstreams.contains(leaving); });
        chooser.update(std::make_shared<const fleet_state>(reference.state));
    }
}

} // namespace

TEST_CASE("router property: the router chooses from the set that a full scan allows")
{
    const bool holds = rc::check([] {
        router chooser("r1", "z1", *rc::gen::arbitrary<std::uint64_t>());
        reference_router reference;
        monotonic_time now = start;
        for (int step = *rc::gen::inRange(0, 400); step > 0; --step, now += milliseconds(10)) {
            applyRandomEvent(chooser, reference, now);
            route_request request;
            request.model = *rc::gen::elementOf(modelNames);
            request.tokens = 100;
            request.deadline = now + seconds(10);
            request.mayLoad = *rc::gen::inRange(0, 4) > 0;
            for (int tried = *rc::gen::inRange(0, 3); tried > 0; --tried)
                request.tried.insert(upstreamName(*rc::gen::inRange(0, upstreamCount)));
            const route_choice choice = chooser.choose(request, now);
            const std::set<std::string> allowed = reference.allowed(request);
            if (!choice.upstream.empty())
                RC_ASSERT(allowed.contains(choice.upstream));
            else
                RC_ASSERT(allowed.empty());
            RC_ASSERT((choice.reason == "unknown_model") == !reference.state.models.contains(request.model));
            if (!choice.upstream.empty())
                chooser.onSent(choice.upstream, request.tokens, now);
            if (!choice.upstream.empty() && *rc::gen::arbitrary<bool>())
                chooser.onDone(choice.upstream, request.tokens, false, now);
        }
    });
    CHECK(holds);
}

namespace {

/// \return a state with one model and the given number of copies in one zone.
fleet_state modelWithCopies(int copies)
{
    fleet_state state;
    state.models["m0"] = { "m0", 100, "" };
    for (int index = 0; index < copies; ++index) {
        upstream record;
        record.name = upstreamName(index);
        record.region = "r1";
        record.zone = "z1";
        record.slots = 8;
        state.upstreams[record.name] = record;
        state.placements[{ "m0", record.name }] = { "m0", record.name, false };
    }
    return state;
}

route_request requestAt(monotonic_time now)
{
    route_request request;
    request.model = "m0";
    request.tokens = 100;
    request.deadline = now + seconds(10);
    return request;
}

load_report reportOf(int index, int running)
{
    load_report report;
    report.upstream = upstreamName(index);
    report.running = static_cast<std::uint32_t>(running);
    report.residentModels = { "m0" };
    return report;
}

/// Sends requests from many entries between two load reports.
/// \param byReportOnly sends all of them to the upstream that was reported idle, without the router
/// \return the most requests that any upstream got
int mostRequestsOnOneUpstream(bool byReportOnly)
{
    constexpr int entries = 20;
    constexpr int copies = 8;
    const auto state = std::make_shared<const fleet_state>(modelWithCopies(copies));
    std::map<std::string, int> requestsByUpstream;
    for (int entry = 0; entry < entries; ++entry) {
        router chooser("r1", "z1", static_cast<std::uint64_t>(entry));
        chooser.update(state);
        for (int index = 0; index < copies; ++index)
            chooser.onReport(reportOf(index, index == 3 ? 0 : 4), start);
        for (int request = 0; request < 4; ++request) {
            const std::string chosen
                = byReportOnly ? upstreamName(3) : chooser.choose(requestAt(start), start).upstream;
            chooser.onSent(chosen, 100, start);
            ++requestsByUpstream[chosen];
        }
    }
    return std::ranges::max_element(requestsByUpstream, {}, [](const auto& count) {
        return count.second;
    })->second;
}

} // namespace

TEST_CASE("router property: entries do not all flood the upstream that the last report showed idle")
{
    const int byReport = mostRequestsOnOneUpstream(true);
    const int chosen = mostRequestsOnOneUpstream(false);
    MESSAGE(
        "of 80 requests the most that one upstream got: " << chosen << ", by the report alone: " << byReport);
    CHECK(byReport == 80);
    CHECK(chosen <= 80 / 2);
}

TEST_CASE("router property: the subsets of many entries cover all copies evenly")
{
    constexpr int entries = 350;
    constexpr int copies = 100;
    const auto state = std::make_shared<const fleet_state>(modelWithCopies(copies));
    std::map<std::string, int> requestsByUpstream;
    for (int entry = 0; entry < entries; ++entry) {
        router chooser("r1", "z1", static_cast<std::uint64_t>(entry) * 7919);
        chooser.update(state);
        for (int request = 0; request < 16; ++request) {
            const std::string chosen = chooser.choose(requestAt(start), start).upstream;
            chooser.onSent(chosen, 100, start);
            ++requestsByUpstream[chosen];
        }
    }
    const double mean = 16.0 * entries / copies;
    CHECK(requestsByUpstream.size() == copies);
    for (const auto& [name, count] : requestsByUpstream) {
        CHECK(count > mean / 3);
        CHECK(count < mean * 2);
    }
}
