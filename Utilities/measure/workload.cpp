#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <stdexcept>

namespace sagesaddle::measure {

namespace {

constexpr milliseconds traceLength { 40000 };
constexpr milliseconds greedyFrom { 8000 };
constexpr milliseconds greedyUntil { 20000 };
constexpr double greedyFactor { 4 };
constexpr double hotFactor { 10 };
constexpr double rateHeadroom { 1.6 };
constexpr double burstSeconds { 6 };
constexpr std::uint32_t leastTokens { 20 };
constexpr std::uint32_t mostTokens { 60 };
constexpr double batchShare { 0.15 };
constexpr double serviceShare { 0.1 };
constexpr double orderShare { 0.5 };
constexpr double burstiness { 3 };
constexpr double calmChance { 0.9 };
constexpr milliseconds burstSlot { 500 };
constexpr milliseconds interactiveDeadline { 2500 };
constexpr milliseconds batchDeadline { 10000 };
constexpr std::size_t bytesPerToken = 4;

class trace_maker {
public:
    trace_maker(const deployment& of, std::uint64_t seed)
        : m_of(of)
        , m_random(seed)
    {
        m_trace.length = traceLength;
        addTeam("front", 0.4, false);
        addTeam("dealers", 0.3, false);
        addTeam("cutters", 0.12, false);
        addTeam("small", 0.06, false);
        addTeam("greedy", 0.12, true);
        weighModels();
    }

    trace make()
    {
        for (milliseconds slot { 0 }; slot < traceLength; slot += burstSlot)
            fillSlot(slot);
        std::stable_sort(m_trace.requests.begin(), m_trace.requests.end(),
            [](const auto& a, const auto& b) { return a.at < b.at; });
        return m_trace;
    }

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void addTeam(const std::string& name, double share, bool greedy)
    {
        const double meanTokens
            = (leastTokens + mostTokens) / 2.0 + static_cast<double>(promptText().size()) / bytesPerToken;
        const double rate = m_of.requestsPerSecond * share * meanTokens * rateHeadroom;
        m_trace.teams.push_back({ name, share, rate, rate * burstSeconds, greedy });
    }

    // A few models take most of the requests.
    void weighModels()
    {
        const std::size_t count = m_of.models + m_of.adapters;
        for (std::size_t i = 0; i < count; ++i)
            m_weights.push_back(1.0 / std::sqrt(static_cast<double>(i + 1)));
        m_hot = m_of.models - 1;
    }

    std::string drawModel(milliseconds at)
    {
        std::vector<double> weights = m_weights;
        if (at >= demandShiftTime())
            weights[m_hot] *= hotFactor;
        const std::size_t index
            = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
        return (index < m_of.models ? "model-" : "adapter-")
            + std::to_string(index < m_of.models ? index : index - m_of.models);
    }

    void fillSlot(milliseconds slot)
    {
        const double calm = draw() < calmChance ? 1 : burstiness;
        for (std::size_t team = 0; team < m_trace.teams.size(); ++team) {
            const bool greedyNow = m_trace.teams[team].greedy && slot >= greedyFrom && slot < greedyUntil;
            const double factor = (greedyNow ? greedyFactor * rateHeadroom
                                             : calm / (calmChance + (1 - calmChance) * burstiness));
            const double mean = m_of.requestsPerSecond * m_trace.teams[team].share * factor
                * std::chrono::duration<double>(burstSlot).count();
            const int count = std::poisson_distribution<int>(mean)(m_random);
            for (int i = 0; i < count; ++i)
                addRequest(team, slot);
        }
    }

    void addRequest(std::size_t team, milliseconds slot)
    {
        workload_request request;
        request.at = slot + milliseconds(static_cast<int>(draw() * static_cast<double>(burstSlot.count())));
        request.team = team;
        request.priority = draw() < batchShare ? priority::Batch : priority::Interactive;
        request.tokens = leastTokens + static_cast<std::uint32_t>(draw() * (mostTokens - leastTokens));
        request.entry = static_cast<std::size_t>(draw() * entryCount);
        request.model = drawModel(request.at);
        if (draw() < serviceShare)
            request.kind = draw() < orderShare ? workload_request_kind::Order : workload_request_kind::Stock;
        m_trace.requests.push_back(request);
    }

    deployment m_of;
    std::mt19937_64 m_random;
    trace m_trace;
    std::vector<double> m_weights;
    std::size_t m_hot { 0 };
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

trace generateWorkload(const deployment& of, std::uint64_t seed)
{
    return trace_maker(of, seed).make();
}

milliseconds deadlineOf(priority of)
{
    return of == priority::Interactive ? interactiveDeadline : batchDeadline;
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
