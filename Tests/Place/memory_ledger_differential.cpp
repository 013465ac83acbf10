#include "Place/memory_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace sagesaddle;

namespace {

constexpr std::uint64_t totalMb = 1000;
constexpr milliseconds settlingTime { 1000 };
constexpr milliseconds stepTime { 60 };
// Changes of the engine by which a report may lag behind.
constexpr std::size_t maxReportLag = 6;
constexpr int stepsPerHistory = 400;

// Picks uniformly from [least, end). The fixed size makes each value as likely in a short history as in a
// long one.
template <typename Number> Number pick(Number least, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(least, end));
}

// The actual state of the engine, against which the ledger is checked. A copy of an order may arrive at once,
// later or never.
class simulated_engine {
public:
    explicit simulated_engine(bool checksFencing)
        : m_checksFencing(checksFencing)
    {
        recordChange();
    }

    struct answer {
        order_reply reply;
        std::uint64_t sequence;
    };

    answer accept(const engine_order& order, bool isMemoryShort)
    {
        if (const auto known = m_known.find(order.id); known != m_known.end())
            return { order_reply::Accepted, known->second };
        if (m_checksFencing && order.fence < m_highestFence)
            return { order_reply::Fenced, 0 };
        m_highestFence = std::max(m_highestFence, order.fence);
        if (isMemoryShort)
            return { order_reply::NoMemory, 0 };
        m_known[order.id] = ++m_sequence;
        m_outcomes[order.id] = order_outcome::Running;
        m_running.push_back(order);
        // Some loads take their memory when they are accepted, others when they are carried out.
        if (order.action == order_action::Load && order.memoryMb % 2 == 0)
            m_models.try_emplace(order.model, resident_model { order.memoryMb, resident_state::Loading });
        recordChange();
        return { order_reply::Accepted, m_sequence };
    }

    void settleOne(std::size_t choice, bool fails)
    {
        if (m_running.empty())
            return;
        const auto at = m_running.begin() + static_cast<std::ptrdiff_t>(choice % m_running.size());
        const engine_order order = *at;
        m_running.erase(at);
        const auto resident = m_models.find(order.model);
        const bool isLoading
            = resident != m_models.end() && resident->second.state == resident_state::Loading;
        if (order.action == order_action::Load && !fails)
            m_models[order.model] = { order.memoryMb, resident_state::Loaded };
        else if (order.action == order_action::Unload || isLoading)
            m_models.erase(order.model);
        m_outcomes[order.id] = order_outcome::Settled;
        ++m_sequence;
        recordChange();
    }

    // The report of the state after the change with this index.
    engine_report report(std::size_t index, monotonic_time now) const
    {
        engine_report result = m_history[index].report;
        if (index + 1 < m_history.size())
            result.age = std::chrono::duration_cast<milliseconds>(now - m_history[index].madeAt);
        return result;
    }

    std::size_t changes() const { return m_history.size(); }

    void setTime(monotonic_time now) { m_now = now; }

    std::uint64_t usedMb() const
    {
        std::uint64_t sum = 0;
        for (const auto& [name, model] : m_models)
            sum += model.memoryMb;
        return sum;
    }

    // Memory that is in use if all accepted loads complete.
    std::uint64_t maxUsedMb() const
    {
        std::map<std::string, std::uint64_t> sizes;
        for (const auto& [name, model] : m_models)
            sizes[name] = model.memoryMb;
        for (const engine_order& order : m_running) {
            if (order.action == order_action::Load)
                sizes[order.model] = std::max(sizes[order.model], order.memoryMb);
        }
        std::uint64_t sum = 0;
        for (const auto& [name, size] : sizes)
            sum += size;
        return sum;
    }

private:
    struct change {
        engine_report report;
        monotonic_time madeAt;
    };

    void recordChange()
    {
        m_history.push_back({ m_sequence, milliseconds(0), totalMb, usedMb(), m_models, m_outcomes });
    }

    bool m_checksFencing;
    std::uint64_t m_highestFence { 0 };
    std::uint64_t m_sequence { 0 };
    std::map<std::string, std::uint64_t> m_known;
    std::map<std::string, order_outcome> m_outcomes;
    std::vector<engine_order> m_running;
    std::map<std::string, resident_model> m_models;
    std::vector<change> m_history;
    monotonic_time m_now;
};

// Successive processes with a ledger for one engine, over a network that loses, delays and duplicates orders.
class ledger_simulation {
public:
    explicit ledger_simulation(bool checksFencing)
        : m_checksFencing(checksFencing)
        , m_engine(checksFencing)
    {
        restart();
    }

    void step()
    {
        m_now += stepTime;
        m_engine.setTime(m_now);
        dropExpiredCopies();
        switch (pick(0, 12)) {
        case 0:
        case 1:
        case 2:
            m_ledger->reserveLoad(modelName(), pick<std::uint64_t>(100, 700));
            break;
        case 3:
            m_ledger->orderUnload(modelName());
            break;
        case 4:
        case 5:
            send();
            break;
        case 6:
            deliverDelayedCopy();
            break;
        case 7:
        case 8:
            m_engine.settleOne(pick<std::size_t>(0, 8), pick(0, 4) == 0);
            break;
        case 9:
        case 10:
            report();
            break;
        default:
            if (pick(0, 5) == 0)
                restart();
            break;
        }
        RC_ASSERT(m_engine.usedMb() <= totalMb);
        RC_ASSERT(m_engine.maxUsedMb() <= totalMb);
        if (m_ledger->phase() == ledger_phase::Open)
            RC_ASSERT(m_ledger->freeMb() + m_engine.maxUsedMb() <= totalMb);
        m_hadSeveralOrders = m_hadSeveralOrders || m_ledger->ordersOutstanding() > 1;
    }

    bool hadSeveralOrders() const { return m_hadSeveralOrders; }

private:
    struct delayed_copy {
        engine_order order;
        monotonic_time sentAt;
    };

    static std::string modelName() { return std::string(1, pick('a', 'e')); }

    void restart()
    {
        const std::string run = "run-" + std::to_string(++m_fence);
        m_ledger.emplace(memory_ledger::options { m_checksFencing, settlingTime, run }, m_now);
        m_ledger->setTotal(totalMb);
        m_ledger->setFence(m_fence);
    }

    void send()
    {
        for (const engine_order& order : m_ledger->takeOrdersToSend(m_now)) {
            switch (pick(0, 4)) {
            case 0: // The order is lost or delayed.
                m_delayed.push_back({ order, m_now });
                m_ledger->onReply(order.id, order_reply::Lost, 0);
                break;
            case 1: // The order is accepted, its answer lost.
                m_engine.accept(order, isMemoryShort());
                m_ledger->onReply(order.id, order_reply::Lost, 0);
                break;
            default: {
                const simulated_engine::answer answer = m_engine.accept(order, isMemoryShort());
                m_ledger->onReply(order.id, answer.reply, answer.sequence);
                // A duplicate of an accepted order may arrive later. A rejected order has no duplicate.
                if (answer.reply == order_reply::Accepted && pick(0, 2) == 1)
                    m_delayed.push_back({ order, m_now });
            }
            }
        }
    }

    void deliverDelayedCopy()
    {
        if (m_delayed.empty())
            return;
        const std::size_t index = pick<std::size_t>(0, m_delayed.size());
        m_engine.accept(m_delayed[index].order, isMemoryShort());
        m_delayed.erase(m_delayed.begin() + static_cast<std::ptrdiff_t>(index));
    }

    // For an engine without fencing, the ledger relies on each order arriving within the settling time or
    // never.
    void dropExpiredCopies()
    {
        if (!m_checksFencing)
            std::erase_if(
                m_delayed, [this](const delayed_copy& copy) { return m_now - copy.sentAt >= settlingTime; });
    }

    void report()
    {
        const std::size_t newest = m_engine.changes() - 1;
        const std::size_t oldest = newest - std::min(newest, maxReportLag);
        const std::size_t index = pick(0, 2) == 1 ? pick<std::size_t>(oldest, newest + 1) : newest;
        m_ledger->onReport(m_engine.report(index, m_now), m_now);
    }

    static bool isMemoryShort() { return pick(0, 6) == 0; }

    bool m_checksFencing;
    simulated_engine m_engine;
    std::uint64_t m_fence { 0 };
    std::optional<memory_ledger> m_ledger;
    std::vector<delayed_copy> m_delayed;
    monotonic_time m_now;
    bool m_hadSeveralOrders { false };
};

void checkHistories(bool checksFencing)
{
    CHECK(rc::check([checksFencing] {
        ledger_simulation simulation(checksFencing);
        for (int i = 0; i < stepsPerHistory; ++i)
            simulation.step();
        RC_CLASSIFY(simulation.hadSeveralOrders(), "several orders outstanding");
    }));
}

} // namespace

TEST_CASE("memory ledger differential: an engine that checks fencing is never overcommitted")
{
    checkHistories(true);
}

TEST_CASE("memory ledger differential: an engine that ignores fencing is never overcommitted")
{
    checkHistories(false);
}
