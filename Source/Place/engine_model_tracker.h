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

/// \brief Tracks which models and adapters an engine has loaded and which it may yet load, from its reports
/// and from the orders sent to it.
///
/// The engine may carry out an unanswered order seconds later. What such an order loads counts as possibly
/// loaded until the engine has accepted a later order, because each order names the number of orders before
/// it, and a report made after that lacks the model or adapter. Memory and adapter slots are therefore never
/// assigned twice.
///
/// Models and adapters are named by references, see formatModelRef(). No I/O and no clock; not thread-safe.
class engine_model_tracker {
public:
    /// \param upstream id of the engine
    /// \param config what an engine of the service can load; shared by the trackers of the service
    engine_model_tracker(std::string upstream, engine_config_ptr config);

    const std::string& upstream() const { return m_upstream; }
    const engine_config& config() const { return *m_config; }

    /// Applies a report. It is ignored while an order is unanswered, and if it may show the engine as it was
    /// before the last order.
    /// \param requestedAt when the report was requested
    void onReport(const loaded_models_report& report, monotonic_time requestedAt, monotonic_time now);
    /// A requested report did not arrive or could not be read.
    void onReportFailed(monotonic_time now);

    void onOrderSent(const model_order& order, monotonic_time now);
    /// \param status HTTP status of the answer; empty if there was no answer
    void onOrderAnswered(std::optional<int> status, monotonic_time now);

    /// Counts adapters as loaded whose load was accepted and has had time to complete.
    /// \return whether there were any
    bool completeAdapterLoads(monotonic_time now);

    /// \return whether a report should be requested now, to learn the effect of an order.
    bool needsReport(monotonic_time now) const;
    void onReportRequested() { m_reportPending = true; }

    /// \return whether an order may be sent now: the number of accepted orders is known, no order is
    ///         unanswered and the engine carries out none.
    bool maySendOrders() const;
    /// \return the number of orders that the engine has accepted, for the next order. Requires isKnown().
    std::uint64_t expectedOrders() const { return m_report->acceptedOrders; }

    /// \return whether the number of accepted orders is known. A rejected or unanswered order ends this until
    ///         the next report.
    bool isKnown() const { return m_report.has_value(); }
    /// \return whether the model or adapter is loaded and may be used.
    bool hasLoaded(const std::string& modelRef) const { return m_loaded.contains(modelRef); }
    /// \return whether the model or adapter is loaded, is being loaded or may yet be loaded.
    bool mayBeLoaded(const std::string& modelRef) const;
    /// \return the models and adapters that are loaded and may be used.
    const std::set<std::string>& loaded() const { return m_loaded; }
    /// \return the models and adapters that are loaded, are being loaded or may yet be loaded.
    const std::set<std::string>& possiblyLoaded() const;
    /// \return models that can be loaded without the weight store.
    const std::set<std::string>& hostCached() const { return m_hostCached; }
    /// \return whether the model can be loaded without the weight store.
    bool isHostCached(const std::string& model) const { return m_hostCached.contains(model); }
    /// \return whether a model is being loaded.
    bool isLoading() const { return !m_loadingModel.empty(); }

    /// \return adapter slots that are certainly free.
    int freeAdapterSlots() const;
    /// \return memory for weights that is certainly free, in MB.
    double freeWeightMemoryMb() const;
    /// \return memory for weights that will be free after the ordered unloads, in MB.
    double freeAfterUnloadsMb() const;
    /// \return a number that rises with each change of loaded().
    std::uint64_t revision() const { return m_revision; }

private:
    /// Values computed from all possibly loaded models; reset by each change.
    struct summary {
        std::set<std::string> possiblyLoaded;
        int freeAdapterSlots { 0 };
        double freeWeightMemoryMb { 0 };
        double freeAfterUnloadsMb { 0 };
    };

    const summary& currentSummary() const;
    /// \return all that may occupy memory or an adapter slot, including what is being unloaded.
    std::set<std::string> possiblyResident() const;
    double weightMemoryMbOf(const std::string& modelRef) const;

    std::string m_upstream;
    engine_config_ptr m_config;
    mutable std::optional<summary> m_summary;
    std::optional<loaded_models_report> m_report;
    std::set<std::string> m_loaded;
    /// Adapters that the engine reports as being loaded.
    std::set<std::string> m_loadingAdapters;
    /// The model that an accepted order loads; reports do not name it.
    std::string m_loadingModel;
    /// Ordered to be unloaded: may not be used, but its memory is not free yet.
    std::set<std::string> m_unloading;
    std::set<std::string> m_hostCached;
    std::optional<model_order> m_unansweredOrder;
    /// Adapters whose load was accepted, with the time from which they count as loaded.
    std::map<std::string, monotonic_time> m_adapterReadyAt;
    /// Models and adapters of loads that were never answered, with the number of accepted orders that each
    /// order expected.
    std::map<std::string, std::uint64_t> m_unconfirmedLoads;
    monotonic_time m_lastOrderAt {};
    monotonic_time m_reportDueAt {};
    bool m_reportPending { false };
    std::uint64_t m_revision { 0 };
};

} // namespace sagesaddle
