#include "Route/router.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

#include <map>

using namespace sagesaddle;

namespace {

using testing::start;

upstream engineAt(const std::string& name, const std::string& zone)
{
    upstream value;
    value.name = name;
    value.region = "south";
    value.zone = zone;
    value.slots = 4;
    value.memoryMb = 1000;
    return value;
}

/// Four engines in two zones; the model `quote` is placed on the first three, `rare` on none.
fleet_state smallFleet()
{
    fleet_state state;
    state.models["quote"] = { "quote", 500, "" };
    state.models["rare"] = { "rare", 500, "" };
    for (const char* name : { "e1", "e2", "e3", "e4" })
        state.upstreams[name] = engineAt(name, name == std::string("e3") ? "z2" : "z1");
    for (const char* name : { "e1", "e2", "e3" })
        state.placements[{ "quote", name }] = { "quote", name, false };
    return state;
}

route_request requestFor(const std::string& model)
{
    route_request request;
    request.model = model;
    request.tokens = 100;
    request.deadline = start + seconds(3600);
    return request;
}

load_report reportOf(const std::string& name, std::uint32_t running = 0)
{
    load_report report;
    report.upstream = name;
    report.running = running;
    report.slots = 4;
    report.freeMemoryMb = 0;
    return report;
}

std::map<std::string, int> countChoices(
    router& chooser, const route_request& request, int rounds, monotonic_time now)
{
    std::map<std::string, int> counts;
    for (int round = 0; round < rounds; ++round)
        ++counts[chooser.choose(request, now).upstream];
    return counts;
}

} // namespace

TEST_CASE("router: an unknown model and a model without an upstream get different reasons")
{
    router chooser("south", "z1", 1);
    CHECK(chooser.choose(requestFor("quote"), start).reason == "unknown_model");
    fleet_state state;
    state.models["quote"] = { "quote", 500, "" };
    chooser.update(std::make_shared<const fleet_state>(state));
    const route_choice choice = chooser.choose(requestFor("quote"), start);
    CHECK(choice.reason == "no_upstream");
    CHECK(choice.retryAfterMs > 0);
    CHECK(chooser.choose(requestFor("other"), start).reason == "unknown_model");
}

TEST_CASE("router: leaving, draining, disconnected and tried upstreams get no requests")
{
    router chooser("south", "z1", 1);
    fleet_state state = smallFleet();
    state.upstreams["e1"].leaving = true;
    chooser.update(std::make_shared<const fleet_state>(state));
    load_report draining = reportOf("e2");
    draining.draining = true;
    draining.residentModels = { "quote" };
    chooser.onReport(draining, start);
    CHECK(
        countChoices(chooser, requestFor("quote"), 50, start) == std::map<std::string, int> { { "e3", 50 } });
    route_request again = requestFor("quote");
    again.tried = { "e3" };
    chooser.onLink("e4", false, start);
    CHECK(chooser.choose(again, start).upstream.empty());
    chooser.onLeaving("e3");
    CHECK(chooser.choose(requestFor("quote"), start).upstream.empty());
}

TEST_CASE("router: requests are spread by those in flight before any report arrives")
{
    router chooser("south", "z1", 1);
    chooser.update(std::make_shared<const fleet_state>(smallFleet()));
    std::map<std::string, int> sent;
    for (int request = 0; request < 90; ++request) {
        const std::string upstream = chooser.choose(requestFor("quote"), start).upstream;
        chooser.onSent(upstream, 100, start);
        ++sent[upstream];
    }
    for (const char* name : { "e1", "e2", "e3" })
        CHECK(sent[name] >= 22);
}

TEST_CASE("router: a reported load counts, and counts less as the report ages")
{
    router chooser("south", "z1", 1);
    fleet_state state = smallFleet();
    state.placements.erase({ "quote", "e3" });
    chooser.update(std::make_shared<const fleet_state>(state));
    for (const char* name : { "e1", "e2" }) {
        load_report report = reportOf(name, name == std::string("e1") ? 40 : 0);
        report.residentModels = { "quote" };
        chooser.onReport(report, start);
    }
    CHECK(countChoices(chooser, requestFor("quote"), 200, start)["e1"] < 80);
    for (int request = 0; request < 4; ++request)
        chooser.onSent("e2", 100, start);
    CHECK(countChoices(chooser, requestFor("quote"), 200, start + seconds(60))["e1"] > 120);
}

TEST_CASE("router: an upstream that fails gets a backoff, then one probe request")
{
    router chooser("south", "z1", 1);
    fleet_state state = smallFleet();
    state.placements.erase({ "quote", "e3" });
    chooser.update(std::make_shared<const fleet_state>(state));
    for (int failure = 0; failure < 3; ++failure) {
        chooser.onSent("e1", 100, start);
        chooser.onDone("e1", 100, true, start);
    }
    CHECK(countChoices(chooser, requestFor("quote"), 100, start).count("e1") == 0);
    const monotonic_time later = start + seconds(11);
    CHECK(countChoices(chooser, requestFor("quote"), 100, later).count("e1") == 1);
    chooser.onSent("e1", 100, later);
    CHECK(countChoices(chooser, requestFor("quote"), 100, later).count("e1") == 0);
    chooser.onDone("e1", 100, false, later);
    CHECK(countChoices(chooser, requestFor("quote"), 100, later).count("e1") == 1);
}

TEST_CASE("router: an upstream that answers slowly gets fewer requests")
{
    router chooser("south", "z1", 1);
    fleet_state state = smallFleet();
    state.placements.erase({ "quote", "e3" });
    chooser.update(std::make_shared<const fleet_state>(state));
    for (int answer = 0; answer < 20; ++answer) {
        chooser.onSent("e1", 100, start);
        chooser.onSent("e2", 100, start);
        chooser.onDone("e2", 100, false, start + milliseconds(100));
        chooser.onDone("e1", 100, false, start + milliseconds(1000));
    }
    const auto counts = countChoices(chooser, requestFor("quote"), 200, start + seconds(1));
    CHECK(counts.at("e2") > 2 * counts.at("e1"));
}

TEST_CASE(
    "router: a cached prefix attracts requests, and a model without a copy is loaded where memory is free")
{
    router chooser("south", "z1", 1);
    chooser.update(std::make_shared<const fleet_state>(smallFleet()));
    for (const char* name : { "e1", "e2" }) {
        load_report report = reportOf(name);
        report.residentModels = { "quote" };
        report.cachedPrefixes
            = name == std::string("e1") ? std::vector<std::uint64_t> { 9, 7 } : std::vector<std::uint64_t> {};
        chooser.onReport(report, start);
    }
    route_request request = requestFor("quote");
    request.prefixes = { 7, 9 };
    CHECK(chooser.choose(request, start) == route_choice { "e1", "prefix", 0 });
    load_report roomy = reportOf("e4");
    roomy.freeMemoryMb = 600;
    chooser.onReport(roomy, start);
    CHECK(chooser.choose(requestFor("rare"), start) == route_choice { "e4", "cold_load", 0 });
}

TEST_CASE("router: an instance of a service is chosen by the name of the service")
{
    router chooser("south", "z1", 1);
    fleet_state state;
    state.upstreams["l1"] = engineAt("l1", "z1");
    state.upstreams["l1"].kind = upstream_kind::Service;
    state.upstreams["l1"].service = "ledger";
    chooser.update(std::make_shared<const fleet_state>(state));
    route_request request;
    request.service = "ledger";
    request.deadline = start + seconds(1);
    CHECK(chooser.choose(request, start).upstream == "l1");
    CHECK(chooser.choose(request, start + seconds(1)).reason == "deadline");
}

namespace {

/// \return a state with engines that hold no model.
fleet_state enginesWithoutCopies(int engines)
{
    fleet_state state;
    state.models["rare"] = { "rare", 500, "" };
    for (int index = 0; index < engines; ++index) {
        const std::string name = "e" + std::to_string(index);
        state.upstreams[name] = engineAt(name, "z1");
    }
    return state;
}

void reportFreeMemory(router& chooser, const fleet_state& state, std::uint64_t freeMb)
{
    for (const auto& [name, record] : state.upstreams) {
        load_report report = reportOf(name);
        report.freeMemoryMb = freeMb;
        chooser.onReport(report, start);
    }
}

} // namespace

TEST_CASE("router: all entries send requests for a cold model to one engine, also while it loads")
{
    const fleet_state state = enginesWithoutCopies(20);
    std::map<std::string, int> targets;
    for (std::uint64_t entry = 0; entry < 8; ++entry) {
        router chooser("south", "z1", entry);
        chooser.update(std::make_shared<const fleet_state>(state));
        reportFreeMemory(chooser, state, 600);
        for (const auto& [name, count] : countChoices(chooser, requestFor("rare"), 10, start))
            targets[name] += count;
        load_report loading = reportOf(targets.begin()->first);
        loading.loadingModels = { "rare" };
        chooser.onReport(loading, start);
        const route_choice next = chooser.choose(requestFor("rare"), start);
        CHECK(next == route_choice { targets.begin()->first, "loading", 0 });
    }
    CHECK(targets.size() == 1);
}

TEST_CASE("router: a request that must not cause a load gets no upstream where no copy is ready")
{
    router chooser("south", "z1", 1);
    const fleet_state state = enginesWithoutCopies(3);
    chooser.update(std::make_shared<const fleet_state>(state));
    reportFreeMemory(chooser, state, 600);
    route_request request = requestFor("rare");
    request.mayLoad = false;
    CHECK(chooser.choose(request, start).upstream.empty());
    CHECK(chooser.choose(request, start).reason == "model_loading");
}

TEST_CASE("router: a copy in a short backoff is not replaced by a load, a disconnected copy is")
{
    router chooser("south", "z1", 1);
    fleet_state state = enginesWithoutCopies(3);
    state.placements[{ "rare", "e0" }] = { "rare", "e0", true };
    chooser.update(std::make_shared<const fleet_state>(state));
    reportFreeMemory(chooser, state, 600);
    load_report resident = reportOf("e0");
    resident.residentModels = { "rare" };
    chooser.onReport(resident, start);
    chooser.onSent("e0", 100, start);
    chooser.onDone("e0", 100, true, start);
    const route_choice inBackoff = chooser.choose(requestFor("rare"), start);
    CHECK(inBackoff.reason == "no_upstream");
    CHECK(inBackoff.retryAfterMs <= 100);
    chooser.onLink("e0", false, start);
    CHECK(chooser.choose(requestFor("rare"), start).reason == "cold_load");
}

TEST_CASE("router: a late answer is a failure only where nothing else was answered meanwhile")
{
    for (const bool answeredMeanwhile : { true, false }) {
        router chooser("south", "z1", 1);
        fleet_state state = enginesWithoutCopies(1);
        state.placements[{ "rare", "e0" }] = { "rare", "e0", true };
        chooser.update(std::make_shared<const fleet_state>(state));
        chooser.onSent("e0", 100, start);
        if (answeredMeanwhile) {
            chooser.onSent("e0", 100, start);
            chooser.onDone("e0", 100, false, start + seconds(1));
        }
        chooser.onDeadlinePassed("e0", 100, start, start + seconds(2));
        CHECK((chooser.choose(requestFor("rare"), start + seconds(2)).upstream == "e0") == answeredMeanwhile);
    }
}

TEST_CASE("router: all adapters of a base model that is not loaded go to the engine that loads it")
{
    router chooser("south", "z1", 1);
    fleet_state state = enginesWithoutCopies(20);
    std::map<std::string, int> targets;
    for (const char* name : { "a1", "a2", "a3", "a4" })
        state.models[name] = { name, 10, "rare" };
    chooser.update(std::make_shared<const fleet_state>(state));
    reportFreeMemory(chooser, state, 600);
    for (const char* name : { "a1", "a2", "a3" })
        ++targets[chooser.choose(requestFor(name), start).upstream];
    REQUIRE(targets.size() == 1);
    load_report loading = reportOf(targets.begin()->first);
    loading.loadingModels = { "rare" };
    chooser.onReport(loading, start);
    CHECK(chooser.choose(requestFor("a4"), start)
        == route_choice { targets.begin()->first, "adapter_load", 0 });
}

TEST_CASE("router: an upstream that can be reached again is probed at once")
{
    router chooser("south", "z1", 1);
    fleet_state state = enginesWithoutCopies(1);
    state.placements[{ "rare", "e0" }] = { "rare", "e0", true };
    chooser.update(std::make_shared<const fleet_state>(state));
    for (int failure = 0; failure < 8; ++failure) {
        chooser.onSent("e0", 100, start);
        chooser.onDone("e0", 100, true, start);
    }
    const monotonic_time later = start + seconds(1);
    CHECK(chooser.choose(requestFor("rare"), later).upstream.empty());
    chooser.onLink("e0", false, later);
    chooser.onLink("e0", true, later);
    CHECK(chooser.choose(requestFor("rare"), later).upstream == "e0");
}

TEST_CASE("router: where no memory is free, a cold model goes to a large enough engine, which may evict")
{
    router chooser("south", "z1", 1);
    fleet_state state = enginesWithoutCopies(4);
    state.upstreams["e0"].memoryMb = 400;
    chooser.update(std::make_shared<const fleet_state>(state));
    reportFreeMemory(chooser, state, 0);
    route_request request = requestFor("rare");
    for (int attempt = 0; attempt < 3; ++attempt) {
        const route_choice choice = chooser.choose(request, start);
        CHECK(choice.reason == "cold_load");
        CHECK(choice.upstream != "e0");
        request.tried.insert(choice.upstream);
    }
    CHECK(chooser.choose(request, start).reason == "no_upstream");
}
