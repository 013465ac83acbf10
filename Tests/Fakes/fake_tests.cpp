#include "Fakes/fake_engine.h"
#include "Fakes/fake_hosts.h"
#include "Fakes/fake_log.h"
#include "Fakes/fake_program.h"
#include "Fakes/fake_store.h"
#include "Support/calls.h"
#include "Support/free_port.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// A fake behind an HTTP server in the test process.
template <typename Fake> struct served_fake {
    template <typename... Arguments>
    explicit served_fake(const Arguments&... arguments)
        : fake(arguments...)
        , server({ .listen = listen }, [this](http_call& call) { answer(call); })
    {
    }

    void answer(http_call& call)
    {
        if constexpr (requires { fake.handle(call, listen); })
            fake.handle(call, listen);
        else
            fake.handle(call);
    }

    http_response post(const std::string& target, const nlohmann::json& body) const
    {
        http_request request;
        request.method = "POST";
        request.server = listen;
        request.target = target;
        request.body = body.dump();
        return send(request, "");
    }

    address listen { freeAddress() };
    Fake fake;
    http_server server;
};

const std::string records = "/v1/streams/config/records";

nlohmann::json order(
    const std::string& id, int fence, const std::string& action, const std::string& model, int mb)
{
    return { { "order_id", id }, { "fence", fence }, { "action", action }, { "model", model },
        { "memory_mb", mb } };
}

std::string stateOf(const address& engine, const std::string& model)
{
    const auto models = getJson(engine, "/control/report").at("models");
    for (const auto& found : models) {
        if (found.at("name") == model)
            return found.at("state");
    }
    return "none";
}

} // namespace

TEST_CASE("fake log: an append whose answer is lost is stored")
{
    const served_fake<fake_log> log;
    setFaults(log.listen, { { "lose_answers", 1 } });
    CHECK(log.post(records, { { "records", { "a", "b" } } }).status == 0);
    const auto batch = getJson(log.listen, records + "?from=1");
    CHECK(batch.at("records") == nlohmann::json { "b" });
    CHECK(batch.at("end") == 2);
}

TEST_CASE("fake log: old records are dropped, and a read that starts below the oldest gets 410")
{
    const served_fake<fake_log> log;
    setFaults(log.listen, { { "retain", 1 } });
    CHECK(log.post(records, { { "records", { "a", "b", "c" } } }).status == 200);
    CHECK(statusOf(log.listen, records + "?from=1") == 410);
    CHECK(getJson(log.listen, records + "?from=2").at("records") == nlohmann::json { "c" });
}

TEST_CASE("fake log: a read waits for a record, and is answered at once while the log is unavailable")
{
    const served_fake<fake_log> log;
    auto read = std::async(
        std::launch::async, [&] { return getJson(log.listen, records + "?from=0&wait_ms=20000"); });
    REQUIRE(until([&] { return getJson(log.listen, "/admin/stats").at("reads") == 1; }));
    CHECK(log.post(records, { { "records", { "a" } } }).status == 200);
    CHECK(read.get().at("next") == 1);
    setFaults(log.listen, { { "away_for", { formatAddress(log.listen) } } });
    CHECK(statusOf(log.listen, records + "?from=1&wait_ms=20000") == 503);
}

TEST_CASE("fake log: appends over the rate limit get 429")
{
    const served_fake<fake_log> log;
    setFaults(log.listen, { { "appends_per_second", 1 } });
    CHECK(log.post(records, { { "records", { "a" } } }).status == 200);
    CHECK(log.post(records, { { "records", { "b" } } }).status == 429);
}

TEST_CASE("fake engine: a load that does not fit is rejected, and a repeated order counts once")
{
    const served_fake<fake_engine> engine(fake_engine::options { .memory = { .totalMb = 150 } });
    CHECK(engine.post("/control/orders", order("o1", 1, "load", "a", 100)).status == 202);
    CHECK(engine.post("/control/orders", order("o2", 1, "load", "b", 100)).status == 507);
    CHECK(engine.post("/control/orders", order("o1", 1, "load", "a", 100)).status == 202);
    CHECK(until([&] { return stateOf(engine.listen, "a") == "loaded"; }));
    const auto stats = getJson(engine.listen, "/admin/stats");
    CHECK(stats.at("peak_memory_mb") == 100);
    CHECK(stats.at("overcommit_orders") == 1);
    CHECK(stats.at("loads").at("a") == 1);
}

TEST_CASE("fake engine: an old fencing token is rejected only where fencing is checked")
{
    for (const bool checks : { true, false }) {
        const served_fake<fake_engine> engine(fake_engine::options { .memory = { .checksFencing = checks } });
        CHECK(engine.post("/control/orders", order("o1", 5, "load", "a", 1)).status == 202);
        CHECK(engine.post("/control/orders", order("o2", 4, "load", "b", 1)).status == (checks ? 409 : 202));
    }
}

TEST_CASE("fake engine: an order whose answer was lost takes effect later, a lost order never")
{
    const served_fake<fake_engine> engine(fake_engine::options {});
    setFaults(engine.listen, { { "lose_orders", 1 }, { "lose_order_answers", 1 } });
    CHECK(engine.post("/control/orders", order("o1", 1, "load", "a", 1)).status == 0);
    CHECK(engine.post("/control/orders", order("o2", 1, "load", "b", 1)).status == 0);
    CHECK(until([&] { return stateOf(engine.listen, "b") == "loaded"; }));
    CHECK(stateOf(engine.listen, "a") == "none");
}

TEST_CASE("fake engine: waiting interactive requests get a slot of the batch before batch requests")
{
    const served_fake<fake_engine> engine(
        fake_engine::options { .memory = { .preload = { "shared=1" } }, .batch = 1 });
    setFaults(engine.listen, { { "hold", true } });
    const auto startChat = [&](const std::string& priority) {
        return std::async(std::launch::async, [&, priority] {
            http_request request = chatRequest(engine.listen, {});
            request.headers.emplace_back("X-Priority", priority);
            return send(request, "").status;
        });
    };
    const auto awaitWaiting = [&](int count) {
        return until([&] { return getJson(engine.listen, "/control/report").at("waiting") == count; });
    };
    auto first = startChat("interactive");
    REQUIRE(until([&] { return getJson(engine.listen, "/control/report").at("running") == 1; }));
    auto batch = startChat("batch");
    REQUIRE(awaitWaiting(1));
    auto second = startChat("interactive");
    REQUIRE(awaitWaiting(2));
    setFaults(engine.listen, { { "hold", false } });
    CHECK((first.get() == 200 && second.get() == 200 && batch.get() == 200));
    CHECK(getJson(engine.listen, "/admin/stats").at("recent_classes")
        == nlohmann::json { "interactive", "interactive", "batch" });
}

TEST_CASE("fake store: a load is answered and counted")
{
    const served_fake<fake_store> store(
        fake_store::limits { .loadsPerSecond = 1000, .maxFullSpeedLoads = 1, .loadMs = 1 });
    CHECK(store.post("/v1/loads", { { "model", "a" }, { "memory_mb", 1 } }).status == 200);
    const auto stats = getJson(store.listen, "/admin/stats");
    CHECK(stats.at("loads") == 1);
    CHECK(stats.at("peak_running") == 1);
}

TEST_CASE("fake hosts: the list can repeat an older state")
{
    const served_fake<fake_hosts> hosts;
    for (const char* state : { "live", "leaving" })
        CHECK(hosts.post("/admin/hosts", { { "hosts", { { { "name", "a" }, { "state", state } } } } }).status
            == 200);
    const auto visibleState
        = [&] { return getJson(hosts.listen, "/v1/hosts").at("hosts").at(0).at("state"); };
    CHECK(visibleState() == "leaving");
    setFaults(hosts.listen, { { "repeat_old_ms", 300 } });
    for (int turn = 0; turn < 2; ++turn) {
        CHECK(until([&] { return visibleState() == "live"; }));
        CHECK(until([&] { return visibleState() == "leaving"; }));
    }
}
