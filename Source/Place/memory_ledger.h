#pragma once

#include "Base/clock.h"
#include "Place/engine_report.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief Whether a ledger allows orders to the engine.
enum class ledger_phase {
    /// Not yet: the engine checks fencing tokens and this process has none.
    NoFence,
    /// Not yet: orders of an earlier process may still take effect.
    Settling,
    /// Orders are allowed.
    Open,
    /// Never again: a later process sends the orders now.
    FencedOff,
};

/// \return the name of the phase on status pages.
std::string_view nameOf(ledger_phase value);

/// \brief Accounts for the memory of one engine that models occupy or may yet occupy, and manages the orders
/// that change this.
///
/// Memory is reserved before an order is sent. It is released only when a report that is newer than the order
/// shows the order as settled, or when the engine rejects the only copy that was sent. The engine's memory is
/// therefore never overcommitted. \see docs/design/memory-ledger.md
///
/// No I/O and no clock; not thread-safe.
class memory_ledger {
public:
    struct options {
        /// Whether the engine rejects orders with a lower fencing token than it has received before.
        bool checksFencing { false };
        /// An order of an earlier process takes effect within this time of the report on which it was based,
        /// or never. Used for engines that do not check fencing tokens, and to tell the report of a restarted
        /// engine from an old report.
        milliseconds settlingTime { 10000 };
        /// Run id of this process, unique to each start; the ids of its orders begin with it.
        std::string runId;
    };

    /// \param startedAt when this process started
    memory_ledger(options settings, monotonic_time startedAt);

    /// \param totalMb memory of the engine according to the records, in MB; 0 if they do not state it
    void setTotal(std::uint64_t totalMb) { m_recordedTotalMb = totalMb; }

    /// Sets the fencing token of this process, which new orders carry. For an engine that checks tokens, the
    /// first call also adds the order that makes the engine accept the token.
    void setFence(std::uint64_t fence);
    std::optional<std::uint64_t> fence() const { return m_fence; }

    ledger_phase phase() const;

    /// Reserves memory for a model and adds the order to load it, to be sent by takeOrdersToSend().
    /// \return the order; empty unless the phase is Open, the model occupies no memory and `memoryMb` MB are
    ///         free
    std::optional<engine_order> reserveLoad(const std::string& model, std::uint64_t memoryMb);

    /// Adds the order to unload a model, to be sent by takeOrdersToSend().
    /// \return the order; empty unless the phase is Open and the model is usable and has no outstanding order
    std::optional<engine_order> orderUnload(const std::string& model);

    /// \return the orders to send now: those not sent yet, and those to be sent again because an answer was
    ///         lost. They count as sent at `now`; the caller must report the answer of each by onReply().
    std::vector<engine_order> takeOrdersToSend(monotonic_time now);

    /// \param sequence sequence of the engine if the reply is Accepted; otherwise ignored
    void onReply(const std::string& orderId, order_reply reply, std::uint64_t sequence);

    /// \param requestedAt when the report was requested; the process may have been paused between that and
    ///        reading the report
    void onReport(const engine_report& report, monotonic_time requestedAt);

    /// \return whether an order may be sent now. If the engine does not check fencing tokens, only a recent
    ///         report shows that no later process sends orders. A process that was paused must read a new
    ///         report first.
    bool maySend(monotonic_time now) const;

    /// \return memory in MB that no model occupies or may yet occupy; 0 unless the phase is Open.
    std::uint64_t freeMb() const;

    /// \return memory in MB that the outstanding unloads will free.
    std::uint64_t unloadingMb() const;

    /// \return memory of the engine in MB: the lower of the recorded and the reported size.
    std::uint64_t totalMb() const;

    /// \return the models that occupy memory according to the newest report, by name.
    const std::map<std::string, resident_model>& models() const { return m_report.models; }

    /// \return whether the model occupies memory or has an outstanding order, so that it may yet occupy some.
    bool occupiesMemory(const std::string& model) const;

    /// \return whether the model can be used: it is loaded and no unload of it is outstanding.
    bool isUsable(const std::string& model) const;

    /// \return whether an order for the model is outstanding.
    bool hasOrderFor(const std::string& model) const;
    /// \return the number of orders that are not settled.
    std::size_t ordersOutstanding() const { return m_orders.size(); }

    /// \return when the content of the newest report was current; empty before the first report.
    std::optional<monotonic_time> reportContentTime() const { return m_reportContentTime; }

private:
    struct outstanding_order {
        engine_order order;
        bool isSent { false };
        /// A copy was sent and not answered, so it may still take effect.
        bool hasUnansweredCopy { false };
        bool mustBeSent { true };
        /// Sequence of the engine when it accepted the order.
        std::optional<std::uint64_t> acceptedSequence;
        monotonic_time lastSentAt;
    };

    engine_order& addOrder(order_action action, const std::string& model, std::uint64_t memoryMb);
    /// \return memory in MB that is occupied or reserved.
    std::uint64_t committedMb() const;
    /// Marks all orders to be sent again if the report shows that the engine restarted.
    /// \return whether the report is older than the newest one.
    bool isOutdated(const engine_report& report, monotonic_time requestedAt);
    bool isOwn(const std::string& orderId) const;
    void detectLaterProcess();
    void removeSettledOrders();
    bool isSettled(const outstanding_order& entry) const;
    void openIfSettled();
    bool hasForeignOrderRunning() const;

    options m_options;
    monotonic_time m_startedAt;
    std::uint64_t m_recordedTotalMb { 0 };
    /// An offset of the log, so 0 is a valid token: that of the log's first record.
    std::optional<std::uint64_t> m_fence;
    std::uint64_t m_nextOrderNumber { 1 };
    bool m_isOpen { false };
    bool m_isFencedOff { false };
    /// Sequence of the engine when it accepted the fencing token of this process.
    std::optional<std::uint64_t> m_fenceAcceptedSequence;
    /// Id of the order that makes the engine accept the fencing token.
    std::string m_fenceOrderId;
    std::map<std::string, outstanding_order> m_orders;
    engine_report m_report;
    std::optional<monotonic_time> m_reportContentTime;
    monotonic_time m_reportRequestedAt;
    /// Ids of the orders that the engine listed when the ledger opened; those of other processes are of
    /// earlier ones.
    std::set<std::string> m_earlierOrders;
};

} // namespace sagesaddle
