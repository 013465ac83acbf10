#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <stdexcept>

namespace sagesaddle::measure {

namespace {

constexpr milliseconds workloadDuration { 40000 };
constexpr milliseconds greedyFrom { 8000 };
constexpr milliseconds greedyUntil { 20000 };
constexpr double greedyFactor { 4 };
constexpr double demandShiftFactor { 10 };
// Ratio of the rate of a team to its mean load.
constexpr double rateHeadroom { 1.6 };
constexpr double burstSeconds { 6 };
constexpr std::uint32_t minTokens { 20 };
constexpr std::uint32_t maxTokens { 60 };
constexpr double batchFraction { 0.15 };
constexpr double serviceFraction { 0.1 };
constexpr double orderFraction { 0.5 };
constexpr double burstFactor { 3 };
constexpr double calmProbability { 0.9 };
constexpr milliseconds slotDuration { 500 };
constexpr milliseconds interactiveDeadline { 2500 };
constexpr milliseconds batchDeadline { 10000 };
constexpr std::size_t bytesPerToken = 4;

class workload_generator {
public:
    workload_generator(const deployment& sizes, std::uint64_t seed)
        : m_sizes(sizes)
        , m_random(seed)
    {
        m_workload.length = workloadDuration;
        addTeam("front", 0.4, false);
        addTeam("dealers", 0.3, false);
        addTeam("cutters", 0.12, false);
        addTeam("small", 0.06, false);
        addTeam("greedy", 0.12, true);
        setModelWeights();
    }

    workload generate()
    {
        for (milliseconds slotStart { 0 }; slotStart < workloadDuration; slotStart += slotDuration)
            fillSlot(slotStart);
        std::stable_sort(m_workload.requests.begin(), m_workload.requests.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
        return m_workload;
    }

private:
    double drawFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void addTeam(const std::string& name, double fraction, bool greedy)
    {
        const double meanTokens
            = (minTokens + maxTokens) / 2.0 + static_cast<double>(promptText().size()) / bytesPerToken;
        const double rate = m_sizes.requestsPerSecond * fraction * meanTokens * rateHeadroom;
        m_workload.teams.push_back({ name, fraction, rate, rate * burstSeconds, greedy });
    }

    // The first models get the most requests; the last base model is the one whose demand grows later.
    void setModelWeights()
    {
        const std::size_t count = m_sizes.models + m_sizes.adapters;
        for (std::size_t i = 0; i < count; ++i)
            m_weights.push_back(1.0 / std::sqrt(static_cast<double>(i + 1)));
        m_shiftedModel = m_sizes.models - 1;
    }

    std::string drawModel(milliseconds at)
    {
        std::vector<double> weights = m_weights;
        if (at >= demandShiftTime())
            weights[m_shiftedModel] *= demandShiftFactor;
        const std::size_t index
            = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
        return (index < m_sizes.models ? "model-" : "adapter-")
            + std::to_string(index < m_sizes.models ? index : index - m_sizes.models);
    }

    void fillSlot(milliseconds slotStart)
    {
        const double slotFactor = drawFraction() < calmProbability ? 1 : burstFactor;
        for (std::size_t team = 0; team < m_workload.teams.size(); ++team) {
            const bool isGreedyNow
                = m_workload.teams[team].greedy && slotStart >= greedyFrom && slotStart < greedyUntil;
            const double factor
                = (isGreedyNow ? greedyFactor * rateHeadroom
                               : slotFactor / (calmProbability + (1 - calmProbability) * burstFactor));
            const double mean = m_sizes.requestsPerSecond * m_workload.teams[team].fraction * factor
                * std::chrono::duration<double>(slotDuration).count();
            const int count = std::poisson_distribution<int>(mean)(m_random);
            for (int i = 0; i < count; ++i)
                addRequest(team, slotStart);
        }
    }

    void addRequest(std::size_t team, milliseconds slotStart)
    {
        workload_request request;
        request.at = slotStart
            + milliseconds(static_cast<int>(drawFraction() * static_cast<double>(slotDuration.count())));
        request.team = team;
        request.priority = drawFraction() < batchFraction ? priority::Batch : priority::Interactive;
        request.tokens = minTokens + static_cast<std::uint32_t>(drawFraction() * (maxTokens - minTokens));
        request.entry = static_cast<std::size_t>(drawFraction() * entryCount);
        request.model = drawModel(request.at);
        if (drawFraction() < serviceFraction)
            request.kind = drawFraction() < orderFraction ? workload_request_kind::Order
                                                          : workload_request_kind::Stock;
        m_workload.requests.push_back(request);
    }

    deployment m_sizes;
    std::mt19937_64 m_random;
    workload m_workload;
    std::vector<double> m_weights;
    std::size_t m_shiftedModel { 0 };
};

} // namespace

deployment findDeployment(const std::string& name)
{
    if (name == "consortium")
        return { name, 12, 3, 20, 75, 1.5, 16, 20, 100 };
    if (name == "kuusela")
        return { name, 9, 3, 13, 55, 1, 8, 12, 75 };
    throw std::invalid_argument("no deployment '" + name + "'; name consortium or kuusela");
}

milliseconds demandShiftTime()
{
    return milliseconds(12000);
}

workload generateWorkload(const deployment& sizes, std::uint64_t seed)
{
    return workload_generator(sizes, seed).generate();
}

milliseconds deadlineOf(priority requestPriority)
{
    return requestPriority == priority::Interactive ? interactiveDeadline : batchDeadline;
}

double chargeOf(const workload_request& request)
{
    if (request.kind != workload_request_kind::Chat)
        return serviceCallTokens;
    return static_cast<double>(request.tokens)
        + std::ceil(static_cast<double>(promptText().size()) / bytesPerToken);
}

const std::string& promptText()
{
    static const std::string text = "a bespoke quote for two saddles in oak";
    return text;
}

} // namespace sagesaddle::measure
