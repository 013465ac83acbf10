#include "Gateway/coordinator_client.h"

#include "Gateway/member_name.h"

#include <algorithm>
#include <set>

namespace sagesaddle {

namespace {

// Delay of a report that a request waits for, so that several share one.
constexpr milliseconds soon { 2 };
// Life of granted credit; a process that stood still longer spends none of it.
constexpr milliseconds grantLife { 1000 };
// Part of its objective that a request waits for credit before it is told that the limit is not known.
constexpr double creditPatience = 0.4;
// Between looks at what waits for credit.
constexpr milliseconds creditLook { 50 };
// Between two tries to reach the one that coordinates next; it declines until it misses the coordinator
// itself.
constexpr milliseconds successorPause { 150 };
// Time after the coordinator's connection was cut from which it is missed; a restarted one is back by then or
// not soon.
constexpr milliseconds cutReserve { 100 };
// When to come back where no coordinator is known.
constexpr milliseconds unknownRetryAfter { 600 };

std::vector<held_model> heldModels(const std::vector<std::string>& held)
{
    std::vector<held_model> models;
    for (const auto& name : held) {
        const holding_parts parts = splitHolding(name);
        if (parts.adapter.empty())
            models.push_back({ name, {} });
        else if (!models.empty() && models.back().name == parts.model)
            models.back().adapters.push_back(parts.adapter);
    }
    return models;
}

} // namespace

coordinator_client::coordinator_client(event_loop& loop, std::string self, std::string member, relay& relayed,
    decision_lines& lines, hooks value)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_member(std::move(member))
    , m_relay(relayed)
    , m_lines(lines)
    , m_hooks(std::move(value))
    , m_purse(grantLife, shareAlone)
    , m_reportTimer(loop, [this] { report(); })
{
}

void coordinator_client::start()
{
    m_reportTimer.start(pace().reportPause);
}

milliseconds coordinator_client::nextReportPause() const
{
    const bool anyWaits = std::any_of(
        m_waiting.begin(), m_waiting.end(), [](const auto& item) { return !item.second.empty(); });
    if (anyWaits)
        return std::min(creditLook, pace().reportPause);
    return m_isAlone ? std::min(successorPause, pace().reportPause) : pace().reportPause;
}

void coordinator_client::onConfig(const fleet_config& config)
{
    m_purse.setTeams(config.teams, suspendedNow());
}

void coordinator_client::onFleetSizeFromLease(unsigned count)
{
    if (!m_isAlone || m_purse.knowsEntries() || count == 0)
        return;
    m_purse.setEntries(count);
    m_relay.onLimitsKnown();
}

void coordinator_client::onLeaseHolder(const address& where, std::uint64_t leaseEnd)
{
    // Not renewed since it fell silent.
    if (where == m_silentPeer && leaseEnd <= m_silentEnd)
        return;
    m_holderEnd = leaseEnd;
    if (m_link && m_link->peer() == where)
        return;
    link(where);
}

void coordinator_client::link(const address& where)
{
    m_lostLink = std::move(m_link);
    forgetAsks();
    m_linkedAt = monotonicNow();
    m_wantsAll = true;
    m_linkWorked = false;
    m_numbered.clear();
    // The link before may still tell something until it is dropped.
    const std::uint64_t made = ++m_linksMade;
    m_link = std::make_unique<coordinator_link>(m_loop, where,
        coordinator_link::handlers { [this, made](const fleet_news& news) {
                                        if (made != m_linksMade || !m_link)
                                            return;
                                        monotonic_time askedAt {};
                                        while (!m_asked.empty() && m_asked.front().number <= news.number) {
                                            askedAt = m_asked.front().sentAt;
                                            m_asked.pop_front();
                                        }
                                        onNews(news, askedAt);
                                    },
            [this, made] {
                if (made == m_linksMade && m_link)
                    onLinkLost();
            } });
}

void coordinator_client::onLinkLost()
{
    // Its own handler is running; it is dropped when the next one comes.
    m_lostLink = std::move(m_link);
    const bool isSuccessor = !m_successor.empty() && m_lostLink->peer() == addressOfMember(m_successor);
    // A connection may break though the coordinator is sound: it is tried once more.
    if (std::exchange(m_linkWorked, false))
        m_again = m_lostLink->peer();
    if (!isSuccessor) {
        m_silentPeer = m_lostLink->peer();
        m_silentEnd = m_holderEnd;
    }
    if (!m_isAlone && !m_cutAt)
        m_cutAt = monotonicNow();
    forgetAsks();
    m_reportTimer.start(soon);
}

bool coordinator_client::hearsInterim(monotonic_time now) const
{
    return m_interimAt != monotonic_time {} && now - m_interimAt < pace().newsTimeout;
}

bool coordinator_client::mayAsk(monotonic_time now) const
{
    // A coordinator that was lost a moment ago is followed by another within the patience of many requests.
    return !m_isAlone || hearsInterim(now)
        || (!m_successor.empty() && now - m_newsAt < pace().newsTimeout * 2);
}

bool coordinator_client::isInterimDue() const
{
    if (m_member.empty() || m_successor != m_member)
        return false;
    const monotonic_time now = monotonicNow();
    return now - m_newsAt >= pace().newsTimeout || (m_cutAt && now - *m_cutAt >= cutReserve);
}

void coordinator_client::trySuccessor(monotonic_time now)
{
    if (m_successor.empty() || m_successor == m_member || now - m_triedSuccessorAt < successorPause)
        return;
    m_triedSuccessorAt = now;
    link(addressOfMember(m_successor));
}

void coordinator_client::forgetAsks()
{
    m_asked.clear();
    for (auto& [team, waiting] : m_waiting) {
        for (auto& item : waiting)
            item.isAsked = false;
    }
}

void coordinator_client::setAlone(bool isAlone)
{
    if (m_isAlone == isAlone)
        return;
    m_isAlone = isAlone;
    m_purse.setAlone(isAlone && !hearsInterim(monotonicNow()), suspendedNow());
    m_lines.write(log_level::Warning, isAlone ? "coordinator_away" : "coordinator_heard", {}, monotonicNow());
    if (isAlone)
        m_relay.onCoordinatorLost();
}

void coordinator_client::askCredit(const relay_exchange_ptr& request)
{
    auto& waiting = m_waiting[request->team()];
    if (waiting.empty() && m_purse.take(request->team(), request->tokens(), suspendedNow())) {
        request->onCredit(credit_outcome::Granted, {});
        return;
    }
    if (!mayAsk(monotonicNow())) {
        // Nobody would answer: the own share decides at once.
        request->onCredit(credit_outcome::Unknown, unknownRetryAfter);
        return;
    }
    waiting.push_back({ request, monotonicNow(), false });
    reportSoon();
}

void coordinator_client::refund(const std::string& team, double tokens)
{
    m_purse.refund(team, tokens, suspendedNow());
}

void coordinator_client::onDemand(const relay_exchange& request)
{
    const auto& asked = request.request();
    if (asked.model.empty())
        return;
    auto& item = m_demand[request.service() + "/" + holdingName(asked.model, asked.adapter)];
    item.service = request.service();
    item.model = asked.model;
    item.adapter = asked.adapter;
    item.requests += 1;
    item.tokens += asked.promptTokens.value_or(0);
}

void coordinator_client::onWanted(
    const std::string& service, const std::string& model, const std::string& adapter)
{
    auto& item = m_demand[service + "/" + holdingName(model, adapter)];
    item.service = service;
    item.model = model;
    item.adapter = adapter;
    if (item.unplaced++ == 0)
        reportSoon();
}

void coordinator_client::reportSoon()
{
    m_reportTimer.start(soon);
}

void coordinator_client::addCredit(fleet_report& value)
{
    if (!m_relay.table())
        return;
    const monotonic_time now = suspendedNow();
    for (const auto& team : m_relay.table()->config().teams) {
        double needed = 0;
        const auto waiting = m_waiting.find(team.name);
        if (waiting != m_waiting.end()) {
            for (auto& item : waiting->second) {
                if (!std::exchange(item.isAsked, true) && !item.request->isOver())
                    needed += item.request->tokens();
            }
        }
        const double ahead = m_purse.wantsAhead(team.name, now);
        const double returned = needed > 0 ? 0 : m_purse.takeIdle(team.name, now);
        if (needed > 0 || ahead > 0 || returned > 0)
            value.credit.push_back({ team.name, needed, ahead, returned });
    }
}

fleet_report coordinator_client::makeReport(bool isOnlyCredit)
{
    fleet_report value;
    value.entry = m_self;
    value.number = ++m_number;
    value.isStoreAway = m_hooks.isStoreUnreachable();
    value.wantsAll = m_wantsAll;
    value.isOnlyCredit = isOnlyCredit;
    if (!isOnlyCredit)
        value.member = m_member;
    addCredit(value);
    for (auto& [key, item] : std::exchange(m_demand, {}))
        value.demand.push_back(std::move(item));
    if (isOnlyCredit)
        return value;
    for (const auto& [id, upstream] : m_relay.upstreams()) {
        if (upstream->inFlight > 0)
            value.work.push_back({ id, static_cast<std::uint32_t>(upstream->inFlight),
                std::max(0.0, upstream->tokensAhead), std::max(0.0, upstream->memoryTokens) });
    }
    return value;
}

bool coordinator_client::isAnythingWanted() const
{
    const bool wantsCredit = std::any_of(m_waiting.begin(), m_waiting.end(), [](const auto& item) {
        return std::any_of(item.second.begin(), item.second.end(),
            [](const waiting_credit& waiting) { return !waiting.isAsked; });
    });
    return wantsCredit || std::any_of(m_demand.begin(), m_demand.end(), [](const auto& item) {
        return item.second.unplaced > 0;
    });
}

void coordinator_client::report()
{
    m_reportTimer.start(nextReportPause());
    const monotonic_time now = monotonicNow();
    const monotonic_time sentAt = suspendedNow();
    const fleet_pace times = pace();
    const bool isOnlyCredit = !m_wantsAll && now - m_fullReportAt < times.leastReportPause;
    if (isOnlyCredit && !isAnythingWanted()) {
        settleOverdue();
        return;
    }
    if (!isOnlyCredit)
        m_fullReportAt = now;
    auto value = makeReport(isOnlyCredit);
    const bool isLinked = m_link && m_link->isConnected();
    if (const auto news = m_hooks.coordinateHere(value)) {
        // What this gateway read itself needs no telling.
        onNews(*news, {});
        // A pass gives a model one order at most: what is wanted gets a second one at once.
        if (value.hasUnplaced())
            m_hooks.onWanted();
        if (!news->isInterim) {
            m_link.reset();
            m_asked.clear();
            return;
        }
        // The lease may name a holder: once it answers, this gateway grants no more.
        value.credit.clear();
        value.demand.clear();
    } else if (!isLinked) {
        forgetAsks();
    }
    if (isLinked && !(isInterimDue() && isOnlyCredit)) {
        m_asked.push_back({ value.number, sentAt });
        m_link->send(value);
    }
    followCoordinator(now);
    m_purse.setAlone(m_isAlone && !hearsInterim(now), sentAt);
    settleOverdue();
}

void coordinator_client::followCoordinator(monotonic_time now)
{
    const milliseconds newsTimeout = pace().newsTimeout;
    const bool isSilent = now - std::max({ m_newsAt, m_interimAt, m_linkedAt }) >= newsTimeout;
    if (m_link && isSilent) {
        m_silentPeer = m_link->peer();
        m_silentEnd = m_holderEnd;
        m_lostLink = std::move(m_link);
        forgetAsks();
    }
    if (!m_link && m_again)
        link(*std::exchange(m_again, std::nullopt));
    else if (!m_link)
        trySuccessor(now);
    if (now - m_newsAt >= newsTimeout)
        setAlone(true);
}

void coordinator_client::settleOverdue()
{
    const monotonic_time now = monotonicNow();
    for (auto& [team, waiting] : m_waiting) {
        while (!waiting.empty()) {
            const waiting_credit first = waiting.front();
            if (!first.request->isOver()) {
                const auto patience
                    = std::chrono::duration<double, std::milli>(first.request->route().objective)
                    * creditPatience;
                if (now - first.since < patience)
                    break;
                first.request->onCredit(credit_outcome::Unknown, unknownRetryAfter);
            }
            // The answer may have begun another request.
            if (!waiting.empty() && waiting.front().request == first.request)
                waiting.pop_front();
        }
    }
}

void coordinator_client::onNews(const fleet_news& news, monotonic_time askedAt)
{
    m_linkWorked = true;
    if (news.isInterim) {
        m_interimAt = monotonicNow();
        m_purse.setAlone(false, suspendedNow());
    } else {
        m_newsAt = monotonicNow();
        m_cutAt.reset();
        setAlone(false);
        m_gateways = std::max(news.entries, 1U);
        m_purse.setEntries(news.entries);
        m_relay.onGateways(news.entries);
        m_relay.onLimitsKnown();
    }
    // News of credit alone carry no lease.
    if (!news.leaseHolder.empty()) {
        m_hooks.onLease({ news.leaseHolder, news.entries, news.leaseEnd });
        m_holderEnd = news.leaseEnd;
        m_successor = news.successor;
        m_hooks.onSuccessor(m_successor.empty() || m_successor == m_member);
        m_wantsAll = false;
    }
    if (!news.listed.empty())
        m_wantsAll = false;
    if (askedAt != monotonic_time {})
        takeList(news);
    if (news.proof && askedAt != monotonic_time {}) {
        // Counted from the ask: the answer's way would make the evidence seem younger.
        const monotonic_time provenAt = askedAt - milliseconds(news.proof->ageMs);
        m_toldProofAt = provenAt;
        m_hooks.onProof(news.proof->configEnd, provenAt);
    }
    takeWork(news);
    for (const auto& holding : news.holdings) {
        // A change of something that is not known here: everything is asked for.
        if (!m_relay.onHoldings(holding.upstream, holding.change))
            m_wantsAll = true;
    }
    for (const auto& grant : news.credit) {
        m_purse.onGrant(grant.team, grant.tokens, askedAt == monotonic_time {} ? suspendedNow() : askedAt);
        settleCredit(grant.team,
            grant.retryAfterMs > 0 ? std::optional(milliseconds(grant.retryAfterMs)) : std::nullopt);
    }
}

void coordinator_client::takeWork(const fleet_news& news)
{
    for (const auto& item : news.listed) {
        if (m_numbered.size() <= item.number)
            m_numbered.resize(item.number + 1U);
        m_numbered[item.number] = item.isRemoved ? std::string() : item.upstream;
    }
    for (const auto& work : news.work) {
        if (work.number < m_numbered.size())
            m_relay.onForeignLoad(m_numbered[work.number],
                { work.inFlight, static_cast<double>(work.tokensAhead),
                    static_cast<double>(work.memoryTokens) });
    }
}

void coordinator_client::takeList(const fleet_news& news)
{
    std::vector<upstream_record> records;
    for (const auto& item : news.listed) {
        upstream_record record { item.upstream, item.offset, std::nullopt };
        if (!item.isRemoved) {
            upstream_entry entry;
            entry.id = item.upstream;
            entry.service = item.service;
            entry.where = parseAddress(item.address);
            entry.zone = item.zone;
            entry.slots = static_cast<int>(item.slots);
            entry.isDraining = item.isDraining;
            entry.startedAt = item.startedAt;
            entry.orders = item.orders;
            entry.models = heldModels(item.held);
            record.entry = std::move(entry);
        }
        records.push_back(std::move(record));
    }
    m_hooks.onListed(records, news.isListWhole);
}

bool coordinator_client::hasRecentConfigProof() const
{
    return !m_isAlone && m_link && m_link->isConnected()
        && suspendedNow() - m_toldProofAt < pace().proofIsRecent;
}

void coordinator_client::settleCredit(const std::string& team, std::optional<milliseconds> retryAfter)
{
    auto& waiting = m_waiting[team];
    const monotonic_time now = suspendedNow();
    while (!waiting.empty()) {
        const relay_exchange_ptr request = waiting.front().request;
        if (!request->isOver() && !m_purse.take(team, request->tokens(), now))
            break;
        waiting.pop_front();
        request->onCredit(credit_outcome::Granted, {});
    }
    if (waiting.empty())
        return;
    if (!retryAfter) {
        // They came after the ask that was answered.
        reportSoon();
        return;
    }
    for (const auto& item : std::exchange(waiting, {}))
        item.request->onCredit(credit_outcome::OverLimit, retryAfter);
}

} // namespace sagesaddle
