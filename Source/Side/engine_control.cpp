#include "Side/engine_control.h"

#include "Place/memory_ledger.h"
#include "Place/order_planner.h"
#include "Side/engine_client.h"
#include "Watch/log.h"
#include "Watch/metric_registry.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace sagesaddle {

namespace {

constexpr milliseconds busyPeriod { 10 };
constexpr milliseconds cacheEventsPeriod { 200 };
constexpr milliseconds fenceRetryDelay { 500 };
constexpr milliseconds firstLoadGuess { 200 };
constexpr std::size_t keptPrefixes = 64;
constexpr double loadTimeWeight = 0.3;

const char* nameOfAction(order_action action)
{
    return action == order_action::Load ? "load" : "unload";
}

const char* nameOfReply(order_reply reply)
{
    switch (reply) {
    case order_reply::Accepted:
        return "accepted";
    case order_reply::Fenced:
        return "fenced";
    case order_reply::NoMemory:
        return "no_memory";
    case order_reply::Lost:
        break;
    }
    return "lost";
}

} // namespace

struct engine_control::impl {
    impl(options given, metric_registry& registry, std::function<void()> onModelsChanged)
        : settings(std::move(given))
        , metrics(registry)
        , onChange(std::move(onModelsChanged))
        , client(settings.target)
        , started(monotonicNow())
    {
    }

    void run()
    {
        while (!isStopping()) {
            readReport();
            readCacheEvents();
            for (const engine_order& order : decide())
                give(order);
            noteChanges();
            pause();
        }
    }

    bool isStopping() const
    {
        const std::scoped_lock lock(mutex);
        return stopping;
    }

    // A process without a fencing number serves what is loaded; orders wait for the log.
    void runFenceAsking()
    {
        std::unique_lock lock(mutex);
        while (!stopping && (!ledger || !ledger->fence())) {
            if (ledger && settings.acquireFence) {
                lock.unlock();
                const std::optional<std::uint64_t> fence = tryAcquireFence();
                lock.lock();
                if (fence)
                    ledger->setFence(*fence);
            }
            fenceWake.wait_for(lock, fenceRetryDelay, [this] { return stopping || ledger->fence(); });
        }
    }

    std::optional<std::uint64_t> tryAcquireFence()
    {
        try {
            const std::uint64_t fence = settings.acquireFence();
            writeLog(log_level::Info, "fencing number taken", { { "fence", fence } });
            return fence;
        } catch (const std::exception& error) {
            writeLog(log_level::Warning, "no fencing number from the log yet", { { "error", error.what() } });
            return std::nullopt;
        }
    }

    void readReport()
    {
        try {
            const monotonic_time asked = monotonicNow();
            const engine_report report = client.fetchReport();
            const std::scoped_lock lock(mutex);
            if (ledger)
                ledger->onReport(report, asked);
            reportFailed = false;
        } catch (const std::exception& error) {
            if (!std::exchange(reportFailed, true))
                writeLog(
                    log_level::Warning, "cannot read the engine's report", { { "error", error.what() } });
        }
    }

    void readCacheEvents()
    {
        if (monotonicNow() < nextCacheRead)
            return;
        nextCacheRead = monotonicNow() + cacheEventsPeriod;
        try {
            const cache_events events = client.fetchCacheEvents(nextCacheEvent);
            nextCacheEvent = events.nextSequence;
            const std::scoped_lock lock(mutex);
            for (const std::uint64_t prefix : events.added)
                prefixes.push_back(prefix);
            for (const std::uint64_t prefix : events.evicted)
                std::erase(prefixes, prefix);
            while (prefixes.size() > keptPrefixes)
                prefixes.pop_front();
        } catch (const std::exception&) {
            // Hints only: the next read brings newer ones.
            return;
        }
    }

    std::vector<engine_order> decide()
    {
        const std::scoped_lock lock(mutex);
        if (!ledger)
            return {};
        const monotonic_time now = monotonicNow();
        for (const planned_order& planned : planOrders(view, *ledger, demand, now)) {
            const auto order = planned.action == order_action::Load
                ? ledger->reserveLoad(planned.model, planned.memoryMb)
                : ledger->orderUnload(planned.model);
            if (order && order->action == order_action::Load)
                loadsBegun[order->model] = now;
        }
        return ledger->takeOrdersToSend(now);
    }

    // A pause may pass between the decision and the sending: the order then counts as lost and is decided
    // anew.
    void give(const engine_order& order)
    {
        bool isDue = true;
        const order_answer answer = client.sendOrder(order, [&] {
            const std::scoped_lock lock(mutex);
            isDue = ledger->maySend(monotonicNow());
            return isDue;
        });
        if (!isDue) {
            writeLog(log_level::Info, "order withheld: too long ago since it was decided",
                { { "order", order.id }, { "model", order.model } });
            const std::scoped_lock lock(mutex);
            return ledger->onReply(order.id, order_reply::Lost, 0);
        }
        metrics.add("sagesaddle_side_orders_total", "Orders sent to the engine, by action and reply.",
            { { "action", nameOfAction(order.action) }, { "reply", nameOfReply(answer.reply) } });
        writeLog(log_level::Info, "order sent",
            { { "order", order.id }, { "action", nameOfAction(order.action) }, { "model", order.model },
                { "memory_mb", order.memoryMb }, { "fence", order.fence },
                { "reply", nameOfReply(answer.reply) } });
        const std::scoped_lock lock(mutex);
        ledger->onReply(order.id, answer.reply, answer.sequence);
    }

    void noteChanges()
    {
        {
            const std::scoped_lock lock(mutex);
            const std::vector<std::string> now = usableModels();
            noteLoadTimes(now);
            if (now == lastUsable && lastReady == (ledger && ledger->phase() == ledger_phase::Open))
                return;
            lastUsable = now;
            lastReady = ledger && ledger->phase() == ledger_phase::Open;
        }
        onChange();
    }

    void noteLoadTimes(const std::vector<std::string>& usable)
    {
        for (const std::string& model : usable) {
            const auto begun = loadsBegun.find(model);
            if (begun == loadsBegun.end())
                continue;
            const std::chrono::duration<double, std::milli> took = monotonicNow() - begun->second;
            expectedLoadMs += loadTimeWeight * (took.count() - expectedLoadMs);
            loadsBegun.erase(begun);
        }
    }

    std::vector<std::string> usableModels() const
    {
        std::vector<std::string> names;
        if (!ledger)
            return names;
        for (const auto& [name, model] : ledger->models()) {
            if (isUsable(name))
                names.push_back(name);
        }
        return names;
    }

    std::vector<std::string> loadingModels() const
    {
        std::vector<std::string> names;
        for (const auto& [name, begun] : loadsBegun) {
            if (ledger->occupiesMemory(name) && !isUsable(name))
                names.push_back(name);
        }
        return names;
    }

    bool isUsable(const std::string& model) const
    {
        if (!ledger || !ledger->isUsable(model))
            return false;
        const auto denied = deniedAt.find(model);
        return denied == deniedAt.end() || ledger->reportContentTime() > denied->second;
    }

    void pause()
    {
        std::unique_lock lock(mutex);
        const bool isBusy = ledger && (ledger->ordersOutstanding() > 0 || hasUnmetDemand());
        wake.wait_for(lock,
            isBusy ? std::min(busyPeriod, settings.reportPollInterval) : settings.reportPollInterval,
            [this] { return stopping || std::exchange(wanted, false); });
    }

    bool hasUnmetDemand() const
    {
        return std::any_of(demand.begin(), demand.end(),
            [this](const auto& item) { return item.second.active > 0 && !isUsable(item.first); });
    }

    model_readiness readinessLocked(const std::string& model) const
    {
        if (!view.models.contains(model))
            return model_readiness::Unknown;
        if (isUsable(model))
            return mustDrainForPin(view, *ledger, demand, model, monotonicNow()) ? model_readiness::NoMemory
                                                                                 : model_readiness::Ready;
        if (!ledger || !ledger->reportContentTime() || ledger->phase() != ledger_phase::Open)
            return model_readiness::NoOrders;
        if (!fitsBesidePins(view, model, ledger->totalMb())
            || !canMakeRoomFor(view, *ledger, demand, model, monotonicNow()))
            return model_readiness::NoMemory;
        return model_readiness::Loading;
    }

    options settings;
    metric_registry& metrics;
    std::function<void()> onChange;

    // Used on the control's thread only.
    engine_client client;
    std::uint64_t nextCacheEvent { 0 };
    monotonic_time nextCacheRead;
    bool reportFailed { false };

    mutable std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable fenceWake;
    const monotonic_time started;
    side_view view;
    std::optional<memory_ledger> ledger;
    demand_table demand;
    // When the engine denied a model that its report listed.
    std::map<std::string, monotonic_time> deniedAt;
    std::map<std::string, monotonic_time> loadsBegun;
    double expectedLoadMs { static_cast<double>(firstLoadGuess.count()) };
    std::deque<std::uint64_t> prefixes;
    std::vector<std::string> lastUsable;
    bool lastReady { false };
    bool wanted { false };
    bool stopping { false };
    std::thread thread;
    std::thread fenceThread;
};

engine_control::engine_control(options settings, metric_registry& metrics, std::function<void()> onChange)
    : m_impl(std::make_unique<impl>(std::move(settings), metrics, std::move(onChange)))
{
    m_impl->thread = std::thread([this] { m_impl->run(); });
}

engine_control::~engine_control()
{
    stop();
}

void engine_control::stop()
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->stopping = true;
    }
    m_impl->wake.notify_all();
    m_impl->fenceWake.notify_all();
    for (std::thread* thread : { &m_impl->thread, &m_impl->fenceThread }) {
        if (thread->joinable())
            thread->join();
    }
}

void engine_control::setView(const side_view& view)
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->view = view;
        // Whether the engine checks fencing numbers is fixed for this process's life.
        if (!m_impl->ledger) {
            m_impl->fenceThread = std::thread([this] { m_impl->runFenceAsking(); });
            m_impl->ledger.emplace(memory_ledger::options { view.upstream.checksFencing,
                                       m_impl->settings.orderSettlingTime, m_impl->settings.runId },
                m_impl->started);
        }
        m_impl->ledger->setTotal(view.upstream.memoryMb);
        m_impl->wanted = true;
    }
    m_impl->wake.notify_all();
}

model_readiness engine_control::requestModel(const std::string& model, monotonic_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    const model_readiness readiness = m_impl->readinessLocked(model);
    if (readiness == model_readiness::Ready || readiness == model_readiness::Loading) {
        model_demand& use = m_impl->demand[model];
        ++use.active;
        use.lastRequestedAt = now;
    }
    if (readiness == model_readiness::Loading) {
        m_impl->wanted = true;
        m_impl->wake.notify_all();
    }
    return readiness;
}

model_readiness engine_control::readiness(const std::string& model) const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->readinessLocked(model);
}

milliseconds engine_control::expectedLoadTime(const std::string& model, monotonic_time now) const
{
    const std::scoped_lock lock(m_impl->mutex);
    std::chrono::duration<double, std::milli> left(m_impl->expectedLoadMs);
    if (const auto begun = m_impl->loadsBegun.find(model); begun != m_impl->loadsBegun.end())
        left -= now - begun->second;
    return std::chrono::ceil<milliseconds>(std::max(left, decltype(left)::zero()));
}

void engine_control::endModelUse(const std::string& model, monotonic_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    model_demand& use = m_impl->demand[model];
    use.active -= use.active > 0 ? 1 : 0;
    use.lastRequestedAt = now;
}

void engine_control::markNotLoaded(const std::string& model, monotonic_time now)
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->deniedAt[model] = now;
    m_impl->wanted = true;
    m_impl->wake.notify_all();
}

engine_status engine_control::status(monotonic_time now) const
{
    const std::scoped_lock lock(m_impl->mutex);
    engine_status result;
    result.residentModels = m_impl->usableModels();
    result.loadingModels = m_impl->loadingModels();
    result.cachedPrefixes.assign(m_impl->prefixes.begin(), m_impl->prefixes.end());
    if (!m_impl->ledger)
        return result;
    const memory_ledger& ledger = *m_impl->ledger;
    result.freeMemoryMb = ledger.freeMb();
    result.reportAge = std::chrono::duration_cast<milliseconds>(
        now - ledger.reportContentTime().value_or(m_impl->started));
    result.orders = nameOf(ledger.phase());
    result.fence = ledger.fence().value_or(0);
    result.ordersOutstanding = ledger.ordersOutstanding();
    return result;
}

} // namespace sagesaddle
