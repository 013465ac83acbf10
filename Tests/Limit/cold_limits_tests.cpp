#include "Limit/cold_limits.h"
#include "Limit/send_credit.h"
#include "Limit/standstill_guard.h"
#include "Limit/upstream_limits.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::at;
using testing::start;

std::map<std::string, upstream_entry> entryOf(
    std::int64_t startedAt, monotonic_time coldUntil, const std::string& service = "desk")
{
    upstream_entry entry;
    entry.id = "u1";
    entry.service = service;
    entry.startedAt = startedAt;
    entry.coldUntil = coldUntil;
    return { { "u1", entry } };
}

cold_limits deskLimits()
{
    cold_limits limits;
    limits.onConfig({ { "desk", 0, std::nullopt, 12, seconds(3) }, { "ledger" } });
    return limits;
}

cold_limit limitOf(const std::string& upstream, bool wasInUse = false)
{
    return { upstream, 12, start, at(3000), wasInUse };
}

/// \return requests granted from `from` on, with one request for credit in each 10 ms.
double grantedIn(upstream_limits& limits, const std::string& upstream, monotonic_time from, milliseconds time)
{
    double granted = 0;
    for (milliseconds elapsed(0); elapsed < time; elapsed += milliseconds(10))
        granted += limits.grant(upstream, 1, 0, from + elapsed).tokens;
    return granted;
}

} // namespace

TEST_CASE("cold limits: the limit of a cold upstream ends by itself, and other services have none")
{
    cold_limits tested = deskLimits();
    tested.onUpstreams(entryOf(1, at(3000)), start);
    CHECK(tested.inForce(at(2999)) == std::vector<cold_limit> { limitOf("u1") });
    CHECK(tested.inForce(at(3000)).empty());
    tested.onUpstreams(entryOf(2, at(9000), "ledger"), at(4000));
    CHECK(tested.inForce(at(4000)).empty());
}

TEST_CASE("cold limits: a process that turns cold is told apart from one that has started")
{
    cold_limits tested = deskLimits();
    tested.onUpstreams(entryOf(1, {}), start);
    tested.onUpstreams(entryOf(1, at(4000)), at(1000));
    CHECK(tested.inForce(at(1000)) == std::vector<cold_limit> { { "u1", 12, at(1000), at(4000), true } });
    // A renewed entry prolongs the cold time.
    tested.onUpstreams(entryOf(1, at(4500)), at(2000));
    CHECK(tested.inForce(at(2000)) == std::vector<cold_limit> { { "u1", 12, at(1000), at(4500), true } });
    tested.onUpstreams(entryOf(2, at(5000)), at(2500));
    CHECK(tested.inForce(at(2500)) == std::vector<cold_limit> { { "u1", 12, at(2500), at(5000), false } });
}

TEST_CASE(
    "cold limits: a service that stops to state a limit has none, and one that begins to has it at once")
{
    cold_limits tested;
    tested.onUpstreams(entryOf(1, at(3000)), start);
    CHECK(tested.inForce(start).empty());
    tested.onConfig({ { "desk", 0, std::nullopt, 5, seconds(3) } });
    REQUIRE(tested.inForce(start).size() == 1);
    CHECK(tested.inForce(start).front().requestsPerSecond == 5);
    tested.onConfig({ { "desk" } });
    CHECK(tested.inForce(start).empty());
}

TEST_CASE("upstream limits: the upstreams of a zone that return together each get their whole limit, no more")
{
    upstream_limits tested;
    std::vector<cold_limit> zone;
    zone.reserve(20);
    for (int index = 0; index < 20; ++index)
        zone.push_back(limitOf("u" + std::to_string(index)));
    tested.setColdLimits(zone, start);
    for (const auto& limit : zone) {
        const double granted = grantedIn(tested, limit.upstream, start, milliseconds(1500));
        CHECK(granted <= 12 * 1.5 + 5);
        CHECK(granted >= 12 * 1.5 - 1);
    }
    // Once the cold time is over, all that is asked for is granted.
    CHECK(tested.grant("u1", 100, 0, at(3000)).tokens == 100);
}

TEST_CASE(
    "upstream limits: an upstream that turns cold in use pays for the second before, one that starts not")
{
    upstream_limits tested;
    tested.setColdLimits({ limitOf("u1", true), limitOf("u2") }, start);
    CHECK(grantedIn(tested, "u1", start, milliseconds(1000)) == 0);
    CHECK(grantedIn(tested, "u1", at(1000), milliseconds(1000)) >= 11);
    CHECK(grantedIn(tested, "u2", start, milliseconds(1000)) >= 11);
}

TEST_CASE("upstream limits: a cold upstream that states a limit gets no more than the lower one")
{
    upstream_limits tested;
    tested.setColdLimits({ limitOf("u1"), limitOf("u2") }, start);
    tested.onReported({ "u1", 2.0 }, seconds(20), true, start);
    tested.onReported({ "u2", 200.0 }, seconds(20), true, start);
    CHECK(grantedIn(tested, "u1", start, milliseconds(2000)) <= 2 * 2 + 2);
    CHECK(grantedIn(tested, "u2", start, milliseconds(2000)) <= 12 * 2 + 3);
    // The coordinator's own calls count too.
    CHECK_FALSE(tested.trySpend("u2", at(1990)));
    // Their failures must not make callers wait.
    const milliseconds retryAfter = tested.grant("u2", 1, 0, at(1990)).retryAfter;
    for (int call = 0; call < 50; ++call)
        tested.trySpend("u2", at(1990));
    CHECK(tested.grant("u2", 1, 0, at(1990)).retryAfter < retryAfter + milliseconds(200));
}

TEST_CASE("upstream limits: a limit that a cold process states after its start does not leave it idle")
{
    upstream_limits tested;
    tested.setColdLimits({ limitOf("u1"), limitOf("u2", true) }, start);
    tested.onReported({ "u1", 200.0 }, {}, true, at(100));
    CHECK(grantedIn(tested, "u1", at(100), milliseconds(1000)) >= 11);
    // One that was in use may have got more than it states.
    tested.onReported({ "u2", 200.0 }, {}, true, at(1100));
    CHECK(grantedIn(tested, "u2", at(1100), milliseconds(1000)) == 0);
}

TEST_CASE("upstream limits: a coordinator that has not read the list yet learns of a cold upstream")
{
    upstream_limits tested;
    tested.onColdReported("u1", 12, milliseconds(500), start);
    CHECK(grantedIn(tested, "u1", start, milliseconds(490)) <= 12 * 0.5 + 1);
    CHECK(tested.grant("u1", 100, 0, at(500)).tokens == 100);
}

TEST_CASE("send credit: credit for a cold upstream expires by itself, newer credit does not renew it")
{
    send_credit credit(milliseconds(500));
    credit.setFallbackActive(false, start);
    credit.onUpstreams({ { "u1", 1 } }, start);
    credit.setColdLimits({ limitOf("u1") }, start);
    credit.onGrant("u1", 3, {}, start, start);
    credit.onGrant("u1", 1, {}, at(200), at(200));
    CHECK(credit.trySpend("u1", at(260)));
    CHECK_FALSE(credit.trySpend("u1", at(260)));
    // Credit that was requested before the upstream was cold was not granted under its limit.
    credit.onGrant("u1", 3, {}, at(-10), at(270));
    CHECK_FALSE(credit.hasCredit("u1", at(270)));
    CHECK(credit.trySpend("u1", at(3000)));
}

TEST_CASE("send credit: without a coordinator, gateways share half of the limit of a cold upstream")
{
    send_credit credit(milliseconds(500));
    credit.setGatewayCount(2);
    credit.setColdLimits({ limitOf("u1") }, start);
    int sent = 0;
    for (int ms = 0; ms < 2000; ms += 10)
        sent += credit.trySpend("u1", at(ms)) ? 1 : 0;
    CHECK(sent >= 5);
    CHECK(sent <= 6);
}

TEST_CASE("send credit: a wish for credit ends with the limit, so that it does not cause reports for ever")
{
    send_credit credit(milliseconds(500));
    credit.setColdLimits({ limitOf("u1") }, start);
    credit.request("u1", true);
    CHECK(credit.hasUrgentReport());
    credit.takeRequests(at(3000));
    CHECK_FALSE(credit.hasUrgentReport());
}

TEST_CASE("standstill guard: after a standstill, and only then, the process is given the time to catch up")
{
    standstill_guard tested;
    for (int ms = 0; ms <= 1000; ms += 100)
        CHECK_FALSE(tested.isCatchingUp(at(ms)));
    CHECK(tested.isCatchingUp(at(3000)));
    CHECK(tested.isCatchingUp(at(3299)));
    CHECK_FALSE(tested.isCatchingUp(at(3300)));
}
