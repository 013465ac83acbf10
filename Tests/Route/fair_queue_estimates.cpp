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

/// \brief The requests of a run, and how the upstream serves them.
struct workload {
    std::vector<queued_request> requests;
    /// When the upstream stops for the time `pause`.
    monotonic_time pauseAt;
    milliseconds pause { 0 };
    /// Run time of each request, by ticket minus one.
    std::vector<milliseconds> runTimes;
};

/// \brief What the estimates of the queue led to.
struct estimate_errors {
    int requests { 0 };
    /// Rejected or dropped.
    int rejected { 0 };
    /// Rejected or dropped although they would have met their deadline.
    int rejectedWrongly { 0 };
    /// Started, but answered after their deadline.
    int missed { 0 };
};

/// \return a workload with Poisson arrivals, a quarter of them batch requests.
/// \param load arrival rate as a part of the upstream's capacity
/// \param promptTokens maximum of the prompt tokens; they count for the queue but take no run time
workload makeWorkload(double load, int count, int promptTokens, std::mt19937& random)
{
    std::exponential_distribution<double> gap(load * slots / 0.4);
    std::uniform_int_distribution<int> tokens(20, 60);
    std::uniform_int_distribution<int> prompt(0, promptTokens);
    std::uniform_int_distribution<int> team(0, 4);
    workload result;
    double at = 0;
    for (int ticket = 1; ticket <= count; ++ticket) {
        at += gap(random);
        const monotonic_time arrived = start + milliseconds(static_cast<int>(at * 1000));
        const bool batch = ticket % 4 == 0;
        const double answer = tokens(random);
        result.runTimes.emplace_back(static_cast<int>(answer / tokensPerSecond * 1000));
        result.requests.push_back({ static_cast<std::uint64_t>(ticket),
            "team-" + std::to_string(team(random)), batch ? priority::Batch : priority::Interactive,
            answer + prompt(random), arrived, arrived + (batch ? milliseconds(10000) : milliseconds(2500)) });
    }
    return result;
}

/// \brief Simulates one upstream and its queue.
class simulated_upstream {
public:
    explicit simulated_upstream(const workload& load)
        : m_load(load)
    {
    }

    /// \brief Runs all requests, or runs until a given one is answered.
    /// \param admitted ticket of a request that the queue must accept whatever its deadline; 0 for none
    /// \return whether the admitted request met its deadline
    bool run(std::uint64_t admitted = 0)
    {
        for (const queued_request& request : m_load.requests) {
            finishUntil(request.arrived);
            dropExpired(request.arrived);
            queued_request offered = request;
            if (request.ticket == admitted)
                offered.deadline = request.arrived + seconds(3600);
            if (!m_queue.offer(offered, request.arrived).accepted)
                m_rejected.push_back(request.ticket);
            startRequests(request.arrived);
            if (m_endTimes.contains(admitted))
                break;
        }
        finishUntil(start + std::chrono::hours(24));
        return m_endTimes.contains(admitted)
            && m_endTimes[admitted] <= m_load.requests[admitted - 1].deadline;
    }

    const std::vector<std::uint64_t>& rejected() const { return m_rejected; }

    int missed() const
    {
        return static_cast<int>(std::count_if(m_endTimes.begin(), m_endTimes.end(),
            [&](const auto& ended) { return ended.second > m_load.requests[ended.first - 1].deadline; }));
    }

private:
    void finishUntil(monotonic_time now)
    {
        while (!m_pendingEnds.empty() && m_pendingEnds.top().first <= now) {
            const auto [at, ticket] = m_pendingEnds.top();
            m_pendingEnds.pop();
            m_queue.finish(ticket, at);
            m_endTimes[ticket] = at;
            dropExpired(at);
            startRequests(at);
        }
    }

    void dropExpired(monotonic_time now)
    {
        for (const queued_request& expired : m_queue.takeExpired(now))
            m_rejected.push_back(expired.ticket);
    }

    void startRequests(monotonic_time now)
    {
        while (const auto next = m_queue.startNext(now)) {
            monotonic_time end = now + m_load.runTimes[next->ticket - 1];
            if (now < m_load.pauseAt + m_load.pause && end > m_load.pauseAt)
                end += m_load.pauseAt + m_load.pause - std::max(now, m_load.pauseAt);
            m_pendingEnds.emplace(end, next->ticket);
        }
    }

    using end_event = std::pair<monotonic_time, std::uint64_t>;

    const workload& m_load;
    fair_queue m_queue { { slots, 1024, 0.1 } };
    std::priority_queue<end_event, std::vector<end_event>, std::greater<>> m_pendingEnds;
    std::map<std::uint64_t, monotonic_time> m_endTimes;
    std::vector<std::uint64_t> m_rejected;
};

/// Repeats the run for each rejected request with that request admitted, to see if it meets its deadline.
estimate_errors measureErrors(const workload& load)
{
    simulated_upstream upstream(load);
    upstream.run();
    estimate_errors result { static_cast<int>(load.requests.size()),
        static_cast<int>(upstream.rejected().size()), 0, upstream.missed() };
    for (const std::uint64_t ticket : upstream.rejected())
        result.rejectedWrongly += simulated_upstream(load).run(ticket) ? 1 : 0;
    return result;
}

} // namespace

namespace {

estimate_errors runAndReport(double load, int promptTokens, milliseconds pause)
{
    constexpr std::uint32_t seed = 7;
    std::mt19937 random(seed);
    workload requests = makeWorkload(load, 2000, promptTokens, random);
    requests.pauseAt = start + seconds(30);
    requests.pause = pause;
    const estimate_errors errors = measureErrors(requests);
    MESSAGE("seed " << seed << ", load " << load << ", pause " << pause.count() << " ms, up to "
                    << promptTokens << " prompt tokens: of " << errors.requests << " requests rejected "
                    << errors.rejected << ", wrongly " << errors.rejectedWrongly << ", missed "
                    << errors.missed);
    return errors;
}

} // namespace

TEST_CASE("fair queue estimates: below the capacity of the upstream no request is rejected or late")
{
    for (const double load : { 0.7, 0.9 }) {
        for (const int promptTokens : { 0, 100 }) {
            const estimate_errors errors = runAndReport(load, promptTokens, milliseconds(0));
            CHECK(errors.rejected + errors.missed == 0);
        }
    }
}

TEST_CASE("fair queue estimates: a pause of 5 s costs only the requests that cannot be served")
{
    for (const double load : { 0.7, 0.9, 1.0 }) {
        const estimate_errors exact = runAndReport(load, 0, seconds(5));
        CHECK(exact.rejectedWrongly == 0);
        CHECK(exact.missed <= static_cast<int>(slots));
        const estimate_errors inexact = runAndReport(load, 100, seconds(5));
        CHECK(inexact.rejectedWrongly <= 10);
        CHECK(inexact.missed <= 2 * static_cast<int>(slots));
    }
}

TEST_CASE("fair queue estimates: an overloaded upstream answers every started request in time")
{
    const estimate_errors errors = runAndReport(1.2, 0, milliseconds(0));
    CHECK(errors.rejectedWrongly == 0);
    CHECK(errors.missed == 0);
}
