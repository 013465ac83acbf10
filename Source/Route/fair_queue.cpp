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

/// \brief One team's waiting requests of one class.
struct team_line {
    /// Tokens that the team was served, on the virtual clock of its class.
    double served { 0 };
    double waitingTokens { 0 };
    std::deque<queued_request> waiting;
};

/// \brief The waiting requests of one class, shared between its teams by start-time fair queueing.
class class_line {
public:
    bool empty() const { return m_count == 0; }
    std::size_t count() const { return m_count; }
    double waitingTokens() const { return m_waitingTokens; }

    void push(const queued_request& request)
    {
        team_line& line = m_teams[request.team];
        if (line.waiting.empty()) {
            line.served = std::max(line.served, m_virtualTime);
            m_order.emplace(line.served, request.team);
        }
        line.waiting.push_back(request);
        line.waitingTokens += request.tokens;
        m_waitingTokens += request.tokens;
        ++m_count;
    }

    queued_request pop()
    {
        const std::string name = m_order.begin()->second;
        team_line& line = m_teams[name];
        queued_request request = line.waiting.front();
        m_virtualTime = line.served;
        m_order.erase(m_order.begin());
        line.served += request.tokens;
        take(line, 0);
        if (!line.waiting.empty())
            m_order.emplace(line.served, name);
        forgetIdleTeams();
        return request;
    }

    std::optional<queued_request> remove(const std::string& team, std::uint64_t ticket)
    {
        team_line& line = m_teams[team];
        for (std::size_t at = 0; at < line.waiting.size(); ++at) {
            if (line.waiting[at].ticket != ticket)
                continue;
            queued_request request = line.waiting[at];
            take(line, at);
            if (line.waiting.empty())
                m_order.erase({ line.served, team });
            return request;
        }
        return std::nullopt;
    }

    /// \return tokens that are started before a request of the team that came now.
    double tokensAhead(const std::string& team) const
    {
        double start = m_virtualTime;
        double ahead = 0;
        if (auto own = m_teams.find(team); own != m_teams.end()) {
            ahead = own->second.waitingTokens;
            start = std::max(start, own->second.served) + ahead;
        }
        for (const auto& [served, name] : m_order) {
            if (name == team)
                continue;
            if (served > start)
                break;
            const team_line& other = m_teams.at(name);
            ahead += std::min(other.waitingTokens, start - served + other.waiting.front().tokens);
        }
        return ahead;
    }

private:
    void take(team_line& line, std::size_t at)
    {
        const double tokens = line.waiting[at].tokens;
        line.waiting.erase(line.waiting.begin() + static_cast<std::ptrdiff_t>(at));
        line.waitingTokens = line.waiting.empty() ? 0 : line.waitingTokens - tokens;
        --m_count;
        m_waitingTokens = m_count == 0 ? 0 : m_waitingTokens - tokens;
    }

    /// Teams whose account lies in the past start anew at the virtual time, with or without an entry.
    void forgetIdleTeams()
    {
        if (m_teams.size() <= 2 * m_order.size() + maxIdleTeams)
            return;
        std::erase_if(m_teams, [this](const auto& entry) {
            return entry.second.waiting.empty() && entry.second.served <= m_virtualTime;
        });
    }

    static constexpr std::size_t maxIdleTeams = 64;

    double m_virtualTime { 0 };
    double m_waitingTokens { 0 };
    std::size_t m_count { 0 };
    std::unordered_map<std::string, team_line> m_teams;
    /// Teams that wait, by tokens served.
    std::set<std::pair<double, std::string>> m_order;
};

/// \brief Where a waiting request stands.
struct place_in_line {
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

milliseconds toMilliseconds(double seconds)
{
    return milliseconds(static_cast<milliseconds::rep>(std::min(seconds, 86400.0) * 1000.0));
}

} // namespace

struct fair_queue::impl {
    options settings;
    std::array<class_line, 2> lines;
    std::unordered_map<std::uint64_t, place_in_line> places;
    std::set<std::pair<monotonic_time, std::uint64_t>> byDeadline;
    std::unordered_map<std::uint64_t, running_request> running;
    /// Fraction of a start that waiting batch requests have earned.
    double batchEarned { 0 };
    token_time_estimator pace;
    double largestTokens { 0 };

    class_line& line(priority of) { return lines[of == priority::Batch ? 1 : 0]; }
    const class_line& line(priority of) const { return lines[of == priority::Batch ? 1 : 0]; }
    std::size_t waiting() const { return lines[0].count() + lines[1].count(); }
    bool hasFreeSlot() const { return running.size() < settings.slots; }

    double serviceSeconds(double tokens) const { return tokens * pace.medianSeconds(); }

    double tokensBefore(priority of, const std::string& team) const;
    double waitSeconds(double tokensAhead, monotonic_time now) const;
    std::vector<double> secondsUntilFree(monotonic_time now) const;
    double neededSeconds(const queued_request& request, double wait) const;
    priority nextClass();
    void forget(std::uint64_t ticket);
};

double fair_queue::impl::tokensBefore(priority of, const std::string& team) const
{
    const double own = line(of).tokensAhead(team);
    const double share = settings.batchShare;
    if (of == priority::Batch) {
        const double all = own + lines[0].waitingTokens();
        return share > 0 ? std::min(all, own / share) : all;
    }
    const double batch = lines[1].waitingTokens();
    return share < 1 ? std::min(own + batch, own / (1 - share)) : own + batch;
}

/// \return when each slot is expected to be free, the first first.
std::vector<double> fair_queue::impl::secondsUntilFree(monotonic_time now) const
{
    std::vector<double> until(std::max<std::size_t>(settings.slots, running.size()));
    auto slot = until.begin();
    for (const auto& [ticket, request] : running) {
        const double elapsed = secondsBetween(request.started, now);
        *slot++ = std::max(serviceSeconds(request.tokens) - elapsed, 0.0);
    }
    std::sort(until.begin(), until.end());
    return until;
}

/// The requests ahead take the slots in turn, each as its earlier one ends.
double fair_queue::impl::waitSeconds(double tokensAhead, monotonic_time now) const
{
    if (hasFreeSlot() && waiting() == 0)
        return 0;
    if (pace.meanTokens() <= 0 || settings.slots == 0)
        return 0;
    const auto ahead = static_cast<std::size_t>(tokensAhead / pace.meanTokens());
    const std::size_t rounds = ahead / settings.slots;
    return secondsUntilFree(now)[ahead % settings.slots]
        + static_cast<double>(rounds) * serviceSeconds(pace.meanTokens());
}

/// With a free slot and nobody waiting a request is tried if the fastest of late would make it.
double fair_queue::impl::neededSeconds(const queued_request& request, double wait) const
{
    if (running.empty() && waiting() == 0)
        return 0;
    if (hasFreeSlot() && waiting() == 0)
        return request.tokens * pace.fastestSeconds();
    return wait + serviceSeconds(request.tokens);
}

priority fair_queue::impl::nextClass()
{
    if (lines[1].empty()) {
        batchEarned = 0;
        return priority::Interactive;
    }
    if (lines[0].empty())
        return priority::Batch;
    batchEarned += settings.batchShare;
    if (batchEarned + 1e-9 < 1)
        return priority::Interactive;
    batchEarned -= 1;
    return priority::Batch;
}

void fair_queue::impl::forget(std::uint64_t ticket)
{
    if (auto found = places.find(ticket); found != places.end()) {
        byDeadline.erase({ found->second.deadline, ticket });
        places.erase(found);
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
    const double ahead = m_impl->tokensBefore(request.priority, request.team);
    const double wait = m_impl->waitSeconds(ahead, now);
    const double needed = m_impl->neededSeconds(request, wait);
    const double left = secondsBetween(now, request.deadline);
    if (left <= 0 || needed > left) {
        const auto later = toMilliseconds(std::max(needed - std::max(left, 0.0), 0.001));
        return { false, "deadline", static_cast<std::uint32_t>(later.count()) };
    }
    if (m_impl->waiting() >= m_impl->settings.maxWaiting) {
        const auto later = toMilliseconds(std::max(wait, 0.001));
        return { false, "queue_full", static_cast<std::uint32_t>(later.count()) };
    }
    m_impl->line(request.priority).push(request);
    m_impl->places.insert_or_assign(
        request.ticket, place_in_line { request.priority, request.team, request.tokens, request.deadline });
    m_impl->byDeadline.emplace(request.deadline, request.ticket);
    m_impl->largestTokens = std::max(m_impl->largestTokens, request.tokens);
    return { true, "", 0 };
}

std::optional<queued_request> fair_queue::startNext(monotonic_time now)
{
    if (!m_impl->hasFreeSlot() || m_impl->waiting() == 0)
        return std::nullopt;
    queued_request request = m_impl->line(m_impl->nextClass()).pop();
    m_impl->forget(request.ticket);
    m_impl->running.emplace(request.ticket, running_request { request.tokens, now });
    return request;
}

void fair_queue::finish(std::uint64_t ticket, monotonic_time now)
{
    auto found = m_impl->running.find(ticket);
    if (found == m_impl->running.end())
        return;
    const double elapsed = std::max(secondsBetween(found->second.started, now), 0.0);
    m_impl->pace.addSample(elapsed, found->second.tokens);
    m_impl->running.erase(found);
}

void fair_queue::abandon(std::uint64_t ticket)
{
    m_impl->running.erase(ticket);
}

void fair_queue::remove(std::uint64_t ticket)
{
    auto found = m_impl->places.find(ticket);
    if (found == m_impl->places.end())
        return;
    m_impl->line(found->second.priority).remove(found->second.team, ticket);
    m_impl->forget(ticket);
}

std::vector<queued_request> fair_queue::takeExpired(monotonic_time now)
{
    const auto horizon = now + toMilliseconds(m_impl->serviceSeconds(m_impl->largestTokens));
    std::vector<std::uint64_t> candidates;
    for (const auto& [deadline, ticket] : m_impl->byDeadline) {
        if (deadline > horizon)
            break;
        candidates.push_back(ticket);
    }
    const bool idle = m_impl->running.empty();
    std::vector<queued_request> expired;
    for (std::uint64_t ticket : candidates) {
        const place_in_line place = m_impl->places.at(ticket);
        const double needed = idle ? 0 : m_impl->serviceSeconds(place.tokens);
        if (secondsBetween(now, place.deadline) > needed)
            continue;
        expired.push_back(*m_impl->line(place.priority).remove(place.team, ticket));
        m_impl->forget(ticket);
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
    return toMilliseconds(m_impl->waitSeconds(m_impl->tokensBefore(of, std::string()), now));
}

} // namespace sagesaddle
