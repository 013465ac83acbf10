#include "Gateway/coordinator.h"

#include "Limit/credit_purse.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <utility>

namespace sagesaddle {

namespace {

// Time for which a gateway that is not heard counts among those that share the limits: it may be cut off from
// this one only. Longer cuts are rare, and leave it a hundredth of half of each limit in a large fleet.
constexpr milliseconds countedFor { 20000 };

// Between two looks at all books for what changed; reports come more often than that in a large fleet.
constexpr milliseconds stampPause { 20 };

// Bytes of news on their way up to which a gateway is told the whole list; a list of 3,000 upstreams is 1 MB.
constexpr std::size_t mostWholeNewsBytes = std::size_t { 8 } << 20U;
// Time between two whole lists, for each upstream in them: the weakest host that is fit takes about 6 us to
// tell one, and must go on answering for credit meanwhile.
constexpr std::chrono::microseconds wholeNewsPauseForEach { 15 };

// Differences of load that are too small to change a choice.
constexpr int smallInFlight = 1;
constexpr std::int64_t smallTokensAhead = 400;
constexpr std::int64_t smallMemoryTokens = 3000;

bool isAlike(const numbered_work& told, const numbered_work& value)
{
    // The end of all work is always told.
    if ((told.inFlight == 0) != (value.inFlight == 0))
        return false;
    return std::abs(value.inFlight - told.inFlight) <= smallInFlight
        && std::abs(std::int64_t { value.tokensAhead } - told.tokensAhead) <= smallTokensAhead
        && std::abs(std::int64_t { value.memoryTokens } - told.memoryTokens) <= smallMemoryTokens;
}

// Beyond these the work at an upstream is told as the largest number that the message holds.
numbered_work numberedWork(std::size_t number, const upstream_work& sum)
{
    const auto bounded = [](double value) {
        return static_cast<std::uint32_t>(
            std::clamp(value, 0.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
    };
    return { static_cast<std::uint16_t>(number),
        static_cast<std::uint16_t>(
            std::min<std::uint32_t>(sum.inFlight, std::numeric_limits<std::uint16_t>::max())),
        bounded(sum.tokensAhead), bounded(sum.memoryTokens) };
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
        m_engines.emplace(service.name, std::make_shared<const engine_config>(*service.engine));
        m_planners.try_emplace(service.name, service.engine->loadsPerSecond);
    }
    makeBooks();
}

void coordinator::beginTerm(unsigned expected, monotonic_time now)
{
    m_expected = expected;
    m_begunAt = now;
    m_bank = {};
    m_bank.setTeams(m_teams, now);
    m_reporters.clear();
    for (auto& sum : m_sums)
        sum = { sum.upstream };
    m_books.clear();
    m_stamps.clear();
    m_stampedAt = {};
    m_planners.clear();
    for (const auto& [name, engine] : m_engines)
        m_planners.try_emplace(name, engine->loadsPerSecond);
    m_isActive = true;
    makeBooks();
}

void coordinator::setInterimFleetSize(unsigned poolOf, monotonic_time now)
{
    if (poolOf > 0 && m_poolOf == 0)
        m_bank.empty(now);
    m_poolOf = poolOf;
    m_bank.setShare(grantedShare(now), now);
}

std::string coordinator::chooseSuccessor(const std::string& self, monotonic_time now)
{
    const milliseconds heardWithin = pace().heardWithin;
    const auto isFit = [&](const auto& item) {
        return item.first != self && !item.second.member.empty() && now - item.second.heardAt <= heardWithin;
    };
    // The one that was named keeps the place while it is heard, so that all know the same one.
    const auto named = m_reporters.find(m_successor);
    if (named != m_reporters.end() && isFit(*named))
        return named->second.member;
    const auto found = std::find_if(m_reporters.begin(), m_reporters.end(), isFit);
    m_successor = found == m_reporters.end() ? std::string() : found->first;
    return found == m_reporters.end() ? std::string() : found->second.member;
}

void coordinator::endTerm()
{
    m_isActive = false;
    m_books.clear();
    m_reporters.clear();
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
        dropBook(id, known.number);
    }
    for (const auto& [id, entry] : list.entries()) {
        const auto [place, isNew] = m_listings.try_emplace(id);
        listing& known = place->second;
        if (!isNew && !known.isRemoved && known.entry == entry)
            continue;
        if (!known.entry.isSameStart(entry))
            dropBook(id, known.number);
        known = { entry, list.offsetOf(id), m_listRevision, false, numberOf(id) };
    }
    makeBooks();
    forgetRemoved();
}

std::uint16_t coordinator::numberOf(const std::string& upstream)
{
    const auto known = m_numbers.find(upstream);
    if (known != m_numbers.end())
        return known->second;
    if (m_freeNumbers.empty()) {
        m_freeNumbers.push_back(static_cast<std::uint16_t>(m_sums.size()));
        m_sums.emplace_back();
    }
    const std::uint16_t number = m_freeNumbers.back();
    m_freeNumbers.pop_back();
    m_sums[number] = { upstream };
    m_numbers.emplace(upstream, number);
    return number;
}

void coordinator::forgetRemoved()
{
    for (auto entry = m_listings.begin(); entry != m_listings.end();) {
        const listing& known = entry->second;
        const bool isOver = known.isRemoved && m_sums[known.number].inFlight == 0
            && std::all_of(m_reporters.begin(), m_reporters.end(),
                [&](const auto& item) { return item.second.toldList >= known.revision; });
        if (!isOver) {
            ++entry;
            continue;
        }
        // The next upstream of that number has no work that anyone was told of.
        for (auto& [name, told] : m_reporters) {
            if (known.number < told.toldWork.size())
                told.toldWork[known.number] = { known.number };
        }
        m_freeNumbers.push_back(known.number);
        m_numbers.erase(entry->first);
        entry = m_listings.erase(entry);
    }
}

void coordinator::makeBooks()
{
    if (!m_isActive)
        return;
    for (const auto& [id, known] : m_listings) {
        const auto engine = m_engines.find(known.entry.service);
        if (!known.isRemoved && engine != m_engines.end())
            m_books.try_emplace(id, id, engine->second);
    }
}

void coordinator::dropBook(const std::string& upstream, std::uint16_t number)
{
    m_books.erase(upstream);
    if (number < m_stamps.size())
        m_stamps[number] = {};
}

void coordinator::replaceWork(reporter& from, const std::vector<upstream_work>& work)
{
    for (const auto& [number, old] : from.work) {
        auto& sum = m_sums[number];
        sum.inFlight -= old.inFlight;
        sum.tokensAhead -= old.tokensAhead;
        sum.memoryTokens -= old.memoryTokens;
        // What is left of adding and taking away fractions.
        if (sum.inFlight == 0)
            sum = { sum.upstream };
    }
    from.work.clear();
    for (const auto& added : work) {
        // An upstream that is not listed here is told by no number; the next report names it again.
        const auto known = m_numbers.find(added.upstream);
        if (known == m_numbers.end() || !from.work.try_emplace(known->second, added).second)
            continue;
        auto& sum = m_sums[known->second];
        sum.inFlight += added.inFlight;
        sum.tokensAhead += added.tokensAhead;
        sum.memoryTokens += added.memoryTokens;
    }
}

void coordinator::forgetSilent(monotonic_time now)
{
    const milliseconds silentAfter = pace().silentAfter;
    for (auto& [name, known] : m_reporters) {
        if (now - known.heardAt > silentAfter && !known.work.empty())
            replaceWork(known, {});
    }
    std::erase_if(m_reporters, [&](const auto& item) { return now - item.second.heardAt > countedFor; });
}

bool coordinator::admitFullUpdate(std::size_t unwritten, monotonic_time now)
{
    const auto pause = wholeNewsPauseForEach * std::ssize(m_listings);
    if (unwritten > mostWholeNewsBytes || (m_toldAllAt != monotonic_time {} && now - m_toldAllAt < pause))
        return false;
    m_toldAllAt = now;
    return true;
}

bool coordinator::isStoreUnreachableFromAll(monotonic_time now) const
{
    const milliseconds heardWithin = pace().heardWithin;
    return !m_reporters.empty() && std::all_of(m_reporters.begin(), m_reporters.end(), [&](const auto& item) {
        return item.second.isStoreAway && now - item.second.heardAt <= heardWithin;
    });
}

double coordinator::grantedShare(monotonic_time now) const
{
    const double hearing = heard(now);
    if (m_poolOf > 0)
        return std::min(1.0, hearing / m_poolOf);
    const unsigned expected = now - m_begunAt < countedFor ? m_expected : 0;
    const double all = std::max<double>(
        { 1.0, static_cast<double>(expected), static_cast<double>(knownGatewayCount(now)) });
    return 1 - shareAlone * std::max(0.0, all - hearing) / all;
}

fleet_pace coordinator::pace() const
{
    return paceOf(static_cast<unsigned>(m_reporters.size()));
}

unsigned coordinator::heard(monotonic_time now) const
{
    const milliseconds heardWithin = pace().heardWithin;
    return static_cast<unsigned>(std::count_if(m_reporters.begin(), m_reporters.end(),
        [&](const auto& item) { return now - item.second.heardAt <= heardWithin; }));
}

std::uint32_t coordinator::knownGatewayCount(monotonic_time now) const
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
    from.heardAt = now;
    from.isStoreAway = report.isStoreAway;
    if (!report.isOnlyCredit)
        from.member = report.member;
    m_bank.setShare(grantedShare(now), now);
    for (const auto& item : report.demand) {
        m_demand.onRequests(item.model, item.requests, item.unplaced, now);
        if (!item.adapter.empty())
            m_demand.onRequests(holdingName(item.model, item.adapter), item.requests, item.unplaced, now);
    }
    fleet_news news;
    news.number = report.number;
    news.entries = knownGatewayCount(now);
    for (const auto& ask : report.credit) {
        m_bank.giveBack(ask.team, ask.returned, now);
        if (ask.needed <= 0 && ask.ahead <= 0)
            continue;
        const bank_grant grant = m_bank.grant(ask.team, ask.needed, ask.ahead, now);
        news.credit.push_back(
            { ask.team, grant.tokens, static_cast<std::uint32_t>(grant.retryAfter.count()) });
    }
    if (report.isOnlyCredit)
        return news;
    if (report.wantsAll) {
        from.toldHoldings = 0;
        from.toldWork.clear();
        from.toldList = 0;
    }
    replaceWork(from, report.work);
    stampHoldings(now);
    tellWork(from, news);
    tellHoldings(from, news);
    tellList(from, news);
    return news;
}

void coordinator::tellWork(reporter& to, fleet_news& news) const
{
    to.toldWork.resize(m_sums.size());
    auto own = to.work.begin();
    for (std::size_t number = 0; number < m_sums.size(); ++number) {
        upstream_work others { {}, m_sums[number].inFlight, m_sums[number].tokensAhead,
            m_sums[number].memoryTokens };
        if (own != to.work.end() && own->first == number) {
            others.inFlight -= own->second.inFlight;
            others.tokensAhead -= own->second.tokensAhead;
            others.memoryTokens -= own->second.memoryTokens;
            ++own;
        }
        const numbered_work value = numberedWork(number, others.inFlight > 0 ? others : upstream_work {});
        if (isAlike(to.toldWork[number], value))
            continue;
        to.toldWork[number] = value;
        news.work.push_back(value);
    }
}

void coordinator::stampHoldings(monotonic_time now)
{
    if (now - m_stampedAt < stampPause)
        return;
    m_stampedAt = now;
    m_stamps.resize(m_sums.size());
    // Books and listings are in the same order.
    auto listed = m_listings.begin();
    for (const auto& [id, book] : m_books) {
        while (listed != m_listings.end() && listed->first < id)
            ++listed;
        if (listed == m_listings.end() || listed->first != id || (!book.isKnown() && book.held().empty()))
            continue;
        stamped_book& stamped = m_stamps[listed->second.number];
        // Revision 0 counts too: it may differ from the listing.
        const std::uint64_t revision = book.revision() + 1;
        if (std::exchange(stamped.revision, revision) != revision)
            stamped.holdings.onHeld(book.held(), ++m_newestStamp);
    }
}

void coordinator::tellHoldings(reporter& to, fleet_news& news) const
{
    if (to.toldHoldings == m_newestStamp)
        return;
    for (std::size_t number = 0; number < m_stamps.size(); ++number) {
        const held_changes& holdings = m_stamps[number].holdings;
        if (holdings.changed() <= to.toldHoldings)
            continue;
        news.holdings.push_back({ m_sums[number].upstream, holdings.since(to.toldHoldings) });
    }
    to.toldHoldings = m_newestStamp;
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
            known.entry.isDraining, known.entry.startedAt, known.entry.orders, {}, known.number };
        // What its engine was heard to hold is newer, and is told beside the list.
        if (known.number >= m_stamps.size() || m_stamps[known.number].holdings.changed() == 0)
            item.held = holdingNames(known.entry.models);
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
            engines.push_back({ &book, known.entry.zone, known.entry.isDraining,
                static_cast<int>(m_sums[known.number].inFlight), known.entry.slots });
        }
        auto planned = m_planners.at(service).plan(engines, *config, m_demand, now);
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
