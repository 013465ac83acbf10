#pragma once

#include "Base/clock.h"
#include "Fleet/fleet_config.h"
#include "Fleet/loaded_models_report.h"
#include "Fleet/model_ref.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace sagesaddle {

/// \brief What an engine holds and may come to hold, as the one that gives it orders knows it; pure.
///
/// An order without an answer may still be carried out, seconds later. What it loads counts as held until the
/// engine accepted a later order, since each order names the number of orders before it, and a report taken
/// after that lacks it. So memory and adapter places are never ordered twice.
class engine_model_tracker {
public:
    /// \param config what engines of its service can hold; shared by their books
    engine_model_tracker(std::string upstream, engine_config_ptr config);

    const std::string& upstream() const { return m_upstream; }
    const engine_config& config() const { return *m_config; }

    /// Takes in a report that was asked for at that time; one asked for before the last order is ignored.
    void onReport(const loaded_models_report& report, monotonic_time askedAt, monotonic_time now);
    void onReportFailed(monotonic_time now);

    void onOrderSent(const model_order& order, monotonic_time now);
    /// \param status the answer's status, nothing where none came
    void onOrderAnswered(std::optional<int> status, monotonic_time now);

    /// Counts adapters that had time to arrive as held.
    /// \return whether there were any
    bool completeAdapterLoads(monotonic_time now);

    /// \return whether a report is due, to know what an order led to.
    bool needsReport(monotonic_time now) const;
    void onReportRequested() { m_reportPending = true; }

    /// \return whether an order may be sent now.
    bool maySendOrders() const;
    std::uint64_t expectedOrders() const { return m_report->acceptedOrders; }

    bool isKnown() const { return m_report.has_value(); }
    /// \return whether it holds the model or adapter, ready for use.
    bool hasLoaded(const std::string& holding) const { return m_held.contains(holding); }
    /// \return whether it holds it, is loading it or may come to load it.
    bool mayBeLoaded(const std::string& holding) const;
    const std::set<std::string>& loaded() const { return m_held; }
    /// \return all that it holds, is loading or may come to load, ready or not.
    const std::set<std::string>& possiblyLoaded() const;
    /// \return models that load without the weight store.
    const std::set<std::string>& hostCached() const { return m_atHand; }
    /// \return whether the model loads without the weight store.
    bool isHostCached(const std::string& model) const { return m_atHand.contains(model); }
    /// \return whether a model is on its way.
    bool isLoading() const { return !m_loading.empty(); }

    /// \return adapter places that are surely free.
    int freeAdapterSlots() const;
    /// \return memory for weights that is surely free, in MB.
    double freeWeightMemoryMb() const;
    /// \return the same once what was ordered to be dropped is gone.
    double freeAfterUnloadsMb() const;
    /// \return a number that rises whenever what is held changes.
    std::uint64_t revision() const { return m_revision; }

private:
    /// What follows from all that it holds, kept until that changes.
    struct summary {
        std::set<std::string> possible;
        int freeAdapterSlots { 0 };
        double freeWeightMemoryMb { 0 };
        double freeAfterUnloadsMb { 0 };
    };

    const summary& summarized() const;
    std::set<std::string> everything() const;
    double weightsOf(const std::string& holding) const;

    std::string m_upstream;
    engine_config_ptr m_config;
    mutable std::optional<summary> m_summary;
    std::optional<loaded_models_report> m_report;
    std::set<std::string> m_held;
    std::set<std::string> m_coming;
    /// The model that an accepted order loads; reports do not name it.
    std::string m_loading;
    /// Ordered to be dropped: not to be used, though its memory is not free yet.
    std::set<std::string> m_leaving;
    std::set<std::string> m_atHand;
    std::optional<model_order> m_outstanding;
    /// Adapters on their way, with the time from which they count as there.
    std::map<std::string, monotonic_time> m_arriving;
    /// Loads without an answer, with the number of orders that each expected.
    std::map<std::string, std::uint64_t> m_doubtful;
    monotonic_time m_lastOrderAt {};
    monotonic_time m_reportDueAt {};
    bool m_reportPending { false };
    std::uint64_t m_revision { 0 };
};

} // namespace sagesaddle
