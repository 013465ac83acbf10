#include "Gateway/coordinator.h"
#include "Limit/credit_cache.h"
#include "Support/test_time.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <optional>
#include <set>

using namespace sagesaddle;

namespace {

using testing::start;

upstream_list listOf(const std::vector<std::string>& ids, std::uint64_t offset)
{
    upstream_list list(seconds(2));
    for (const auto& id : ids) {
        upstream_entry entry;
        entry.id = id;
        entry.service = "desk";
        entry.endpoint = { "10.0.0.1", 80 };
        entry.models = { { "m0", {} } };
        list.onRecord({ id, offset++, entry }, start);
    }
    return list;
}

std::vector<std::string> namesOf(int upstreams)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(upstreams));
    for (int index = 0; index < upstreams; ++index)
        names.push_back("i-" + std::to_string(1000000 + index));
    return names;
}

/// \return a configuration with the team `atelier`, whose burst is a second of its rate.
fleet_config configWithTeam(double ratePerSecond)
{
    team_config team;
    team.name = "atelier";
    team.ratePerSecond = team.burst = ratePerSecond;
    fleet_config config;
    config.teams.push_back(team);
    return config;
}

fleet_report reportOf(const std::string& gateway, bool wantsFullUpdate = false)
{
    fleet_report report;
    report.gateway = gateway;
    report.wantsFullUpdate = wantsFullUpdate;
    return report;
}

} // namespace

TEST_CASE("coordinator: the gateways' samples are pooled to one time factor for each upstream")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "a", "b" }, 1), start);
    tested.beginTerm(2, start);
    for (const char* gateway : { "g1", "g2" }) {
        auto report = reportOf(gateway, true);
        report.times = { { "a", { 3000, 2000 } }, { "b", { 1000, 2000 } }, { "unlisted", { 1, 1 } } };
        tested.onReport(report, start);
    }
    // A gateway that is new or lost its connection is told all factors, and then only changes.
    const auto factors = tested.onReport(reportOf("g3", true), start + milliseconds(200)).timeFactors;
    REQUIRE(factors.size() == 2);
    CHECK(factors[0].factor == doctest::Approx(1.45).epsilon(0.05));
    CHECK(factors[1].factor == doctest::Approx(0.55).epsilon(0.1));
    CHECK(tested.onReport(reportOf("g3"), start + milliseconds(210)).timeFactors.empty());
    CHECK(tested.onReport(reportOf("g3", true), start + milliseconds(220)).timeFactors.size() == 2);
}

TEST_CASE("coordinator: a gateway is told the whole list once and then what changed")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "a", "b" }, 1), start);
    auto update = tested.onReport(reportOf("g1", true), start);
    CHECK(update.isFullList);
    CHECK(update.listed.size() == 2);
    update = tested.onReport(reportOf("g1"), start);
    CHECK(update.listed.empty());
    tested.onUpstreams(listOf({ "a", "c" }, 1), start);
    update = tested.onReport(reportOf("g1"), start);
    CHECK_FALSE(update.isFullList);
    REQUIRE(update.listed.size() == 2);
    CHECK(update.listed.at(0).upstream == "b");
    CHECK(update.listed.at(0).isRemoved);
    CHECK(update.listed.at(1).upstream == "c");
    update = tested.onReport(reportOf("g1", true), start);
    CHECK(update.isFullList);
    CHECK(update.listed.size() == 2);
}

TEST_CASE("coordinator: a removal is told with an offset behind the entry's last record")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "a" }, 7), start);
    tested.onReport(reportOf("g1", true), start);
    tested.onUpstreams(upstream_list(seconds(2)), start);
    const auto update = tested.onReport(reportOf("g1"), start);
    REQUIRE(update.listed.size() == 1);
    CHECK(update.listed.at(0).isRemoved);
    CHECK(update.listed.at(0).offset > 7);
}

TEST_CASE("coordinator: a gateway is told the work of the others, and when it ended")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "b", "a" }, 1), start);
    const auto listed = tested.onReport(reportOf("g2", true), start).listed;
    const auto named = std::find_if(
        listed.begin(), listed.end(), [](const listed_upstream& item) { return item.upstream == "a"; });
    REQUIRE(named != listed.end());
    auto report = reportOf("g1", true);
    report.work = { { "a", 6, 3000, 9000 } };
    tested.onReport(report, start);
    auto own = reportOf("g2");
    own.work = { { "a", 2, 100, 200 } };
    auto update = tested.onReport(own, start);
    REQUIRE(update.work.size() == 1);
    CHECK(update.work.at(0) == peer_work { named->number, 6, 3000, 9000 });
    CHECK(tested.onReport(own, start).work.empty());
    report.work = {};
    tested.onReport(report, start);
    update = tested.onReport(own, start);
    REQUIRE(update.work.size() == 1);
    CHECK(update.work.at(0).inFlight == 0);
}

TEST_CASE("coordinator: the work of a gateway that fell silent is forgotten, and later the gateway itself")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "a" }, 1), start);
    auto report = reportOf("g1", true);
    report.work = { { "a", 6, 3000, 9000 } };
    tested.onReport(report, start);
    CHECK(tested.onReport(reportOf("g2", true), start + milliseconds(500)).work.size() == 1);
    const auto update = tested.onReport(reportOf("g2", true), start + seconds(2));
    CHECK(update.work.empty());
    CHECK(tested.knownGatewayCount(start + seconds(2)) == 2);
    tested.onReport(reportOf("g2"), start + seconds(21));
    CHECK(tested.knownGatewayCount(start + seconds(21)) == 1);
}

TEST_CASE("coordinator: credit is granted beyond the lease only while no known gateway reaches the store")
{
    coordinator tested;
    CHECK_FALSE(tested.isStoreUnreachableFromAll(start));
    auto first = reportOf("g1", true);
    auto second = reportOf("g2", true);
    first.isStoreUnreachable = second.isStoreUnreachable = true;
    tested.onReport(first, start);
    tested.onReport(second, start);
    CHECK(tested.isStoreUnreachableFromAll(start + milliseconds(100)));
    second.isStoreUnreachable = false;
    tested.onReport(second, start + milliseconds(100));
    CHECK_FALSE(tested.isStoreUnreachableFromAll(start + milliseconds(100)));
    second.isStoreUnreachable = true;
    tested.onReport(second, start + milliseconds(200));
    // A gateway that does not report any more may reach the store.
    tested.onReport(first, start + seconds(2));
    CHECK_FALSE(tested.isStoreUnreachableFromAll(start + seconds(2)));
}

TEST_CASE(
    "coordinator: a credit-only report gets a credit-only answer, and the work reported before still counts")
{
    coordinator tested;
    const fleet_config config = configWithTeam(10000);
    tested.onConfig(config, start);
    tested.onUpstreams(listOf({ "a" }, 1), start);
    auto report = reportOf("g1", true);
    report.work = { { "a", 6, 3000, 9000 } };
    tested.onReport(report, start);
    auto ask = reportOf("g1");
    ask.isOnlyCredit = true;
    ask.credit = { { "atelier", 1500, 0, 0 } };
    const auto update = tested.onReport(ask, start);
    CHECK(update.credit == std::vector<credit_answer> { { "atelier", 1500, 0 } });
    CHECK(update.listed.empty());
    CHECK(update.loadedModels.empty());
    CHECK(tested.onReport(reportOf("g2", true), start).work.size() == 1);
}

TEST_CASE("coordinator: credit that a gateway gives back is there for the others")
{
    coordinator tested;
    const fleet_config config = configWithTeam(10000);
    tested.onConfig(config, start);
    auto ask = reportOf("g1", true);
    ask.credit = { { "atelier", 5000, 0, 0 } };
    CHECK(tested.onReport(ask, start).credit.at(0).tokens == doctest::Approx(5000));
    auto other = reportOf("g2", true);
    other.credit = { { "atelier", 4000, 0, 0 } };
    CHECK(tested.onReport(other, start).credit.at(0).tokens == doctest::Approx(0));
    ask.credit = { { "atelier", 0, 0, 4000 } };
    CHECK(tested.onReport(ask, start).credit.empty());
    CHECK(tested.onReport(other, start).credit.at(0).tokens == doctest::Approx(4000));
}

TEST_CASE("coordinator: with a third of the gateways cut off, a hot team stays within the platform's bound")
{
    constexpr int gateways = 103;
    constexpr int cutOff = 36;
    constexpr double rate = 250000;
    constexpr double windowSeconds = 8;
    // The platform allows a tenth more than the rate and the burst, and 11,000 tokens.
    constexpr double bound = (rate * windowSeconds + rate) * 1.1 + 11000;
    const fleet_config config = configWithTeam(rate);
    coordinator tested;
    tested.onConfig(config, start);
    std::vector<credit_cache> creditCaches(gateways, credit_cache(seconds(1), fallbackRateFraction));
    for (auto& creditCache : creditCaches) {
        creditCache.setLimits(rateLimitsOf(config.teams), start);
        creditCache.setGatewayCount(gateways);
        creditCache.setFallbackActive(false, start);
    }
    std::deque<std::pair<monotonic_time, double>> spent;
    double inWindow = 0;
    double most = 0;
    // The team sends nothing before the coordinator is missed, so that its whole burst is left. Then each
    // gateway has a request of it at each step, three times what the limit allows.
    constexpr int cutAt = 160;
    constexpr int missedAt = 176;
    constexpr int healedAt = 400;
    for (int step = 0; step < 600; ++step) {
        const monotonic_time now = start + milliseconds(50 * step);
        for (int gateway = 0; gateway < gateways; ++gateway) {
            // Small enough for the fallback allowance of one gateway.
            constexpr double tokens = 600;
            auto& creditCache = creditCaches.at(gateway);
            const bool isCut = gateway < cutOff && step >= cutAt && step < healedAt;
            creditCache.setFallbackActive(isCut && step >= missedAt, now);
            if (!isCut) {
                auto report = reportOf("g" + std::to_string(gateway), step == 0);
                if (step >= missedAt)
                    report.credit = { { "atelier", tokens, 0, 0 } };
                for (const auto& grant : tested.onReport(report, now).credit)
                    creditCache.onGrant(grant.name, grant.tokens, now);
            }
            if (step < missedAt || !creditCache.trySpend("atelier", tokens, now))
                continue;
            spent.emplace_back(now, tokens);
            inWindow += tokens;
            for (; secondsBetween(spent.front().first, now) > windowSeconds; spent.pop_front())
                inWindow -= spent.front().second;
            most = std::max(most, inWindow);
        }
    }
    CHECK(most <= bound);
    CHECK(most >= 0.8 * bound);
}

TEST_CASE("coordinator: an interim coordinator grants only the shares of the gateways that report to it")
{
    const fleet_config config = configWithTeam(10000);
    coordinator tested;
    tested.onConfig(config, start);
    tested.beginTerm(10, start);
    tested.setInterimGatewayCount(10, start);
    double granted = 0;
    for (int step = 0; step <= 100; ++step) {
        const monotonic_time now = start + milliseconds(100 * step);
        for (const char* gateway : { "g1", "g2" }) {
            auto report = reportOf(gateway);
            report.credit = { { "atelier", 5000, 0, 0 } };
            for (const auto& grant : tested.onReport(report, now).credit)
                granted += grant.tokens;
        }
    }
    // Two of ten gateways report: a fifth of the rate, and no burst at the beginning.
    CHECK(granted <= 2000 * 10);
    CHECK(granted >= 2000 * 9);
}

TEST_CASE("coordinator: a fit gateway is chosen as successor and stays it while it reports")
{
    coordinator tested;
    auto weak = reportOf("a", true);
    auto second = reportOf("b", true);
    auto third = reportOf("c", true);
    second.member = "10.0.0.2:7600#1";
    third.member = "10.0.0.3:7600#1";
    auto self = reportOf("self", true);
    self.member = "10.0.0.9:7600#1";
    tested.onReport(self, start);
    tested.onReport(weak, start);
    CHECK(tested.chooseSuccessor("self", start).empty());
    tested.onReport(third, start);
    CHECK(tested.chooseSuccessor("self", start) == third.member);
    tested.onReport(second, start);
    CHECK(tested.chooseSuccessor("self", start) == third.member);
    tested.onReport(second, start + seconds(2));
    CHECK(tested.chooseSuccessor("self", start + seconds(2)) == second.member);
}

TEST_CASE(
    "coordinator: a removed upstream's number is reused only after every gateway was told of the removal")
{
    coordinator tested;
    tested.onUpstreams(listOf({ "a" }, 1), start);
    auto report = reportOf("g1", true);
    report.work = { { "a", 6, 3000, 9000 } };
    const auto first = tested.onReport(report, start).listed.at(0).number;
    tested.onReport(reportOf("g2", true), start);
    tested.onUpstreams(listOf({ "b" }, 2), start);
    // g2 was not told of the removal and still takes the number for the removed upstream.
    CHECK(tested.onReport(reportOf("g1", true), start).listed.at(0).number != first);
    tested.onReport(reportOf("g2"), start);
    tested.onUpstreams(listOf({ "b", "c" }, 2), start);
    tested.onUpstreams(listOf({ "b", "c", "d" }, 2), start);
    const auto update = tested.onReport(reportOf("g2"), start);
    CHECK(std::any_of(update.listed.begin(), update.listed.end(),
        [&](const listed_upstream& item) { return !item.isRemoved && item.number == first; }));
    CHECK(update.work.empty());
}

TEST_CASE("coordinator: at every fleet size the changes of work in an answer are bounded in bytes")
{
    for (const int gateways : { 4, 29, 103, 350 }) {
        const int upstreams = gateways * 5 / 3;
        const auto ids = namesOf(upstreams);
        coordinator tested;
        tested.onUpstreams(listOf(ids, 1), start);
        for (int gateway = 0; gateway < gateways; ++gateway) {
            auto report = reportOf("front-" + std::to_string(gateway), true);
            for (int index = 0; index < 6; ++index)
                report.work.push_back({ ids.at((gateway * 7 + index * 11) % upstreams), 3, 2000, 5000 });
            tested.onReport(report, start);
        }
        // The worst case: the work at every upstream changed since the last answer.
        auto listener = reportOf("front-0", true);
        tested.onReport(listener, start);
        for (int gateway = 1; gateway < gateways; ++gateway) {
            auto report = reportOf("front-" + std::to_string(gateway));
            for (int index = 0; index < 6; ++index)
                report.work.push_back({ ids.at((gateway * 7 + index * 11) % upstreams), 9, 9000, 25000 });
            tested.onReport(report, start);
        }
        const auto bytes = encodeFleetMessage(tested.onReport(reportOf("front-0"), start)).size();
        CHECK(bytes <= 200 + 12 * static_cast<std::size_t>(upstreams));
    }
}

TEST_CASE("coordinator: after a start all gateways get full updates one after another, and credit meanwhile")
{
    // The weakest host that is fit to coordinate takes about 6 ms for a full update of 1,000 upstreams, and
    // must answer requests for credit meanwhile.
    constexpr int gateways = 100;
    constexpr int upstreams = 1000;
    constexpr milliseconds leastPause { 12 };
    coordinator tested;
    tested.onUpstreams(listOf(namesOf(upstreams), 1), start);
    std::set<int> updated;
    std::optional<monotonic_time> last;
    for (monotonic_time now = start; now < start + seconds(4); now += milliseconds(3)) {
        for (int gateway = 0; gateway < gateways; ++gateway) {
            auto report = reportOf("front-" + std::to_string(gateway), !updated.contains(gateway));
            report.credit = { { "atelier", 100, 0, 0 } };
            report.isOnlyCredit = !report.wantsFullUpdate || !tested.admitFullUpdate(0, now);
            const auto update = tested.onReport(report, now);
            CHECK(update.credit.size() == 1);
            if (report.isOnlyCredit)
                continue;
            CHECK(update.listed.size() == upstreams);
            CHECK((!last || now - *last >= leastPause));
            last = now;
            updated.insert(gateway);
        }
    }
    CHECK(updated.size() == gateways);
    CHECK_FALSE(tested.admitFullUpdate(std::size_t { 16 } << 20U, start + seconds(10)));
}

TEST_CASE("coordinator: what an engine holds is told once to each gateway, and again when it changes")
{
    fleet_config config;
    service_config service;
    service.name = "desk";
    service.engine = engine_config {};
    service.engine->adapterSlots = 8;
    config.services.push_back(service);
    coordinator tested;
    tested.onConfig(config, start);
    tested.onUpstreams(listOf({ "a", "b" }, 1), start);
    tested.beginTerm(0, start);
    loaded_models_report holds;
    holds.models = { { "m1", {} } };
    tested.trackers().at("a").onReport(holds, start, start);
    const auto loadedModelsSent = [&](const std::string& gateway, milliseconds after) {
        return tested.onReport(reportOf(gateway), start + after).loadedModels;
    };
    CHECK(loadedModelsSent("g1", milliseconds(0))
        == std::vector<upstream_loaded_models> { { "a", { { "m1" }, {}, false } } });
    CHECK(loadedModelsSent("g1", milliseconds(100)).empty());
    CHECK(loadedModelsSent("g2", milliseconds(100)).size() == 1);
    holds.models = { { "m1", { "a1" } } };
    holds.acceptedOrders = 1;
    tested.trackers().at("a").onReport(holds, start + seconds(1), start + seconds(1));
    CHECK(loadedModelsSent("g1", milliseconds(1100))
        == std::vector<upstream_loaded_models> { { "a", { { "m1/a1" }, {}, true } } });
    CHECK(loadedModelsSent("g1", milliseconds(1200)).empty());
    // A gateway that asks for a full update, and a new one, have nothing to apply changes to.
    fleet_report all = reportOf("g1");
    all.wantsFullUpdate = true;
    const std::vector<upstream_loaded_models> whole { { "a", { { "m1", "m1/a1" }, {}, false } } };
    const fleet_update update = tested.onReport(all, start + milliseconds(1300));
    CHECK(update.loadedModels == whole);
    // The list does not repeat the models of an engine that reported; the other engine did not report.
    REQUIRE(update.listed.size() == 2);
    CHECK(update.listed.at(0).loadedModels.empty());
    CHECK(update.listed.at(1).loadedModels == std::vector<std::string> { "m0" });
    CHECK(loadedModelsSent("g3", milliseconds(1300)) == whole);
    // The models of a restarted engine are sent whole as well.
    tested.onUpstreams(listOf({ "b" }, 2), start);
    tested.onUpstreams(listOf({ "a", "b" }, 3), start);
    holds.acceptedOrders = 0;
    tested.trackers().at("a").onReport(holds, start + seconds(2), start + seconds(2));
    CHECK(loadedModelsSent("g1", milliseconds(2100)) == whole);
}

TEST_CASE("coordinator: a gateway is told the evacuated zones once, also in answers about credit only")
{
    coordinator tested;
    const evacuated_zones evacuated { { "z1" }, 7 };
    tested.onReport(reportOf("g1", true), start);
    tested.onEvacuations(evacuated);
    auto ask = reportOf("g1");
    ask.isOnlyCredit = true;
    CHECK(tested.onReport(ask, start).evacuations == evacuated);
    CHECK_FALSE(tested.onReport(reportOf("g1"), start).evacuations);
    // A new connection asks for everything.
    CHECK(tested.onReport(reportOf("g1", true), start).evacuations == evacuated);
}

TEST_CASE("coordinator: a model that only an evacuated zone has loaded is ordered in another zone")
{
    fleet_config config;
    service_config service { "desk", 0, engine_config {} };
    service.engine->weightMemoryMb = 1000;
    service.engine->loadsPerSecond = 5;
    service.engine->models = { { "m1", 100, milliseconds(300), 0, 0 } };
    config.services.push_back(service);
    coordinator tested;
    tested.onConfig(config, start);
    upstream_list list = listOf({ "a", "b" }, 1);
    upstream_entry moved = list.entries().at("a");
    moved.zone = "z1";
    list.onRecord({ "a", 9, moved }, start);
    tested.onUpstreams(list, start);
    tested.onEvacuations({ { "z1" }, 7 });
    tested.beginTerm(0, start);
    loaded_models_report holds;
    tested.trackers().at("b").onReport(holds, start, start);
    holds.models = { { "m1", {} } };
    tested.trackers().at("a").onReport(holds, start, start);
    CHECK(tested.isEvacuated("a"));
    CHECK_FALSE(tested.isEvacuated("b"));
    auto report = reportOf("g1");
    report.demand = { { "desk", "m1", "", 5, 5, 100 } };
    tested.onReport(report, start);
    // The allowance of loads from the weight store grows from the first pass on.
    tested.plan(start);
    CHECK(tested.plan(start + milliseconds(500))
        == std::vector<planned_model_order> { { "b", model_order::action::Load, "m1", "" } });
}
