#pragma once

#include "Fleet/fleet_config.h"
#include "Limit/credit_bank.h"
#include "Place/engine_book.h"
#include "Plan/holding_planner.h"
#include "Wire/fleet_messages.h"

#include <map>

namespace sagesaddle {

/// \brief What the coordinating gateway knows of the others, and its answers to their reports; pure.
///
/// Its state grows with the gateways and the upstreams they use, and each report is answered once.
class coordinator {
public:
    /// Takes in the teams and engines of a configuration.
    void onConfig(const fleet_config& config, monotonic_time now);

    /// Begins a tenure: what was granted before may still be spent, so buckets start half full.
    void begin(monotonic_time now);

    /// Answers a report.
    /// \param link tells connections apart: news of holdings are sent once on each
    fleet_news onReport(const fleet_report& report, const void* link, monotonic_time now);

    /// \return whether every gateway that was heard lately is still heard and finds the store away: then
    /// nobody can take the lease, and credit may go on beyond it.
    bool isStoreAwayFromAll(monotonic_time now) const;

    /// Makes or drops the books so that there is one for each engine.
    void onUpstreams(const std::map<std::string, upstream_entry>& entries);

    std::map<std::string, engine_book>& books() { return m_books; }

    /// \return what to order now.
    std::vector<planned_order> plan(monotonic_time now);
    void onModelOrdered(const std::string& service, monotonic_time now);

    /// \return gateways that reported lately.
    std::uint32_t gateways(monotonic_time now) const;

private:
    struct reporter {
        std::vector<upstream_work> work;
        monotonic_time heardAt {};
        bool isStoreAway { false };
        const void* link { nullptr };
        std::map<std::string, std::uint64_t> toldRevisions;
    };

    void forgetSilent(monotonic_time now);
    std::map<std::string, upstream_work> workWithout(const std::string& gateway) const;

    credit_bank m_bank;
    demand_meter m_demand;
    std::vector<team_config> m_teams;
    std::map<std::string, engine_config> m_engines;
    std::map<std::string, upstream_entry> m_entries;
    std::map<std::string, engine_book> m_books;
    std::map<std::string, holding_planner> m_planners;
    std::map<std::string, reporter> m_reporters;
};

} // namespace sagesaddle
