#include "Route/fair_queue.h"

#include "Route/token_time_estimator.h"

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

namespace sagesaddle {

namespace {

/// \brief The waiting requests of one team and one class.
struct team_queue {
    /// Virtual time at which the team's next request starts. It advances by the tokens of each request that
    /// the team starts.
    double startTag { 0 };
    double waitingTokens { 0 };
    std::deque<queued_request> waiting;
};

/// \brief The waiting requests of one class. Start-time fair queueing shares the starts between the teams.
class class_queue {
public:
    bool empty() const { return m_count == 0; }
    std::size_t count() const { return m_count; }
    double waitingTokens() const { return m_waitingTokens; }

    void push(const queued_request& request)
    {
        team_queue& queue = m_teams[request.team];
        if (queue.waiting.empty()) {
            queue.startTag = std::max(queue.startTag, m_virtualTime);
            m_order.emplace(queue.startTag, request.team);
        }
        queue.waiting.push_back(request);
        queue.waitingTokens += request.tokens;
        m_waitingTokens += request.tokens;
        ++m_count;
    }

    queued_request pop()
    {
        const std::string name = m_order.begin()->second;
        team_queue& queue = m_teams[name];
        queued_request request = queue.waiting.front();
        m_virtualTime = queue.startTag;
        m_order.erase(m_order.begin());
        queue.startTag += request.tokens;
        removeAt(queue, 0);
        if (!queue.waiting.empty())
            m_order.emplace(queue.startTag, name);
        evictIdleTeams();
        return request;
    }

    std::optional<queued_request> remove(const std::string& team, std::uint64_t ticket)
    {
        team_queue& queue = m_teams[team];
        for (std::size_t at = 0; at < queue.waiting.size(); ++at) {
            if (queue.waiting[at].ticket != ticket)
                continue;
            queued_request request = queue.waiting[at];
            removeAt(queue, at);
            if (queue.waiting.empty())
                m_order.erase({ queue.startTag, team });
            return request;
        }
        return std::nullopt;
    }

    /// \return the tokens that start before a request of the team that arrives now, including the team's own.
    double tokensAhead(const std::string& team) const
    {
        double start = m_virtualTime;
        double ahead = 0;
        if (auto own = m_teams.find(team); own != m_teams.end()) {
            ahead = own->second.waitingTokens;
            start = std::max(start, own->second.startTag) + ahead;
        }
        for (const auto& [startTag, name] : m_order) {
            if (name == team)
                continue;
            if (startTag > start)
                break;
            const team_queue& other = m_teams.at(name);
            ahead += std::min(other.waitingTokens, start - startTag + other.waiting.front().tokens);
        }
        return ahead;
    }

private:
    void removeAt(team_queue& queue, std::size_t at)
    {
        const double tokens = queue.waiting[at].tokens;
        queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(at));
        queue.waitingTokens = queue.waiting.empty() ? 0 : queue.waitingTokens - tokens;
        --m_count;
        m_waitingTokens = m_count == 0 ? 0 : m_waitingTokens - tokens;
    }

    /// Evicts teams without waiting requests whose start tag the virtual time has passed. Their next request
    /// starts at the virtual time whether they have an entry or not.
    void evictIdleTeams()
    {
        if (m_teams.size() <= 2 * m_order.size() + maxIdleTeams)
            return;
        std::erase_if(m_teams, [this](const auto& entry) {
            return entry.second.waiting.empty() && entry.second.startTag <= m_virtualTime;
        });
    }

    /// Idle teams that are kept beyond one for each waiting team, so that evictions are rare.
    static constexpr std::size_t maxIdleTeams = 64;

    /// Start tag of the request that was started last, in tokens.
    double m_virtualTime { 0 };
    double m_waitingTokens { 0 };
    std::size_t m_count { 0 };
    std::unordered_map<std::string, team_queue> m_teams;
    /// Teams with waiting requests, by start tag.
    std::set<std::pair<double, std::string>> m_order;
};

/// \brief What is needed to find a waiting request in its queue.
struct waiting_request {
    sagesaddle::priority priority;
    std::string team;
    double tokens;
    monotonic_time deadline;
};

/// \brief A request that was started.
struct running_request {
    double tokens;
    monotonic_time started;
};

/// \return the time in milliseconds, at most one day.
milliseconds toMilliseconds(double seconds)
{
    return milliseconds(static_cast<milliseconds::rep>(std::min(seconds, 86400.0) * 1000.0));
}

} // namespace

struct fair_queue::impl {
    options settings;
    /// Interactive, then batch.
    std::array<class_queue, 2> classes;
    std::unordered_map<std::uint64_t, waiting_request> waitingByTicket;
    std::set<std::pair<monotonic_time, std::uint64_t>> byDeadline;
    std::unordered_map<std::uint64_t, running_request> running;
    /// Part of a start that the waiting batch requests have accrued.
    double batchCredit { 0 };
    token_time_estimator tokenTime;
    /// Tokens of the largest request accepted so far.
    double largestTokens { 0 };

    class_queue& queueOf(priority of) { return classes[of == priority::Batch ? 1 : 0]; }
    const class_queue& queueOf(priority of) const { return classes[of == priority::Batch ? 1 : 0]; }
    std::size_t waiting() const { return classes[0].count() + classes[1].count(); }
    bool hasFreeSlot() const { return running.size() < settings.slots; }

    /// \return the expected run time of a request.
    double runSeconds(double tokens) const { return tokens * tokenTime.medianSeconds(); }

    double tokensStartedBefore(priority of, const std::string& team) const;
    double waitSeconds(double tokensAhead, monotonic_time now) const;
    std::vector<double> secondsUntilFree(monotonic_time now) const;
    double secondsToAnswer(const queued_request& request, double wait) const;
    priority takeNextClass();
    void forgetWaiting(std::uint64_t ticket);
};

/// \return the tokens of both classes that start before a request of this class and team that arrives now.
double fair_queue::impl::tokensStartedBefore(priority of, const std::string& team) const
{
    const double ownClass = queueOf(of).tokensAhead(team);
    const double share = settings.batchShare;
    if (of == priority::Batch) {
        const double all = ownClass + classes[0].waitingTokens();
        return share > 0 ? std::min(all, ownClass / share) : all;
    }
    const double batch = classes[1].waitingTokens();
    return share < 1 ? std::min(ownClass + batch, ownClass / (1 - share)) : ownClass + batch;
}

/// \return the time until each slot is expected to be free, in ascending order.
std::vector<double> fair_queue::impl::secondsUntilFree(monotonic_time now) const
{
    std::vector<double> times(std::max<std::size_t>(settings.slots, running.size()));
    auto slot = times.begin();
    for (const auto& [ticket, request] : running) {
        const double elapsed = secondsBetween(request.started, now);
        *slot++ = std::max(runSeconds(request.tokens) - elapsed, 0.0);
    }
    std::sort(times.begin(), times.end());
    return times;
}

/// \return the expected wait behind the tokens ahead.
///
/// The requests ahead are assumed to have the mean size and to take the slots in turn, each as soon as the
/// request before it in its slot ends.
double fair_queue::impl::waitSeconds(double tokensAhead, monotonic_time now) const
{
    if (hasFreeSlot() && waiting() == 0)
        return 0;
    if (tokenTime.meanTokens() <= 0 || settings.slots == 0)
        return 0;
    const auto ahead = static_cast<std::size_t>(tokensAhead / tokenTime.meanTokens());
    const std::size_t rounds = ahead / settings.slots;
    return secondsUntilFree(now)[ahead % settings.slots]
        + static_cast<double>(rounds) * runSeconds(tokenTime.meanTokens());
}

/// \return the expected time until the answer of the request is complete.
///
/// An idle upstream may have recovered, so the time counts as 0 and the request is always tried. With a free
/// slot and no waiting requests the fastest recent request is the measure rather than the median.
double fair_queue::impl::secondsToAnswer(const queued_request& request, double wait) const
{
    if (running.empty() && waiting() == 0)
        return 0;
    if (hasFreeSlot() && waiting() == 0)
        return request.tokens * tokenTime.fastestSeconds();
    return wait + runSeconds(request.tokens);
}

/// Chooses the class of the next start, and counts the start against the share of batch requests.
priority fair_queue::impl::takeNextClass()
{
    if (classes[1].empty()) {
        batchCredit = 0;
        return priority::Interactive;
    }
    if (classes[0].empty())
        return priority::Batch;
    batchCredit += settings.batchShare;
    // The tolerance absorbs the rounding errors of the sum.
    if (batchCredit + 1e-9 < 1)
        return priority::Interactive;
    batchCredit -= 1;
    return priority::Batch;
}

void fair_queue::impl::forgetWaiting(std::uint64_t ticket)
{
    if (auto found = waitingByTicket.find(ticket); found != waitingByTicket.end()) {
        byDeadline.erase({ found->second.deadline, ticket });
        waitingByTicket.erase(found);
    }
}

fair_queue::fair_queue(options settings)
    : m_impl(std::make_unique<impl>())
{
    m_impl->settings = settings;
}

fair_queue::~fair_queue() = default;

queue_decision fair_queue::offer(const queued_request& request, monotonic_time now)
{
    const double ahead = m_impl->tokensStartedBefore(request.priority, request.team);
    const double wait = m_impl->waitSeconds(ahead, now);
    const double needed = m_impl->secondsToAnswer(request, wait);
    const double left = secondsBetween(now, request.deadline);
    if (left <= 0 || needed > left) {
        const auto later = toMilliseconds(std::max(needed - std::max(left, 0.0), 0.001));
        return { false, "deadline", static_cast<std::uint32_t>(later.count()) };
    }
    if (m_impl->waiting() >= m_impl->settings.maxWaiting) {
        const auto later = toMilliseconds(std::max(wait, 0.001));
        return { false, "queue_full", static_cast<std::uint32_t>(later.count()) };
    }
    m_impl->queueOf(request.priority).push(request);
    m_impl->waitingByTicket.insert_or_assign(
        request.ticket, waiting_request { request.priority, request.team, request.tokens, request.deadline });
    m_impl->byDeadline.emplace(request.deadline, request.ticket);
    m_impl->largestTokens = std::max(m_impl->largestTokens, request.tokens);
    return { true, "", 0 };
}

std::optional<queued_request> fair_queue::startNext(monotonic_time now)
{
    if (!m_impl->hasFreeSlot() || m_impl->waiting() == 0)
        return std::nullopt;
    queued_request request = m_impl->queueOf(m_impl->takeNextClass()).pop();
    m_impl->forgetWaiting(request.ticket);
    m_impl->running.emplace(request.ticket, running_request { request.tokens, now });
    return request;
}

void fair_queue::finish(std::uint64_t ticket, monotonic_time now)
{
    auto found = m_impl->running.find(ticket);
    if (found == m_impl->running.end())
        return;
    const double elapsed = std::max(secondsBetween(found->second.started, now), 0.0);
    m_impl->tokenTime.addSample(elapsed, found->second.tokens);
    m_impl->running.erase(found);
}

void fair_queue::abandon(std::uint64_t ticket)
{
    m_impl->running.erase(ticket);
}

void fair_queue::remove(std::uint64_t ticket)
{
    auto found = m_impl->waitingByTicket.find(ticket);
    if (found == m_impl->waitingByTicket.end())
        return;
    m_impl->queueOf(found->second.priority).remove(found->second.team, ticket);
    m_impl->forgetWaiting(ticket);
}

std::vector<queued_request> fair_queue::takeExpired(monotonic_time now)
{
    // A request with a later deadline can still meet it, even if it is as large as any seen so far.
    const auto horizon = now + toMilliseconds(m_impl->runSeconds(m_impl->largestTokens));
    std::vector<std::uint64_t> candidates;
    for (const auto& [deadline, ticket] : m_impl->byDeadline) {
        if (deadline > horizon)
            break;
        candidates.push_back(ticket);
    }
    const bool idle = m_impl->running.empty();
    std::vector<queued_request> expired;
    for (std::uint64_t ticket : candidates) {
        const waiting_request request = m_impl->waitingByTicket.at(ticket);
        const double needed = idle ? 0 : m_impl->runSeconds(request.tokens);
        if (secondsBetween(now, request.deadline) > needed)
            continue;
        expired.push_back(*m_impl->queueOf(request.priority).remove(request.team, ticket));
        m_impl->forgetWaiting(ticket);
    }
    return expired;
}

void fair_queue::setSlots(std::uint32_t slots)
{
    m_impl->settings.slots = slots;
}

std::size_t fair_queue::waiting() const
{
    return m_impl->waiting();
}

std::size_t fair_queue::running() const
{
    return m_impl->running.size();
}

milliseconds fair_queue::expectedWait(priority of, monotonic_time now) const
{
    return toMilliseconds(m_impl->waitSeconds(m_impl->tokensStartedBefore(of, std::string()), now));
}

} // namespace sagesaddle
