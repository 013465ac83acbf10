#include "Gateway/platform_checks.h"

using namespace sagesaddle;

namespace {

// Bound of the platform between the operator's write and the last request to the zone; `bounds.evac-ms`.
constexpr milliseconds evacuationBound { 5000 };

/// Two gateways, and in each of the zones `a` and `b` an engine and an instance of a service without one.
void startZones(platform_fixture& fixture)
{
    fixture.configure({ "key-1" });
    for (const std::string zone : { "a", "b" }) {
        engine_stand_in::settings settings { "e-" + zone };
        settings.zone = zone;
        fixture.addEngine(settings, { "m1", zone == "a" ? "m2" : "m3" });
        settings.id = "l-" + zone;
        settings.service = "ledger";
        fixture.addEngine(settings);
    }
    fixture.addGateway();
    fixture.addGateway();
    for (const auto& gateway : fixture.gateways)
        REQUIRE(fixture.waitReady(gateway));
}

/// \return the number of requests, orders and calls for reports that reached a zone after a time.
std::size_t callsAfter(const platform_fixture& fixture, const std::string& zone, monotonic_time time)
{
    std::size_t calls = 0;
    for (const auto& engine : fixture.engines) {
        for (const auto& arrivedAt : engine.allCalls)
            calls += engine.zone() == zone && arrivedAt > time ? 1 : 0;
    }
    return calls;
}

/// Sends requests of all kinds to all gateways, also for a model that only zone `a` has loaded at the start.
void sendFor(platform_fixture& fixture, milliseconds duration)
{
    const monotonic_time end = monotonicNow() + duration;
    for (int call = 0; monotonicNow() < end; ++call) {
        for (const auto& gateway : fixture.gateways) {
            fixture.send(gateway, "/safe/");
            fixture.send(gateway, "/stream/", "key-1",
                "Model: m" + std::to_string(1 + call % 3) + "\r\nToken-Counts: 50,20\r\n");
        }
        loopFor(fixture.loop, milliseconds(50));
    }
}

} // namespace

TEST_CASE("gateway: after the bound, an evacuated zone gets no requests, orders or calls for reports, also "
          "from a gateway that starts meanwhile and while the store is away")
{
    platform_fixture fixture;
    startZones(fixture);
    sendFor(fixture, milliseconds(1000));
    const monotonic_time before = monotonicNow();
    CHECK(callsAfter(fixture, "a", before - milliseconds(1000)) > 0);
    fixture.store.put("keyed.op", "evacuate/a", "{not readable");
    sendFor(fixture, evacuationBound);
    const monotonic_time due = before + evacuationBound;
    fixture.addGateway();
    REQUIRE(fixture.waitReady(fixture.gateways.back()));
    sendFor(fixture, milliseconds(1000));
    fixture.store.mode = store_stand_in::behaviour::Silent;
    sendFor(fixture, milliseconds(2500));
    // It has no configuration until the store is back.
    fixture.addGateway();
    sendFor(fixture, milliseconds(500));
    fixture.store.mode = store_stand_in::behaviour::Sound;
    REQUIRE(fixture.waitReady(fixture.gateways.back()));
    sendFor(fixture, milliseconds(1000));
    CHECK(callsAfter(fixture, "a", due) == 0);
    CHECK(callsAfter(fixture, "b", due) > 0);
    fixture.store.drop("keyed.op", "evacuate/a");
    CHECK(loopUntil(fixture.loop, [&] {
        sendFor(fixture, milliseconds(100));
        return callsAfter(fixture, "a", due) > 0;
    }));
    for (const char* line : { "\"zone_evacuated\"", "\"zone_evacuation_ended\"" })
        CHECK(fixture.outputOf(fixture.gateways.front()).find(line) != std::string::npos);
    checkNoViolations(fixture);
}

TEST_CASE("gateway: an evacuation outlasts a return of the store to an older copy if it is written again, "
          "and otherwise ends")
{
    platform_fixture fixture;
    startZones(fixture);
    fixture.store.saveCopy();
    for (const char* zone : { "a", "b" })
        fixture.store.put("keyed.op", std::string("evacuate/") + zone, "{}");
    loopFor(fixture.loop, evacuationBound);
    const monotonic_time returnedAt = monotonicNow();
    fixture.store.returnToCopy();
    // Within the time in which the operator's records are rewritten.
    sendFor(fixture, milliseconds(1500));
    CHECK(callsAfter(fixture, "a", returnedAt) == 0);
    fixture.store.put("keyed.op", "evacuate/a", "{}");
    CHECK(loopUntil(fixture.loop, [&] {
        sendFor(fixture, milliseconds(100));
        return callsAfter(fixture, "b", returnedAt) > 0;
    }));
    sendFor(fixture, milliseconds(3000));
    CHECK(callsAfter(fixture, "a", returnedAt) == 0);
    checkNoViolations(fixture);
}
