#include "Side/side_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

fake_engine::options engineOptions(bool checksFencing)
{
    fake_engine::options options;
    options.memory.totalMb = 1000;
    options.memory.checksFencing = checksFencing;
    options.memory.preload = { "small=400" };
    return options;
}

side_view viewOf(bool checksFencing, std::vector<placement> placements = {})
{
    side_view view = engineView();
    view.upstream.checksFencing = checksFencing;
    view.placements = std::move(placements);
    return view;
}

bool isResident(const load_report& load, const std::string& model)
{
    const auto& models = load.residentModels;
    return std::find(models.begin(), models.end(), model) != models.end();
}

// A side process before an engine that gives it orders.
struct order_path {
    explicit order_path(const side_view& view, bool withLog = true)
        : engine(engineOptions(view.upstream.checksFencing))
        , settings(sideSettings(engine.at))
    {
        if (withLog)
            settings.log = log.at;
        side.emplace(settings);
        entry.emplace(settings.frames);
        entry->send(side_view_message { view.offset, formatSideView(view) });
    }

    bool waitUntilOpen()
    {
        return entry->waitForLoad([](const load_report& load) { return load.freeMemoryMb > 0; });
    }

    bool waitForModel(const std::string& model)
    {
        return entry->waitForLoad([&](const load_report& load) { return isResident(load, model); });
    }

    // Waits until the engine works on a load.
    bool waitForRunningOrder() const
    {
        const auto end = monotonicNow() + waitBound;
        while (monotonicNow() < end) {
            const nlohmann::json report = get(engine.at, "/control/report");
            for (const auto& order : report["recent_orders"]) {
                if (order["outcome"] == "running")
                    return true;
            }
        }
        return false;
    }

    bool waitForLoadOf(const std::string& model) const
    {
        const auto end = monotonicNow() + waitBound;
        while (monotonicNow() < end) {
            if (get(engine.at, "/admin/stats")["loads"].contains(model))
                return true;
        }
        return false;
    }

    // Puts a new process in the place of the one that runs, without a drain.
    void restart(const side_view& view)
    {
        entry.reset();
        side.reset();
        side.emplace(settings);
        entry.emplace(settings.frames);
        entry->send(side_view_message { view.offset, formatSideView(view) });
    }

    std::uint64_t peakMb() const { return get(engine.at, "/admin/stats")["peak_memory_mb"]; }

    served<fake_engine> engine;
    served<fake_log_at> log;
    side_settings settings;
    std::optional<side_process> side;
    std::optional<entry_player> entry;
};

} // namespace

TEST_CASE("side orders: pinned models are loaded, with and without fencing")
{
    for (const bool checksFencing : { false, true }) {
        order_path path(viewOf(checksFencing, { { "other", "up-1", true } }));
        CHECK(path.waitForModel("other"));
        CHECK(path.peakMb() <= 1000);
    }
}

TEST_CASE("side orders: a request for a cold model waits for its load, and an idle one makes room")
{
    order_path path(viewOf(true, { { "other", "up-1", true } }));
    REQUIRE(path.waitForModel("other"));
    path.entry->send(chatRequest(1, "third"));
    const seen_answer answer = path.entry->answerTo(1);
    REQUIRE(answer.end);
    CHECK(isResident(answer.end->load, "third"));
    CHECK_FALSE(isResident(answer.end->load, "small"));
    CHECK(path.peakMb() <= 1000);
}

TEST_CASE("side orders: a model that pinned ones leave no room for is refused as not run")
{
    order_path path(viewOf(false, { { "other", "up-1", true }, { "small", "up-1", true } }));
    REQUIRE(path.waitForModel("other"));
    path.entry->send(chatRequest(1, "third"));
    const seen_answer answer = path.entry->answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "no_memory");
    CHECK(answer.refusal->verdict == verdict::NotRun);
}

TEST_CASE("side orders: a model in steady use yields its memory to a pinned one that has no other room")
{
    order_path path(viewOf(true, { { "small", "up-1", true } }));
    REQUIRE(path.waitUntilOpen());
    path.entry->send(chatRequest(3, "third"));
    REQUIRE(path.entry->answerTo(3).end);
    post(path.engine.at, "/admin/faults", R"({"hold":true})");
    path.entry->send(chatRequest(1, "third"));
    REQUIRE(path.entry->waitForLoad([](const load_report& load) { return load.running == 1; }));
    side_view pinned = viewOf(true, { { "small", "up-1", true }, { "other", "up-1", true } });
    ++pinned.offset;
    path.entry->send(side_view_message { pinned.offset, formatSideView(pinned) });
    path.entry->send(chatRequest(2, "third"));
    const seen_answer refused = path.entry->answerTo(2);
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->reason == "no_memory");
    CHECK(refused.refusal->verdict == verdict::NotRun);
    post(path.engine.at, "/admin/faults", R"({"hold":false})");
    CHECK(path.entry->answerTo(1).end);
    CHECK(path.waitForModel("other"));
    CHECK(path.peakMb() <= 1000);
}

TEST_CASE(
    "side orders: a cold model that comes too late for the deadline is refused, with a time to come back")
{
    order_path path(viewOf(false));
    REQUIRE(path.waitUntilOpen());
    request_message request = chatRequest(1, "other");
    request.deadlineMs = 50;
    path.entry->send(request);
    const seen_answer answer = path.entry->answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->reason == "model_loading");
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(answer.refusal->retryAfterMs > 0);
    CHECK(path.waitForModel("other"));
}

TEST_CASE("side orders: without the log a checked engine gets no orders and serves what it holds")
{
    order_path path(viewOf(true, { { "other", "up-1", true } }), false);
    REQUIRE(path.waitForModel("small"));
    path.entry->send(chatRequest(1, "small"));
    CHECK(path.entry->answerTo(1).end);
    path.entry->send(chatRequest(2, "third"));
    CHECK(path.entry->answerTo(2).refusal->reason == "model_not_loaded");
    CHECK(get(path.settings.admin, "/admin/status")["engine"]["orders"] == "no_fence");
    CHECK(get(path.engine.at, "/admin/stats")["loads"].empty());
}

TEST_CASE("side orders: lost orders and lost answers lead to one load and no overcommit")
{
    order_path path(viewOf(true));
    REQUIRE(path.waitUntilOpen());
    post(path.engine.at, "/admin/faults", R"({"lose_orders":1})");
    path.entry->send(chatRequest(1, "other"));
    CHECK(path.entry->answerTo(1).end);
    post(path.engine.at, "/admin/faults", R"({"lose_order_answers":1,"delay_orders_ms":50})");
    path.entry->send(chatRequest(2, "third"));
    CHECK(path.entry->answerTo(2).end);
    CHECK(get(path.engine.at, "/admin/stats")["loads"]["other"] == 1);
    CHECK(get(path.engine.at, "/admin/stats")["overcommit_orders"] == 0);
    CHECK(path.peakMb() <= 1000);
}

TEST_CASE("side orders: an engine that a later process has fenced gets no more orders from this one")
{
    order_path path(viewOf(true));
    REQUIRE(path.waitUntilOpen());
    post(path.engine.at, "/control/orders",
        R"({"order_id":"later","fence":1000000,"action":"unload","model":"none","memory_mb":0})");
    path.entry->send(chatRequest(1, "other"));
    const seen_answer answer = path.entry->answerTo(1);
    REQUIRE(answer.refusal);
    CHECK(answer.refusal->verdict == verdict::NotRun);
    CHECK(get(path.settings.admin, "/admin/status")["engine"]["orders"] == "fenced_off");
    CHECK(get(path.engine.at, "/admin/stats")["loads"].empty());
}

TEST_CASE("side orders: a process that replaces one whose order is still under way overcommits nothing")
{
    for (const bool checksFencing : { false, true }) {
        order_path path(viewOf(checksFencing));
        REQUIRE(path.waitUntilOpen());
        post(path.engine.at, "/admin/faults", R"({"delay_orders_ms":6000,"refuse_overcommit":false})");
        path.entry->send(chatRequest(1, "other"));
        REQUIRE(path.waitForRunningOrder());
        post(path.engine.at, "/admin/faults", R"({"delay_orders_ms":0})");
        path.restart(viewOf(checksFencing, { { "third", "up-1", true } }));
        CHECK(path.waitForModel("third"));
        CHECK(path.waitForLoadOf("other"));
        CHECK(path.peakMb() <= 1000);
    }
}
