#include "Gateway/fleet_share.h"

#include <algorithm>
#include <set>

namespace sagesaddle {

namespace {

// Time between reports; the coordinator's news of the others' load is as old as that.
constexpr milliseconds leastReportPause { 100 };
// Time that the coordinator has for each gateway's report, so that its work does not grow with the fleet.
constexpr milliseconds pauseForEach { 8 };
// Delay of a report that a request waits for, so that several share one.
constexpr milliseconds soon { 2 };
// Life of granted credit; a process that stood still longer spends none of it.
constexpr milliseconds grantLife { 1000 };
// Part of a team's rate that all gateways spend together while none hears the coordinator. Beside a
// coordinator that a part of them cannot reach, it stays within the bound's slack.
constexpr double shareAlone = 0.5;
// Time without news after which the coordinator counts as away.
constexpr milliseconds newsTimeout { 500 };
// Time that a request waits for credit before it is told that the limit is not known.
constexpr milliseconds creditPatience { 150 };
// When to come back where no coordinator is known.
constexpr milliseconds unknownRetryAfter { 600 };

// Age of the coordinator's evidence up to which this gateway leaves the reading to it.
constexpr milliseconds proofIsRecent { 1500 };

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

fleet_share::fleet_share(
    event_loop& loop, std::string self, relay& relayed, decision_lines& lines, hooks value)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_relay(relayed)
    , m_lines(lines)
    , m_hooks(std::move(value))
    , m_purse(grantLife, shareAlone)
    , m_reportTimer(loop, [this] { report(); })
{
}

void fleet_share::start()
{
    m_reportTimer.start(reportPause());
}

milliseconds fleet_share::reportPause() const
{
    return std::max(leastReportPause, pauseForEach * m_gateways);
}

void fleet_share::onConfig(const fleet_config& config)
{
    m_purse.setTeams(config.teams, suspendedNow());
}

void fleet_share::onKnownGateways(unsigned count)
{
    if (!m_isAlone || m_purse.knowsEntries() || count == 0)
        return;
    m_purse.setEntries(count);
    m_relay.onLimitsKnown();
}

void fleet_share::onHolder(const address& where)
{
    if (m_link && m_link->peer() == where)
        return;
    m_lostLink = std::move(m_link);
    m_linkedAt = monotonicNow();
    m_wantsAll = true;
    m_link = std::make_unique<coordinator_link>(m_loop, where,
        coordinator_link::handlers { [this](const fleet_news& news) {
                                        monotonic_time askedAt {};
                                        while (!m_asked.empty() && m_asked.front().number <= news.number) {
                                            askedAt = m_asked.front().sentAt;
                                            m_asked.pop_front();
                                        }
                                        onNews(news, askedAt);
                                    },
            [this] { onLinkLost(); } });
}

void fleet_share::onLinkLost()
{
    // Its own handler is running; it is dropped when the next one comes.
    m_lostLink = std::move(m_link);
    m_asked.clear();
}

void fleet_share::setAlone(bool isAlone)
{
    if (m_isAlone == isAlone)
        return;
    m_isAlone = isAlone;
    m_purse.setAlone(isAlone, suspendedNow());
    m_lines.write(log_level::Warning, isAlone ? "coordinator_away" : "coordinator_heard", {}, monotonicNow());
    if (isAlone)
        m_relay.onCoordinatorLost();
}

void fleet_share::askCredit(const relay_exchange_ptr& request)
{
    auto& waiting = m_waiting[request->team()];
    if (waiting.empty() && m_purse.take(request->team(), request->tokens(), suspendedNow())) {
        request->onCredit(true, {});
        return;
    }
    if (m_isAlone) {
        // Nobody would answer: the own share decides at once.
        request->onCredit(false, m_purse.knowsEntries() ? std::optional(unknownRetryAfter) : std::nullopt);
        return;
    }
    waiting.push_back({ request, monotonicNow() });
    reportSoon();
}

void fleet_share::refund(const std::string& team, double tokens)
{
    m_purse.refund(team, tokens, suspendedNow());
}

void fleet_share::onDemand(const relay_exchange& request)
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

void fleet_share::onWanted(const std::string& service, const std::string& model, const std::string& adapter)
{
    auto& item = m_demand[service + "/" + holdingName(model, adapter)];
    item.service = service;
    item.model = model;
    item.adapter = adapter;
    if (item.unplaced++ == 0)
        reportSoon();
}

void fleet_share::reportSoon()
{
    m_reportTimer.start(soon);
}

fleet_report fleet_share::makeReport()
{
    fleet_report value;
    value.entry = m_self;
    value.number = ++m_number;
    value.isStoreAway = m_hooks.isStoreAway();
    value.wantsAll = m_wantsAll;
    const monotonic_time now = suspendedNow();
    std::set<std::string> teams;
    if (m_relay.table()) {
        for (const auto& team : m_relay.table()->config().teams)
            teams.insert(team.name);
    }
    for (const auto& team : teams) {
        double needed = 0;
        const auto waiting = m_waiting.find(team);
        if (waiting != m_waiting.end()) {
            for (const auto& item : waiting->second)
                needed += item.request->isOver() ? 0 : item.request->tokens();
        }
        const double ahead = m_purse.wantsAhead(team, now);
        if (needed > 0 || ahead > 0)
            value.credit.push_back({ team, needed, ahead });
    }
    for (const auto& [id, upstream] : m_relay.upstreams()) {
        if (upstream->inFlight > 0)
            value.work.push_back({ id, static_cast<std::uint32_t>(upstream->inFlight),
                std::max(0.0, upstream->tokensAhead), std::max(0.0, upstream->memoryTokens) });
    }
    for (auto& [key, item] : std::exchange(m_demand, {}))
        value.demand.push_back(std::move(item));
    return value;
}

void fleet_share::report()
{
    m_reportTimer.start(reportPause());
    const monotonic_time now = monotonicNow();
    const monotonic_time sentAt = suspendedNow();
    auto value = makeReport();
    if (const auto news = m_hooks.coordinateHere(value)) {
        m_link.reset();
        m_asked.clear();
        // What this gateway read itself needs no telling.
        onNews(*news, {});
        // A pass gives a model one order at most: what is wanted gets a second one at once.
        if (value.hasUnplaced())
            m_hooks.onWanted();
        return;
    }
    if (m_link && m_link->isConnected()) {
        m_asked.push_back({ value.number, sentAt });
        m_link->send(value);
    }
    const bool isSilent = now - std::max(m_newsAt, m_linkedAt) >= newsTimeout + reportPause();
    if (!m_link || isSilent) {
        m_lostLink = std::move(m_link);
        m_asked.clear();
        m_linkedAt = now;
    }
    if (now - m_newsAt >= newsTimeout + reportPause())
        setAlone(true);
    // Without an answer in time, the own share decides.
    for (const auto& [team, waiting] : m_waiting) {
        if (!waiting.empty() && now - waiting.front().since >= creditPatience) {
            settleCredit(team, m_purse.knowsEntries() ? std::optional(unknownRetryAfter) : std::nullopt);
            break;
        }
    }
}

void fleet_share::onNews(const fleet_news& news, monotonic_time askedAt)
{
    m_newsAt = monotonicNow();
    setAlone(false);
    if (!news.leaseHolder.empty())
        m_hooks.onLease({ news.leaseHolder, news.entries, news.leaseEnd });
    m_gateways = std::max(news.entries, 1U);
    m_purse.setEntries(news.entries);
    m_relay.onGateways(news.entries);
    m_relay.onLimitsKnown();
    m_wantsAll = false;
    if (askedAt != monotonic_time {})
        takeList(news);
    if (news.proof && askedAt != monotonic_time {}) {
        // Counted from the ask: the answer's way would make the evidence seem younger.
        const monotonic_time provenAt = askedAt - milliseconds(news.proof->ageMs);
        m_toldProofAt = provenAt;
        m_hooks.onProof(news.proof->configEnd, provenAt);
    }
    for (const auto& work : news.work)
        m_relay.onForeignLoad(
            work.upstream, { static_cast<int>(work.inFlight), work.tokensAhead, work.memoryTokens });
    for (const auto& holding : news.holdings)
        m_relay.onHoldings(holding.upstream, { holding.held.begin(), holding.held.end() });
    for (const auto& grant : news.credit) {
        m_purse.onGrant(grant.team, grant.tokens, askedAt == monotonic_time {} ? suspendedNow() : askedAt);
        settleCredit(grant.team,
            grant.retryAfterMs > 0 ? std::optional(milliseconds(grant.retryAfterMs)) : std::nullopt);
    }
}

void fleet_share::takeList(const fleet_news& news)
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

bool fleet_share::isReadFor() const
{
    return !m_isAlone && m_link && m_link->isConnected() && suspendedNow() - m_toldProofAt < proofIsRecent;
}

void fleet_share::settleCredit(const std::string& team, std::optional<milliseconds> retryAfter)
{
    auto& waiting = m_waiting[team];
    const monotonic_time now = suspendedNow();
    while (!waiting.empty()) {
        const relay_exchange_ptr request = waiting.front().request;
        if (!request->isOver() && !m_purse.take(team, request->tokens(), now))
            break;
        waiting.pop_front();
        request->onCredit(true, {});
    }
    if (waiting.empty())
        return;
    const bool isOld = monotonicNow() - waiting.front().since >= creditPatience;
    if (!retryAfter && !isOld) {
        // They came after the ask that was answered.
        reportSoon();
        return;
    }
    for (const auto& item : std::exchange(waiting, {}))
        item.request->onCredit(false, retryAfter);
}

} // namespace sagesaddle
