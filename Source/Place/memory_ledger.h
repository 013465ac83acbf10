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

/// \brief Whether a ledger lets orders be given.
enum class ledger_phase {
    /// The engine checks fencing numbers and this process has none yet.
    NoFence,
    /// What an earlier process ordered may still take effect.
    Settling,
    Open,
    /// A later process orders now; this one never does again.
    FencedOff,
};

/// \return the phase's name in status pages.
std::string_view nameOf(ledger_phase value);

/// \brief Counts the memory that an engine holds or may yet take; pure, one thread at a time.
///
/// Memory is reserved before an order leaves and given back only by a report that is newer than the order
/// and shows it settled. \see docs/design/memory-ledger.md
class memory_ledger {
public:
    struct options {
        bool checksFencing { false };
        /// An order of an earlier process takes effect within this time of the report that it was decided by,
        /// or never; counts only for engines that do not check fencing numbers, and for telling a restarted
        /// engine from an old report.
        milliseconds settling { 10000 };
        /// Starts the ids of this process's orders; unique to its run.
        std::string run;
    };

    memory_ledger(options settings, monotonic_time started);

    /// The engine's memory as the records say.
    void setTotal(std::uint64_t totalMb) { m_recordedTotalMb = totalMb; }

    /// Takes this process's fencing number; orders that wait carry it from now on.
    void setFence(std::uint64_t fence);
    std::optional<std::uint64_t> fence() const { return m_fence; }

    ledger_phase phase() const;

    /// Reserves memory and makes the order; nothing where the order may not be given.
    std::optional<engine_order> reserveLoad(const std::string& model, std::uint64_t memoryMb);

    /// Makes the order to unload a model that is loaded; nothing where it may not be given.
    std::optional<engine_order> orderUnload(const std::string& model);

    /// \return the orders to send now: those not sent yet, and again those whose reply was lost.
    std::vector<engine_order> takeOrdersToSend(monotonic_time now);

    /// \param sequence of the engine, where it accepted the order
    void onReply(const std::string& orderId, order_reply reply, std::uint64_t sequence);

    /// \param asked when the report was asked for: a pause may lie between that and its reading
    void onReport(const engine_report& report, monotonic_time asked);

    /// \return whether an order may leave now. Before an engine that ignores fencing numbers only a fresh
    /// report
    ///         tells that no later process orders, so that one that was paused must read another one first.
    bool maySend(monotonic_time now) const;

    /// \return memory that no model holds or may yet take; 0 unless open.
    std::uint64_t freeMb() const;

    /// \return memory that settles free once the outstanding unloads are done.
    std::uint64_t unloadingMb() const;

    std::uint64_t totalMb() const;

    /// \return models as the newest report has them.
    const std::map<std::string, resident_model>& models() const { return m_report.models; }

    /// \return whether the model holds memory or may yet take some.
    bool occupiesMemory(const std::string& model) const;

    /// \return whether the model can be used: loaded, and not ordered away.
    bool isUsable(const std::string& model) const;

    bool hasOrderFor(const std::string& model) const;
    std::size_t ordersOutstanding() const { return m_orders.size(); }

    /// \return when the content of the newest report was made, or nothing before there is one.
    std::optional<monotonic_time> reportContentTime() const { return m_reportMade; }

private:
    struct outstanding_order {
        engine_order order;
        bool isSent { false };
        /// A copy was sent whose reply never came.
        bool isInDoubt { false };
        bool wantsSending { true };
        std::optional<std::uint64_t> acceptedAt;
        monotonic_time lastSent;
    };

    engine_order& add(order_action action, const std::string& model, std::uint64_t memoryMb);
    std::uint64_t committedMb() const;
    bool isStale(const engine_report& report, monotonic_time asked);
    bool isOwn(const std::string& orderId) const;
    void checkSuperseded();
    void settleOrders();
    bool isSettled(const outstanding_order& entry) const;
    void checkOpening();
    bool hasForeignOrderRunning() const;

    options m_options;
    monotonic_time m_started;
    std::uint64_t m_recordedTotalMb { 0 };
    /// A log offset; the first record of a log has the offset 0.
    std::optional<std::uint64_t> m_fence;
    std::uint64_t m_nextOrder { 1 };
    bool m_isOpen { false };
    bool m_isFencedOff { false };
    /// The engine's sequence at which it took this process's fencing number.
    std::optional<std::uint64_t> m_fenceAccepted;
    std::string m_openingOrder;
    std::map<std::string, outstanding_order> m_orders;
    engine_report m_report;
    std::optional<monotonic_time> m_reportMade;
    monotonic_time m_reportAsked;
    /// Orders of other processes that the engine listed when the ledger opened.
    std::set<std::string> m_earlierOrders;
};

} // namespace sagesaddle
