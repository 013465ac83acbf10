#include "Side/request_dispatcher.h"
#include "Side/side_fixture.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// A dispatcher before a plain service, whose frames are kept, or not taken while the connection is full.
class dispatcher_path {
public:
    dispatcher_path()
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
    served<fake_service> service { "ledger" };

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

} // namespace

TEST_CASE("request dispatcher: a refusal for a full connection is sent later, and its sender never waits")
{
    dispatcher_path path;
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
    dispatcher_path path;
    path.dispatcher.setView(serviceView(), nullptr, {});
    post(path.service.at, "/admin/faults", R"({"hold":true})");
    path.dispatcher.onRequest(1, lookup(1));
    path.dispatcher.onRequest(1, lookup(1));
    post(path.service.at, "/admin/faults", R"({"hold":false})");
    path.dispatcher.waitIdle();
    CHECK(get(path.service.at, "/admin/executions")["total"] == 1);
    std::size_t ends = 0;
    for (const message& frame : path.frames())
        ends += std::holds_alternative<answer_end>(frame) ? 1 : 0;
    CHECK(ends == 1);
}

TEST_CASE("request dispatcher: a request whose caller left while it waited never runs")
{
    dispatcher_path path;
    side_view view = serviceView();
    view.upstream.slots = 1;
    path.dispatcher.setView(view, nullptr, {});
    post(path.service.at, "/admin/faults", R"({"hold":true})");
    path.dispatcher.onRequest(1, lookup(1));
    path.dispatcher.onRequest(2, lookup(1));
    path.dispatcher.onRequest(2, lookup(2));
    path.dispatcher.onCancel(2, 2);
    path.dispatcher.onConnectionClosed(2);
    post(path.service.at, "/admin/faults", R"({"hold":false})");
    path.dispatcher.waitIdle();
    CHECK(get(path.service.at, "/admin/executions")["total"] == 1);
}
