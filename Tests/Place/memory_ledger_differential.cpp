#include "Place/memory_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace sagesaddle;

namespace {

constexpr std::uint64_t totalMb = 1000;
constexpr milliseconds settling { 1000 };
constexpr milliseconds tick { 60 };
constexpr std::size_t mostLag = 6;
constexpr int stepsOfHistory = 400;

// Every value of the range is as likely in a short history as in a long one.
template <typename Number> Number pick(Number least, Number end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<Number>(least, end));
}

// The engine as it truly is: every copy of an order that was sent may arrive now, later or never.
class true_engine {
public:
    explicit true_engine(bool checksFencing)
        : m_checksFencing(checksFencing)
    {
        publish();
    }

    struct answer {
        order_reply reply;
        std::uint64_t sequence;
    };

    answer accept(const engine_order& order, bool refuses)
    {
        if (const auto known = m_known.find(order.id); known != m_known.end())
            return { order_reply::Accepted, known->second };
        if (m_checksFencing && order.fence < m_highestFence)
            return { order_reply::Fenced, 0 };
        m_highestFence = std::max(m_highestFence, order.fence);
        if (refuses)
            return { order_reply::NoMemory, 0 };
        m_known[order.id] = ++m_sequence;
        m_outcomes[order.id] = order_outcome::Running;
        m_running.push_back(order);
        // A load takes its memory at once or only when its turn comes.
        if (order.action == order_action::Load && order.memoryMb % 2 == 0)
            m_models.try_emplace(order.model, resident_model { order.memoryMb, resident_state::Loading });
        publish();
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
        publish();
    }

    // The report that shows the state after the change of that index.
    engine_report report(std::size_t index, monotonic_time now) const
    {
        engine_report result = m_history[index].report;
        if (index + 1 < m_history.size())
            result.age = std::chrono::duration_cast<milliseconds>(now - m_history[index].made);
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

    // Memory that will be in use if all that was accepted takes effect.
    std::uint64_t worstMb() const
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
        monotonic_time made;
    };

    void publish()
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

// Side processes one after the other before one engine, with a network that loses, delays and doubles.
class world {
public:
    explicit world(bool checksFencing)
        : m_checksFencing(checksFencing)
        , m_engine(checksFencing)
    {
        restart();
    }

    void step()
    {
        m_now += tick;
        m_engine.setTime(m_now);
        dropLapsed();
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
            deliverLate();
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
        RC_ASSERT(m_engine.worstMb() <= totalMb);
        if (m_ledger->phase() == ledger_phase::Open)
            RC_ASSERT(m_ledger->freeMb() + m_engine.worstMb() <= totalMb);
        m_reserved = m_reserved || m_ledger->ordersOutstanding() > 1;
    }

    bool reserved() const { return m_reserved; }

private:
    struct late_copy {
        engine_order order;
        monotonic_time sent;
    };

    static std::string modelName() { return std::string(1, pick('a', 'e')); }

    void restart()
    {
        const std::string run = "run-" + std::to_string(++m_fence);
        m_ledger.emplace(memory_ledger::options { m_checksFencing, settling, run }, m_now);
        m_ledger->setTotal(totalMb);
        m_ledger->setFence(m_fence);
    }

    void send()
    {
        for (const engine_order& order : m_ledger->takeOrdersToSend(m_now)) {
            switch (pick(0, 4)) {
            case 0: // lost on the way, or late
                m_late.push_back({ order, m_now });
                m_ledger->onReply(order.id, order_reply::Lost, 0);
                break;
            case 1: // done, its answer lost
                m_engine.accept(order, refuses());
                m_ledger->onReply(order.id, order_reply::Lost, 0);
                break;
            default: {
                const true_engine::answer answer = m_engine.accept(order, refuses());
                m_ledger->onReply(order.id, answer.reply, answer.sequence);
                // An order that was done may come once more; one that was refused went out once.
                if (answer.reply == order_reply::Accepted && pick(0, 2) == 1)
                    m_late.push_back({ order, m_now });
            }
            }
        }
    }

    void deliverLate()
    {
        if (m_late.empty())
            return;
        const std::size_t index = pick<std::size_t>(0, m_late.size());
        m_engine.accept(m_late[index].order, refuses());
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index));
    }

    // An engine without fencing is only safe where an order settles within the stated time.
    void dropLapsed()
    {
        if (!m_checksFencing)
            std::erase_if(m_late, [this](const late_copy& copy) { return m_now - copy.sent >= settling; });
    }

    void report()
    {
        const std::size_t newest = m_engine.changes() - 1;
        const std::size_t oldest = newest - std::min(newest, mostLag);
        const std::size_t index = pick(0, 2) == 1 ? pick<std::size_t>(oldest, newest + 1) : newest;
        m_ledger->onReport(m_engine.report(index, m_now), m_now);
    }

    static bool refuses() { return pick(0, 6) == 0; }

    bool m_checksFencing;
    true_engine m_engine;
    std::uint64_t m_fence { 0 };
    std::optional<memory_ledger> m_ledger;
    std::vector<late_copy> m_late;
    monotonic_time m_now;
    bool m_reserved { false };
};

void checkHistories(bool checksFencing)
{
    CHECK(rc::check([checksFencing] {
        world histories(checksFencing);
        for (int i = 0; i < stepsOfHistory; ++i)
            histories.step();
        RC_CLASSIFY(histories.reserved(), "several orders outstanding");
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
