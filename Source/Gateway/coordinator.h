#pragma once

#include "Fleet/fleet_config.h"
#include "Fleet/fleet_pace.h"
#include "Fleet/held_changes.h"
#include "Fleet/upstream_list.h"
#include "Limit/credit_bank.h"
#include "Place/engine_book.h"
#include "Plan/holding_planner.h"
#include "Wire/fleet_messages.h"

#include <map>
#include <unordered_map>

namespace sagesaddle {

/// \brief What the coordinating gateway knows of the others, and its answers to their reports; pure.
///
/// Its state grows with the gateways and the upstreams they use, and each report is answered once.
class coordinator {
public:
    /// Takes in the teams and engines of a configuration.
    void onConfig(const fleet_config& config, monotonic_time now);

    /// Begins a tenure: what was granted before may still be spent, so buckets start half full.
    /// \param expected gateways that shared the limits before, as far as known: those that do not report may
    /// live
    void beginTerm(unsigned expected, monotonic_time now);

    /// Says on what ground credit is granted. Without the lease the buckets begin empty: the coordinator that
    /// fell silent may be alive and have granted all. \param poolOf 0 with the lease; without it, gateways
    /// among which the limits are shared: only the shares of those that report here are granted
    void setInterimFleetSize(unsigned poolOf, monotonic_time now);

    /// \return name in the lease of the gateway that is to coordinate next; empty where none is fit.
    /// \param self the gateway that coordinates
    std::string chooseSuccessor(const std::string& self, monotonic_time now);

    /// Ends a tenure: what only the coordinator needs is dropped.
    void endTerm();

    /// Answers a report: credit, and what changed since the last news to that gateway.
    fleet_news onReport(const fleet_report& report, monotonic_time now);

    /// Bounds how often a gateway is told everything. Answers all gateways at once after a start: were each
    /// told at once, the answers would come later than the gateways wait, and they would begin anew. \param
    /// unwritten bytes of news that gateways have not taken yet \return whether a report that wants
    /// everything may be answered so; it then counts as done
    bool admitFullUpdate(std::size_t unwritten, monotonic_time now);

    /// \return whether every gateway that was heard lately is still heard and finds the store away: then
    /// nobody can take the lease, and credit may go on beyond it.
    bool isStoreUnreachableFromAll(monotonic_time now) const;

    /// Makes or drops the books so that there is one for each engine.
    /// \param list the platform's list as it is known here
    void onUpstreams(const upstream_list& list);

    std::map<std::string, engine_book>& books() { return m_books; }

    /// \return what to order now.
    std::vector<planned_holding> plan(monotonic_time now);
    void onModelOrdered(const std::string& service, monotonic_time now);

    /// \return gateways that reported lately.
    std::uint32_t knownGatewayCount(monotonic_time now) const;

private:
    struct reporter {
        /// By the upstream's number.
        std::map<std::uint16_t, upstream_work> work;
        monotonic_time heardAt {};
        bool isStoreAway { false };
        std::string member;
        /// The newest stamp of holdings that was told.
        std::uint64_t toldHoldings { 0 };
        /// By the upstream's number.
        std::vector<numbered_work> toldWork;
        std::uint64_t toldList { 0 };
    };

    /// An upstream of the list with the revision in which it changed last.
    struct listing {
        upstream_entry entry;
        std::uint64_t offset { 0 };
        std::uint64_t revision { 0 };
        bool isRemoved { false };
        std::uint16_t number { 0 };
    };

    /// What an engine's book held, and the book's revision then.
    struct stamped_book {
        std::uint64_t revision { 0 };
        held_changes holdings;
    };

    /// \return the times that follow from the number of gateways that report.
    fleet_pace pace() const;
    void forgetSilent(monotonic_time now);
    /// \return gateways whose last report is recent.
    unsigned heard(monotonic_time now) const;
    /// \return the part of each team's rate that may be granted here: gateways that are not heard spend the
    /// rest.
    double grantedShare(monotonic_time now) const;
    void replaceWork(reporter& from, const std::vector<upstream_work>& work);
    /// Looks which engines' holdings changed.
    void stampHoldings(monotonic_time now);
    void tellWork(reporter& to, fleet_news& news) const;
    void tellHoldings(reporter& to, fleet_news& news) const;
    void tellList(reporter& to, fleet_news& news) const;
    void makeBooks();
    /// Drops an engine's book, which may begin anew: all that it holds is told again.
    void dropBook(const std::string& upstream, std::uint16_t number);
    /// \return the number that names an upstream in the news; it keeps it when it is listed again.
    std::uint16_t numberOf(const std::string& upstream);
    /// Forgets removed upstreams that every gateway was told of; their numbers are free again.
    void forgetRemoved();

    bool m_isActive { false };
    unsigned m_poolOf { 0 };
    unsigned m_expected { 0 };
    monotonic_time m_begunAt {};
    /// The reporter that was named as the next coordinator.
    std::string m_successor;
    credit_bank m_bank;
    demand_meter m_demand;
    std::vector<team_config> m_teams;
    std::map<std::string, engine_config_ptr> m_engines;
    std::map<std::string, listing> m_listings;
    std::uint64_t m_listRevision { 0 };
    std::unordered_map<std::string, std::uint16_t> m_numbers;
    std::vector<std::uint16_t> m_freeNumbers;
    /// Work of all gateways together, by the upstream's number.
    std::vector<upstream_work> m_sums;
    std::map<std::string, engine_book> m_books;
    /// By the upstream's number.
    std::vector<stamped_book> m_stamps;
    std::uint64_t m_newestStamp { 0 };
    monotonic_time m_stampedAt {};
    monotonic_time m_toldAllAt {};
    std::map<std::string, holding_planner> m_planners;
    std::map<std::string, reporter> m_reporters;
};

} // namespace sagesaddle
