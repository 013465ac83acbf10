#include "Route/fair_queue.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <vector>

using namespace sagesaddle;

namespace {

using testing::start;
constexpr std::uint32_t slots = 8;
constexpr double tokensPerSecond = 100;

/// \brief Requests to come and what the upstream will do to them.
struct workload {
    std::vector<queued_request> requests;
    /// From this time on for so long nothing is answered.
    monotonic_time pauseAt;
    milliseconds pause { 0 };
    /// How long each request takes.
    std::vector<milliseconds> services;
};

/// \brief What the queue's estimates led to.
struct judgement {
    int requests { 0 };
    int refused { 0 };
    /// Refused or dropped, though it would have made its deadline.
    int refusedWrongly { 0 };
    /// Started, and yet answered after its deadline.
    int missed { 0 };
};

/// Poisson arrivals at a part of the upstream's speed, a quarter of them batch.
workload makeWorkload(double load, int count, int promptTokens, std::mt19937& random)
{
    std::exponential_distribution<double> gap(load * slots / 0.4);
    std::uniform_int_distribution<int> tokens(20, 60);
    std::uniform_int_distribution<int> prompt(0, promptTokens);
    std::uniform_int_distribution<int> team(0, 4);
    workload made;
    double at = 0;
    for (int ticket = 1; ticket <= count; ++ticket) {
        at += gap(random);
        const monotonic_time arrived = start + milliseconds(static_cast<int>(at * 1000));
        const bool batch = ticket % 4 == 0;
        const double answer = tokens(random);
        made.services.emplace_back(static_cast<int>(answer / tokensPerSecond * 1000));
        made.requests.push_back({ static_cast<std::uint64_t>(ticket), "team-" + std::to_string(team(random)),
            batch ? priority::Batch : priority::Interactive, answer + prompt(random), arrived,
            arrived + (batch ? milliseconds(10000) : milliseconds(2500)) });
    }
    return made;
}

/// \brief One upstream and its queue, in exact time.
class exact_upstream {
public:
    explicit exact_upstream(const workload& load)
        : m_load(load)
    {
    }

    /// Runs all requests, or until one is answered that is let in whatever the queue says.
    /// \return whether that one made its deadline
    bool run(std::uint64_t letIn = 0)
    {
        for (const queued_request& request : m_load.requests) {
            endUntil(request.arrived);
            expire(request.arrived);
            queued_request offered = request;
            if (request.ticket == letIn)
                offered.deadline = request.arrived + seconds(3600);
            if (!m_queue.offer(offered, request.arrived).accepted)
                m_refused.push_back(request.ticket);
            fill(request.arrived);
            if (m_ended.contains(letIn))
                break;
        }
        endUntil(start + std::chrono::hours(24));
        return m_ended.contains(letIn) && m_ended[letIn] <= m_load.requests[letIn - 1].deadline;
    }

    const std::vector<std::uint64_t>& refused() const { return m_refused; }

    int missed() const
    {
        return static_cast<int>(std::count_if(m_ended.begin(), m_ended.end(),
            [&](const auto& ended) { return ended.second > m_load.requests[ended.first - 1].deadline; }));
    }

private:
    void endUntil(monotonic_time now)
    {
        while (!m_ends.empty() && m_ends.top().first <= now) {
            const auto [at, ticket] = m_ends.top();
            m_ends.pop();
            m_queue.finish(ticket, at);
            m_ended[ticket] = at;
            expire(at);
            fill(at);
        }
    }

    void expire(monotonic_time now)
    {
        for (const queued_request& expired : m_queue.takeExpired(now))
            m_refused.push_back(expired.ticket);
    }

    void fill(monotonic_time now)
    {
        while (const auto next = m_queue.startNext(now)) {
            monotonic_time end = now + m_load.services[next->ticket - 1];
            if (now < m_load.pauseAt + m_load.pause && end > m_load.pauseAt)
                end += m_load.pauseAt + m_load.pause - std::max(now, m_load.pauseAt);
            m_ends.emplace(end, next->ticket);
        }
    }

    using ending = std::pair<monotonic_time, std::uint64_t>;

    const workload& m_load;
    fair_queue m_queue { { slots, 1024, 0.1 } };
    std::priority_queue<ending, std::vector<ending>, std::greater<>> m_ends;
    std::map<std::uint64_t, monotonic_time> m_ended;
    std::vector<std::uint64_t> m_refused;
};

/// Lets every refused request in, each in a run of its own, to see whether it would have made it.
judgement judge(const workload& load)
{
    exact_upstream upstream(load);
    upstream.run();
    judgement result { static_cast<int>(load.requests.size()), static_cast<int>(upstream.refused().size()), 0,
        upstream.missed() };
    for (const std::uint64_t ticket : upstream.refused())
        result.refusedWrongly += exact_upstream(load).run(ticket) ? 1 : 0;
    return result;
}

} // namespace

namespace {

judgement judgeRun(double load, int promptTokens, milliseconds pause)
{
    constexpr std::uint32_t seed = 7;
    std::mt19937 random(seed);
    workload made = makeWorkload(load, 2000, promptTokens, random);
    made.pauseAt = start + seconds(30);
    made.pause = pause;
    const judgement seen = judge(made);
    MESSAGE("seed " << seed << ", load " << load << ", pause " << pause.count() << " ms, up to "
                    << promptTokens << " prompt tokens: of " << seen.requests << " refused " << seen.refused
                    << ", wrongly " << seen.refusedWrongly << ", missed " << seen.missed);
    return seen;
}

} // namespace

TEST_CASE("fair queue estimates: inside the upstream's speed nothing is refused and nothing is late")
{
    for (const double load : { 0.7, 0.9 }) {
        for (const int promptTokens : { 0, 100 }) {
            const judgement seen = judgeRun(load, promptTokens, milliseconds(0));
            CHECK(seen.refused + seen.missed == 0);
        }
    }
}

TEST_CASE("fair queue estimates: a pause of 5 s costs what cannot be served and nothing more")
{
    for (const double load : { 0.7, 0.9, 1.0 }) {
        const judgement exact = judgeRun(load, 0, seconds(5));
        CHECK(exact.refusedWrongly == 0);
        CHECK(exact.missed <= static_cast<int>(slots));
        const judgement blurred = judgeRun(load, 100, seconds(5));
        CHECK(blurred.refusedWrongly <= 10);
        CHECK(blurred.missed <= 2 * static_cast<int>(slots));
    }
}

TEST_CASE("fair queue estimates: what an overloaded upstream starts is in time")
{
    const judgement seen = judgeRun(1.2, 0, milliseconds(0));
    CHECK(seen.refusedWrongly == 0);
    CHECK(seen.missed == 0);
}
