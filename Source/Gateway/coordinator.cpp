#include "Gateway/coordinator.h"

#include <algorithm>

namespace sagesaddle {

namespace {

// Time without a report after which a gateway counts as gone and its work as ended.
constexpr milliseconds silentAfter { 1500 };
// Time for which a gateway counts among those that share the limits.
constexpr milliseconds countedFor { 10000 };
// Age of a report up to which it tells how things are; reports come every 100 ms.
constexpr milliseconds heardWithin { 400 };

} // namespace

void coordinator::onConfig(const fleet_config& config, monotonic_time now)
{
    m_teams = config.teams;
    m_bank.setTeams(m_teams, now);
    m_engines.clear();
    for (const auto& service : config.services) {
        if (!service.engine)
            continue;
        m_engines.emplace(service.name, *service.engine);
        m_planners.try_emplace(service.name, service.engine->loadsPerSecond);
    }
    onUpstreams(m_entries);
}

void coordinator::begin(monotonic_time now)
{
    m_bank = {};
    m_bank.setTeams(m_teams, now);
    m_reporters.clear();
    m_books.clear();
    m_planners.clear();
    for (const auto& [name, engine] : m_engines)
        m_planners.try_emplace(name, engine.loadsPerSecond);
    onUpstreams(m_entries);
}

void coordinator::onUpstreams(const std::map<std::string, upstream_entry>& entries)
{
    std::erase_if(m_books, [&](const auto& item) {
        const auto listed = entries.find(item.first);
        const auto known = m_entries.find(item.first);
        return listed == entries.end() || known == m_entries.end()
            || known->second.startedAt != listed->second.startedAt
            || known->second.where != listed->second.where;
    });
    if (&entries != &m_entries)
        m_entries = entries;
    for (const auto& [id, entry] : m_entries) {
        const auto engine = m_engines.find(entry.service);
        if (engine != m_engines.end())
            m_books.try_emplace(id, id, engine->second);
    }
}

std::map<std::string, upstream_work> coordinator::workWithout(const std::string& gateway) const
{
    std::map<std::string, upstream_work> total;
    for (const auto& [name, known] : m_reporters) {
        if (name == gateway)
            continue;
        for (const auto& work : known.work) {
            auto& sum = total.try_emplace(work.upstream, upstream_work { work.upstream }).first->second;
            sum.inFlight += work.inFlight;
            sum.tokensAhead += work.tokensAhead;
            sum.memoryTokens += work.memoryTokens;
        }
    }
    return total;
}

void coordinator::forgetSilent(monotonic_time now)
{
    for (auto& [name, known] : m_reporters) {
        if (now - known.heardAt > silentAfter)
            known.work.clear();
    }
    std::erase_if(m_reporters, [&](const auto& item) { return now - item.second.heardAt > countedFor; });
}

bool coordinator::isStoreAwayFromAll(monotonic_time now) const
{
    return !m_reporters.empty() && std::all_of(m_reporters.begin(), m_reporters.end(), [&](const auto& item) {
        return item.second.isStoreAway && now - item.second.heardAt <= heardWithin;
    });
}

std::uint32_t coordinator::gateways(monotonic_time now) const
{
    std::uint32_t count = 0;
    for (const auto& [name, known] : m_reporters)
        count += now - known.heardAt <= countedFor ? 1 : 0;
    return count;
}

fleet_news coordinator::onReport(const fleet_report& report, const void* link, monotonic_time now)
{
    forgetSilent(now);
    reporter& from = m_reporters[report.entry];
    from.work = report.work;
    from.heardAt = now;
    from.isStoreAway = report.isStoreAway;
    if (from.link != link) {
        from.link = link;
        from.toldRevisions.clear();
    }
    for (const auto& item : report.demand) {
        m_demand.onRequests(item.model, item.requests, item.unplaced, now);
        if (!item.adapter.empty())
            m_demand.onRequests(holdingName(item.model, item.adapter), item.requests, item.unplaced, now);
    }
    fleet_news news;
    news.number = report.number;
    news.entries = gateways(now);
    for (const auto& ask : report.credit) {
        const bank_grant grant = m_bank.grant(ask.team, ask.needed, ask.ahead, now);
        news.credit.push_back(
            { ask.team, grant.tokens, static_cast<std::uint32_t>(grant.retryAfter.count()) });
    }
    for (auto& [id, work] : workWithout(report.entry))
        news.work.push_back(std::move(work));
    for (const auto& [id, book] : m_books) {
        if (!book.isKnown() && book.held().empty())
            continue;
        // Revision 0 is told too: it may differ from the listing.
        const std::uint64_t told = book.revision() + 1;
        if (from.toldRevisions[id] == told)
            continue;
        from.toldRevisions[id] = told;
        news.holdings.push_back({ id, { book.held().begin(), book.held().end() } });
    }
    return news;
}

std::vector<planned_order> coordinator::plan(monotonic_time now)
{
    const auto work = workWithout({});
    std::vector<planned_order> orders;
    for (const auto& [service, config] : m_engines) {
        std::vector<engine_sight> engines;
        for (const auto& [id, entry] : m_entries) {
            const auto book = m_books.find(id);
            if (entry.service != service || book == m_books.end())
                continue;
            const auto load = work.find(id);
            engines.push_back({ &book->second, entry.zone, entry.isDraining,
                load == work.end() ? 0 : static_cast<int>(load->second.inFlight), entry.slots });
        }
        auto planned = m_planners.at(service).plan(engines, config, m_demand, now);
        orders.insert(orders.end(), planned.begin(), planned.end());
    }
    return orders;
}

void coordinator::onModelOrdered(const std::string& service, monotonic_time now)
{
    const auto planner = m_planners.find(service);
    if (planner != m_planners.end())
        planner->second.onModelOrdered(now);
}

} // namespace sagesaddle
