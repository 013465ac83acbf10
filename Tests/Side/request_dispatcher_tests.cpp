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

// A dispatcher with a plain service as its upstream. The connection stores all frames, or rejects them while
// it is full.
class dispatcher_fixture {
public:
    dispatcher_fixture()
        : dispatcher(
            { "up-1", service.listenAddress, 4, 16 },
            [this](connection_id, const message& value) { return receive(value); }, m_metrics, m_spans)
    {
    }

    bool waitForFrames(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, waitTimeout, [&] { return m_frames.size() >= count; });
    }

    std::vector<message> frames()
    {
        const std::scoped_lock lock(m_mutex);
        return m_frames;
    }

    std::atomic<bool> isFull { false };
    fake_server<fake_service> service { "ledger" };

private:
    bool receive(const message& value)
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

request_message lookupRequest(std::uint64_t id)
{
    request_message request = chatRequest(id);
    request.path = "/stock";
    return request;
}

exchange_outcome makeOutcome(verdict ran, const std::string& reason, std::uint16_t status)
{
    exchange_outcome outcome;
    outcome.ran = ran;
    outcome.reason = reason;
    outcome.status = status;
    return outcome;
}

// Returns the expected wait in milliseconds while another request occupies the only slot.
std::uint32_t expectedWaitBehindOne(dispatcher_fixture& fixture)
{
    setFaults(fixture.service.listenAddress, { { "hold", true } });
    fixture.dispatcher.onRequest(1, lookupRequest(100));
    REQUIRE(until([&] { return fixture.dispatcher.load().running == 1; }));
    const std::uint32_t waitMs = fixture.dispatcher.load().waitMs;
    setFaults(fixture.service.listenAddress, { { "hold", false } });
    fixture.dispatcher.waitIdle();
    return waitMs;
}

} // namespace

TEST_CASE("request dispatcher: a refusal is sent later if the connection is full, without blocking")
{
    dispatcher_fixture fixture;
    fixture.isFull = true;
    fixture.dispatcher.onRequest(1, lookupRequest(1));
    CHECK(fixture.frames().empty());
    CHECK_FALSE(fixture.dispatcher.isIdle());
    fixture.isFull = false;
    REQUIRE(fixture.waitForFrames(1));
    CHECK(std::get<refusal_message>(fixture.frames()[0]).reason == "not_ready");
    fixture.dispatcher.waitIdle();
}

TEST_CASE("request dispatcher: a duplicate request frame runs once and is answered once")
{
    dispatcher_fixture fixture;
    fixture.dispatcher.setView(serviceView(), nullptr, {});
    setFaults(fixture.service.listenAddress, { { "hold", true } });
    fixture.dispatcher.onRequest(1, lookupRequest(1));
    fixture.dispatcher.onRequest(1, lookupRequest(1));
    setFaults(fixture.service.listenAddress, { { "hold", false } });
    fixture.dispatcher.waitIdle();
    CHECK(getJson(fixture.service.listenAddress, "/admin/executions")["total"] == 1);
    std::size_t ends = 0;
    for (const message& frame : fixture.frames())
        ends += std::holds_alternative<answer_end>(frame) ? 1 : 0;
    CHECK(ends == 1);
}

TEST_CASE("request dispatcher: a request that is cancelled while it waits never runs")
{
    dispatcher_fixture fixture;
    side_view view = serviceView();
    view.upstream.slots = 1;
    fixture.dispatcher.setView(view, nullptr, {});
    setFaults(fixture.service.listenAddress, { { "hold", true } });
    fixture.dispatcher.onRequest(1, lookupRequest(1));
    fixture.dispatcher.onRequest(2, lookupRequest(1));
    fixture.dispatcher.onRequest(2, lookupRequest(2));
    fixture.dispatcher.onCancel(2, 2);
    fixture.dispatcher.onConnectionClosed(2);
    setFaults(fixture.service.listenAddress, { { "hold", false } });
    fixture.dispatcher.waitIdle();
    CHECK(getJson(fixture.service.listenAddress, "/admin/executions")["total"] == 1);
}

TEST_CASE(
    "request dispatcher: only successful answers and exceeded deadlines are samples of the service time")
{
    CHECK(isServiceTimeSample(makeOutcome(verdict::Answered, "", 200)));
    CHECK(isServiceTimeSample(makeOutcome(verdict::MayHaveRun, "deadline", 0)));
    CHECK_FALSE(isServiceTimeSample(makeOutcome(verdict::Answered, "", 503)));
    CHECK_FALSE(isServiceTimeSample(makeOutcome(verdict::NotRun, "deadline", 0)));
    CHECK_FALSE(isServiceTimeSample(makeOutcome(verdict::MayHaveRun, "cancelled", 0)));
    CHECK_FALSE(isServiceTimeSample(makeOutcome(verdict::MayHaveRun, "entry_gone", 200)));
}

TEST_CASE("request dispatcher: a slow entry and a cancelled request do not raise the expected wait")
{
    constexpr milliseconds delay { 300 };
    dispatcher_fixture fixture;
    side_view view = serviceView();
    view.upstream.slots = 1;
    fixture.dispatcher.setView(view, nullptr, {});
    fixture.isFull = true;
    fixture.dispatcher.onRequest(1, lookupRequest(1));
    REQUIRE(until([&] { return getJson(fixture.service.listenAddress, "/admin/executions")["total"] == 1; }));
    std::this_thread::sleep_for(delay);
    fixture.isFull = false;
    fixture.dispatcher.waitIdle();
    setFaults(fixture.service.listenAddress, { { "hold", true } });
    fixture.dispatcher.onRequest(1, lookupRequest(2));
    REQUIRE(until([&] { return getJson(fixture.service.listenAddress, "/admin/executions")["total"] == 2; }));
    std::this_thread::sleep_for(delay);
    fixture.dispatcher.onCancel(1, 2);
    fixture.dispatcher.waitIdle();
    CHECK(expectedWaitBehindOne(fixture) == 0);
}
