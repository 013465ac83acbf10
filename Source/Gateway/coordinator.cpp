#include "Gateway/coordinator.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace sagesaddle {

namespace {

// Time without a report after which a gateway counts as gone and its work as ended.
constexpr milliseconds silentAfter { 1500 };
// Time for which a gateway counts among those that share the limits.
constexpr milliseconds countedFor { 10000 };
// Age of a report up to which it tells how things are; reports of a small fleet come every 100 ms.
constexpr milliseconds heardWithin { 700 };

// Differences of load that are too small to change a choice.
constexpr std::uint32_t smallInFlight = 1;
constexpr double smallTokensAhead = 400;
constexpr double smallMemoryTokens = 3000;

bool isAlike(const upstream_work& told, const upstream_work& value)
{
    const auto inFlight
        = static_cast<std::int64_t>(value.inFlight) - static_cast<std::int64_t>(told.inFlight);
    return std::abs(inFlight) <= smallInFlight
        && std::abs(value.tokensAhead - told.tokensAhead) <= smallTokensAhead
        && std::abs(value.memoryTokens - told.memoryTokens) <= smallMemoryTokens;
}

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
    makeBooks();
}

void coordinator::begin(monotonic_time now)
{
    m_bank = {};
    m_bank.setTeams(m_teams, now);
    m_reporters.clear();
    m_work.clear();
    m_books.clear();
    m_planners.clear();
    for (const auto& [name, engine] : m_engines)
        m_planners.try_emplace(name, engine.loadsPerSecond);
    makeBooks();
}

void coordinator::onUpstreams(const upstream_list& list)
{
    ++m_listRevision;
    for (auto& [id, known] : m_listings) {
        if (known.isRemoved || list.entries().contains(id))
            continue;
        known.isRemoved = true;
        known.revision = m_listRevision;
        // A removal without a record of its own still comes after the entry's last one.
        known.offset = std::max(list.offsetOf(id), known.offset + 1);
        m_books.erase(id);
    }
    for (const auto& [id, entry] : list.entries()) {
        const auto [place, isNew] = m_listings.try_emplace(id);
        listing& known = place->second;
        if (!isNew && !known.isRemoved && known.entry == entry)
            continue;
        if (!known.entry.isSameStart(entry))
            m_books.erase(id);
        known = { entry, list.offsetOf(id), m_listRevision, false };
    }
    makeBooks();
}

void coordinator::makeBooks()
{
    for (const auto& [id, known] : m_listings) {
        const auto engine = m_engines.find(known.entry.service);
        if (!known.isRemoved && engine != m_engines.end())
            m_books.try_emplace(id, id, engine->second);
    }
}

void coordinator::replaceWork(reporter& from, const std::vector<upstream_work>& work)
{
    for (const auto& [id, old] : from.work) {
        auto& sum = m_work[id];
        sum.inFlight -= old.inFlight;
        sum.tokensAhead -= old.tokensAhead;
        sum.memoryTokens -= old.memoryTokens;
        if (sum.inFlight == 0)
            m_work.erase(id);
    }
    from.work.clear();
    for (const auto& added : work) {
        auto& sum = m_work.try_emplace(added.upstream, upstream_work { added.upstream }).first->second;
        sum.inFlight += added.inFlight;
        sum.tokensAhead += added.tokensAhead;
        sum.memoryTokens += added.memoryTokens;
        from.work[added.upstream] = added;
    }
}

void coordinator::forgetSilent(monotonic_time now)
{
    for (auto& [name, known] : m_reporters) {
        if (now - known.heardAt > silentAfter && !known.work.empty())
            replaceWork(known, {});
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

fleet_news coordinator::onReport(const fleet_report& report, monotonic_time now)
{
    forgetSilent(now);
    reporter& from = m_reporters[report.entry];
    if (report.wantsAll) {
        from.toldHoldings.clear();
        from.toldWork.clear();
        from.toldList = 0;
    }
    replaceWork(from, report.work);
    from.heardAt = now;
    from.isStoreAway = report.isStoreAway;
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
    tellWork(from, news);
    tellHoldings(from, news);
    tellList(from, news);
    return news;
}

void coordinator::tellWork(reporter& to, fleet_news& news) const
{
    std::map<std::string, upstream_work> others;
    for (const auto& [id, sum] : m_work) {
        upstream_work value = sum;
        const auto own = to.work.find(id);
        if (own != to.work.end()) {
            value.inFlight -= own->second.inFlight;
            value.tokensAhead = std::max(0.0, value.tokensAhead - own->second.tokensAhead);
            value.memoryTokens = std::max(0.0, value.memoryTokens - own->second.memoryTokens);
        }
        if (value.inFlight > 0)
            others.emplace(id, std::move(value));
    }
    for (const auto& [id, told] : to.toldWork) {
        if (!others.contains(id))
            news.work.push_back({ id });
    }
    for (const auto& [id, value] : others) {
        const auto told = to.toldWork.find(id);
        if (told != to.toldWork.end() && isAlike(told->second, value))
            continue;
        news.work.push_back(value);
        to.toldWork[id] = value;
    }
    std::erase_if(to.toldWork, [&](const auto& item) { return !others.contains(item.first); });
}

void coordinator::tellHoldings(reporter& to, fleet_news& news) const
{
    for (const auto& [id, book] : m_books) {
        if (!book.isKnown() && book.held().empty())
            continue;
        // Revision 0 is told too: it may differ from the listing.
        const std::uint64_t revision = book.revision() + 1;
        auto& told = to.toldHoldings[id];
        if (told == revision)
            continue;
        told = revision;
        news.holdings.push_back({ id, { book.held().begin(), book.held().end() } });
    }
}

void coordinator::tellList(reporter& to, fleet_news& news) const
{
    if (to.toldList == m_listRevision)
        return;
    news.isListWhole = to.toldList == 0;
    for (const auto& [id, known] : m_listings) {
        if (known.revision <= to.toldList || (news.isListWhole && known.isRemoved))
            continue;
        listed_upstream item { id, known.offset, known.isRemoved, known.entry.service,
            formatAddress(known.entry.where), known.entry.zone, static_cast<std::uint32_t>(known.entry.slots),
            known.entry.isDraining, known.entry.startedAt, known.entry.orders,
            holdingNames(known.entry.models) };
        news.listed.push_back(std::move(item));
    }
    to.toldList = m_listRevision;
}

std::vector<planned_holding> coordinator::plan(monotonic_time now)
{
    std::vector<planned_holding> orders;
    for (const auto& [service, config] : m_engines) {
        std::vector<engine_sight> engines;
        for (const auto& [id, book] : m_books) {
            const listing& known = m_listings.at(id);
            if (known.entry.service != service)
                continue;
            const auto load = m_work.find(id);
            engines.push_back({ &book, known.entry.zone, known.entry.isDraining,
                load == m_work.end() ? 0 : static_cast<int>(load->second.inFlight), known.entry.slots });
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
