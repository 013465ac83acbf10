#include "Side/request_dispatcher.h"
#include "Side/side_fixture.h"
#include "Support/until.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// A dispatcher before a plain service, whose frames are kept, or not taken while the connection is full.
class dispatcher_fixture {
public:
    dispatcher_fixture()
        : dispatcher(
            { "up-1", service.at, 4, 16 },
            [this](connection_id, const message& value) { return take(value); }, m_metrics, m_spans)
    {
    }

    bool waitFor(std::size_t frames)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, waitBound, [&] { return m_frames.size() >= frames; });
    }

    std::vector<message> frames()
    {
        const std::scoped_lock lock(m_mutex);
        return m_frames;
    }

    std::atomic<bool> isFull { false };
    fake_server<fake_service> service { "ledger" };

private:
    bool take(const message& value)
    {
        if (isFull)
            return false;
        const std::scoped_lock lock(m_mutex);
        m_frames.push_back(value);
        m_changed.notify_all();
        return true;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<message> m_frames;
    metric_registry m_metrics;
    span_exporter m_spans { {} };

public:
    request_dispatcher dispatcher;
};

request_message lookup(std::uint64_t id)
{
    request_message request = chatRequest(id);
    request.path = "/stock";
    return request;
}

exchange_outcome outcomeOf(verdict ran, const std::string& reason, std::uint16_t status)
{
    exchange_outcome outcome;
    outcome.ran = ran;
    outcome.reason = reason;
    outcome.status = status;
    return outcome;
}

// What the dispatcher takes for the wait while another request holds the only slot.
std::uint32_t waitBehindOne(dispatcher_fixture& path)
{
    setFaults(path.service.at, { { "hold", true } });
    path.dispatcher.onRequest(1, lookup(100));
    REQUIRE(until([&] { return path.dispatcher.load().running == 1; }));
    const std::uint32_t waitMs = path.dispatcher.load().waitMs;
    setFaults(path.service.at, { { "hold", false } });
    path.dispatcher.waitIdle();
    return waitMs;
}

} // namespace

TEST_CASE("request dispatcher: a refusal for a full connection is sent later, and its sender never waits")
{
    dispatcher_fixture path;
    path.isFull = true;
    path.dispatcher.onRequest(1, lookup(1));
    CHECK(path.frames().empty());
    CHECK_FALSE(path.dispatcher.isIdle());
    path.isFull = false;
    REQUIRE(path.waitFor(1));
    CHECK(std::get<refusal_message>(path.frames()[0]).reason == "not_ready");
    path.dispatcher.waitIdle();
}

TEST_CASE("request dispatcher: a doubled request frame runs once and is answered once")
{
    dispatcher_fixture path;
    path.dispatcher.setView(serviceView(), nullptr, {});
    setFaults(path.service.at, { { "hold", true } });
    path.dispatcher.onRequest(1, lookup(1));
    path.dispatcher.onRequest(1, lookup(1));
    setFaults(path.service.at, { { "hold", false } });
    path.dispatcher.waitIdle();
    CHECK(getJson(path.service.at, "/admin/executions")["total"] == 1);
    std::size_t ends = 0;
    for (const message& frame : path.frames())
        ends += std::holds_alternative<answer_end>(frame) ? 1 : 0;
    CHECK(ends == 1);
}

TEST_CASE("request dispatcher: a request whose caller left while it waited never runs")
{
    dispatcher_fixture path;
    side_view view = serviceView();
    view.upstream.slots = 1;
    path.dispatcher.setView(view, nullptr, {});
    setFaults(path.service.at, { { "hold", true } });
    path.dispatcher.onRequest(1, lookup(1));
    path.dispatcher.onRequest(2, lookup(1));
    path.dispatcher.onRequest(2, lookup(2));
    path.dispatcher.onCancel(2, 2);
    path.dispatcher.onConnectionClosed(2);
    setFaults(path.service.at, { { "hold", false } });
    path.dispatcher.waitIdle();
    CHECK(getJson(path.service.at, "/admin/executions")["total"] == 1);
}

TEST_CASE("request dispatcher: only what the upstream served or kept too long tells how fast it is")
{
    CHECK(isServiceTimeSample(outcomeOf(verdict::Answered, "", 200)));
    CHECK(isServiceTimeSample(outcomeOf(verdict::MayHaveRun, "deadline", 0)));
    CHECK_FALSE(isServiceTimeSample(outcomeOf(verdict::Answered, "", 503)));
    CHECK_FALSE(isServiceTimeSample(outcomeOf(verdict::NotRun, "deadline", 0)));
    CHECK_FALSE(isServiceTimeSample(outcomeOf(verdict::MayHaveRun, "cancelled", 0)));
    CHECK_FALSE(isServiceTimeSample(outcomeOf(verdict::MayHaveRun, "entry_gone", 200)));
}

TEST_CASE(
    "request dispatcher: an entry that takes its answer late, or a caller that leaves, does not make the "
    "upstream slow")
{
    constexpr milliseconds lateness { 300 };
    dispatcher_fixture path;
    side_view view = serviceView();
    view.upstream.slots = 1;
    path.dispatcher.setView(view, nullptr, {});
    path.isFull = true;
    path.dispatcher.onRequest(1, lookup(1));
    REQUIRE(until([&] { return getJson(path.service.at, "/admin/executions")["total"] == 1; }));
    std::this_thread::sleep_for(lateness);
    path.isFull = false;
    path.dispatcher.waitIdle();
    setFaults(path.service.at, { { "hold", true } });
    path.dispatcher.onRequest(1, lookup(2));
    REQUIRE(until([&] { return getJson(path.service.at, "/admin/executions")["total"] == 2; }));
    std::this_thread::sleep_for(lateness);
    path.dispatcher.onCancel(1, 2);
    path.dispatcher.waitIdle();
    CHECK(waitBehindOne(path) == 0);
}
