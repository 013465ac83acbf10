#include "Gateway/engine_order_sender.h"

#include "Base/http_status.h"
#include "engine_calls.h"
#include "upstream_reader.h"

#include <stdexcept>

namespace sagesaddle {

namespace {

// Timeout of a request for a report and of an order; an engine answers both without a free slot.
constexpr milliseconds engineTimeout { 800 };
// Reports list the models and the requests of one engine and have some kilobytes.
constexpr std::size_t maxEngineAnswerBytes = 262144;
// Reports requested at the same time; after a start those of all engines are due.
constexpr std::size_t maxPendingReports = 64;
// Number of engines that lengthens the shortest time between two passes by 1 ms. A pass costs about 10 us of
// a core for each engine, and one pass serves a burst of reports of missing adapters. In a small fleet each
// report gets a pass.
constexpr std::size_t enginesPerMillisecondOfInterval = 16;

} // namespace

engine_order_sender::engine_order_sender(event_loop& loop, coordinator& planSource, std::string holder,
    std::function<const coordinator_lease&()> lease, decision_logger& lines, metric_registry& metrics)
    : m_loop(loop)
    , m_coordinator(planSource)
    , m_holder(std::move(holder))
    , m_lease(std::move(lease))
    , m_lines(lines)
    , m_metrics(metrics)
    , m_planTimer(loop, [this] { runPass(); })
{
}

void engine_order_sender::onUpstreams(const std::map<std::string, upstream_entry>& entries)
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        const auto listed = entries.find(peer->first);
        if (listed != entries.end() && listed->second.isSameProcess(peer->second.entry)) {
            ++peer;
            continue;
        }
        // The pending call ends without calling its handler.
        m_pendingReports.erase(peer->first);
        m_removedPeers.push_back(std::move(peer->second));
        peer = m_peers.erase(peer);
    }
    for (const auto& [id, entry] : entries) {
        auto& peer = m_peers[id];
        peer.entry = entry;
        if (!peer.client)
            peer.client = std::make_unique<loop_http_client>(m_loop, entry.endpoint, maxEngineAnswerBytes);
    }
}

void engine_order_sender::runPass()
{
    m_removedPeers.clear();
    const monotonic_time now = monotonicNow();
    if (!m_lease().holds(bootTimeNow()))
        return;
    const milliseconds planInterval(m_coordinator.trackers().size() / enginesPerMillisecondOfInterval);
    if (now - m_plannedAt < planInterval) {
        m_planTimer.start(planInterval);
        return;
    }
    m_plannedAt = now;
    for (auto& [id, tracker] : m_coordinator.trackers()) {
        tracker.completeAdapterLoads(now);
        if (m_pendingReports.size() < maxPendingReports && tracker.needsReport(now)
            && !m_coordinator.isEvacuated(id) && m_coordinator.trySpendSend(id, now))
            requestReport(id, tracker);
    }
    if (!m_lease().maySendOrders(bootTimeNow()))
        return;
    for (const auto& planned : m_coordinator.plan(now))
        sendOrder(planned);
}

void engine_order_sender::requestReport(const std::string& id, engine_model_tracker& tracker)
{
    const auto peer = m_peers.find(id);
    if (peer == m_peers.end())
        return;
    tracker.onReportRequested();
    m_pendingReports.insert(id);
    const monotonic_time askedAt = monotonicNow();
    m_metrics.add("sagesaddle_engine_reports", "Reports asked of engines");
    peer->second.client->call(platform::formatReportCall(peer->second.entry.endpoint), engineTimeout,
        [this, id, askedAt](const std::optional<http_answer>& answer) {
            m_pendingReports.erase(id);
            const auto found = m_coordinator.trackers().find(id);
            if (found == m_coordinator.trackers().end())
                return;
            if (!answer || answer->status != statusOk) {
                found->second.onReportFailed(monotonicNow());
                return;
            }
            try {
                found->second.onReport(
                    platform::parseLoadedModelsReport(answer->body), askedAt, monotonicNow());
            } catch (const std::exception& error) {
                m_lines.write(log_level::Warning, "report_unreadable",
                    { { "upstream", id }, { "error", error.what() } }, monotonicNow());
                found->second.onReportFailed(monotonicNow());
            }
        });
}

void engine_order_sender::sendOrder(const planned_model_order& planned)
{
    const auto peer = m_peers.find(planned.upstream);
    const auto found = m_coordinator.trackers().find(planned.upstream);
    if (peer == m_peers.end() || found == m_coordinator.trackers().end())
        return;
    // The process may have been suspended since the plan was made.
    if (!m_lease().maySendOrders(bootTimeNow()) || m_coordinator.isEvacuated(planned.upstream)
        || !m_coordinator.trySpendSend(planned.upstream, monotonicNow()))
        return;
    engine_model_tracker& tracker = found->second;
    const model_order order { planned.what, planned.model, planned.adapter, m_holder, m_lease().fence(),
        tracker.expectedOrders() };
    const monotonic_time sentAt = monotonicNow();
    tracker.onOrderSent(order, sentAt);
    const bool isLoad = planned.what == model_order::action::Load;
    if (planned.adapter.empty() && isLoad && !tracker.isHostCached(planned.model))
        m_coordinator.onModelOrdered(peer->second.entry.service, sentAt);
    m_metrics.add("sagesaddle_engine_orders", "Orders given to engines",
        { { "action", isLoad ? "load" : "unload" },
            { "what", planned.adapter.empty() ? "model" : "adapter" } });
    peer->second.client->call(platform::formatOrderCall(peer->second.entry.endpoint, planned.upstream, order),
        engineTimeout, [this, planned, order, isLoad](const std::optional<http_answer>& answer) {
            m_lines.write(answer && answer->status < 300 ? log_level::Info : log_level::Warning, "order",
                { { "upstream", planned.upstream }, { "action", isLoad ? "load" : "unload" },
                    { "holding", formatModelRef(planned.model, planned.adapter) }, { "fence", order.fence },
                    { "expected", order.expectedOrders }, { "status", answer ? answer->status : 0 } },
                monotonicNow());
            const auto known = m_coordinator.trackers().find(planned.upstream);
            if (known != m_coordinator.trackers().end())
                known->second.onOrderAnswered(
                    answer ? std::optional<int>(answer->status) : std::nullopt, monotonicNow());
            // Uses the place of the unloaded adapter at once.
            if (!planned.adapter.empty() && !isLoad)
                runPass();
        });
}

} // namespace sagesaddle
