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

// While an order is outstanding or a request waits for a model.
constexpr milliseconds activePollInterval { 10 };
constexpr milliseconds cacheEventsPollInterval { 200 };
constexpr milliseconds fenceRetryInterval { 500 };
// Expected load time until one has been measured.
constexpr milliseconds initialLoadTime { 200 };
constexpr std::size_t maxCachedPrefixes = 64;
// Weight of the newest load time in the exponential moving average.
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
        , processStartedAt(monotonicNow())
    {
    }

    void run()
    {
        while (!isStopping()) {
            readReport();
            readCacheEvents();
            for (const engine_order& order : decide())
                sendOrder(order);
            notifyIfChanged();
            waitForNextPoll();
        }
    }

    bool isStopping() const
    {
        const std::scoped_lock lock(mutex);
        return stopping;
    }

    // Runs on a thread of its own: without a fencing token the process serves the models that are loaded, and
    // orders wait until the log provides a token.
    void runFenceAcquisition()
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
            fenceWake.wait_for(lock, fenceRetryInterval, [this] { return stopping || ledger->fence(); });
        }
    }

    std::optional<std::uint64_t> tryAcquireFence()
    {
        try {
            const std::uint64_t fence = settings.acquireFence();
            writeLog(log_level::Info, "fencing token acquired", { { "fence", fence } });
            return fence;
        } catch (const std::exception& error) {
            writeLog(log_level::Warning, "cannot acquire a fencing token from the log; retrying",
                { { "error", error.what() } });
            return std::nullopt;
        }
    }

    void readReport()
    {
        try {
            const monotonic_time requestedAt = monotonicNow();
            const engine_report report = client.fetchReport();
            const std::scoped_lock lock(mutex);
            if (ledger)
                ledger->onReport(report, requestedAt);
            reportFailed = false;
        } catch (const std::exception& error) {
            if (!std::exchange(reportFailed, true))
                writeLog(log_level::Warning, "cannot read the engine's report; retrying",
                    { { "error", error.what() } });
        }
    }

    void readCacheEvents()
    {
        if (monotonicNow() < nextCacheEventsRead)
            return;
        nextCacheEventsRead = monotonicNow() + cacheEventsPollInterval;
        try {
            const cache_events events = client.fetchCacheEvents(nextCacheEventSequence);
            nextCacheEventSequence = events.nextSequence;
            const std::scoped_lock lock(mutex);
            for (const std::uint64_t prefix : events.added)
                prefixes.push_back(prefix);
            for (const std::uint64_t prefix : events.evicted)
                std::erase(prefixes, prefix);
            while (prefixes.size() > maxCachedPrefixes)
                prefixes.pop_front();
        } catch (const std::exception&) {
            // Cached prefixes are only hints; the next read tries again.
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
                loadsStartedAt[order->model] = now;
        }
        return ledger->takeOrdersToSend(now);
    }

    // This process may be suspended between the decision and the sending. An order that may not be sent any
    // more counts as lost, and the decision is made again.
    void sendOrder(const engine_order& order)
    {
        bool maySend = true;
        const order_answer answer = client.sendOrder(order, [&] {
            const std::scoped_lock lock(mutex);
            maySend = ledger->maySend(monotonicNow());
            return maySend;
        });
        if (!maySend) {
            writeLog(log_level::Info,
                "order not sent: too much time passed since it was decided; deciding again",
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

    void notifyIfChanged()
    {
        {
            const std::scoped_lock lock(mutex);
            const std::vector<std::string> usable = usableModels();
            updateExpectedLoadTime(usable);
            if (usable == lastUsable && wasOpen == (ledger && ledger->phase() == ledger_phase::Open))
                return;
            lastUsable = usable;
            wasOpen = ledger && ledger->phase() == ledger_phase::Open;
        }
        onChange();
    }

    void updateExpectedLoadTime(const std::vector<std::string>& usable)
    {
        for (const std::string& model : usable) {
            const auto startedAt = loadsStartedAt.find(model);
            if (startedAt == loadsStartedAt.end())
                continue;
            const std::chrono::duration<double, std::milli> took = monotonicNow() - startedAt->second;
            expectedLoadMs += loadTimeWeight * (took.count() - expectedLoadMs);
            loadsStartedAt.erase(startedAt);
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
        for (const auto& [name, startedAt] : loadsStartedAt) {
            if (ledger->occupiesMemory(name) && !isUsable(name))
                names.push_back(name);
        }
        return names;
    }

    bool isUsable(const std::string& model) const
    {
        if (!ledger || !ledger->isUsable(model))
            return false;
        const auto notLoaded = notLoadedAt.find(model);
        return notLoaded == notLoadedAt.end() || ledger->reportContentTime() > notLoaded->second;
    }

    void waitForNextPoll()
    {
        std::unique_lock lock(mutex);
        const bool isActive = ledger && (ledger->ordersOutstanding() > 0 || hasUnmetDemand());
        wake.wait_for(lock,
            isActive ? std::min(activePollInterval, settings.reportPollInterval)
                     : settings.reportPollInterval,
            [this] { return stopping || std::exchange(pollRequested, false); });
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

    // Used only on the control's thread.
    engine_client client;
    std::uint64_t nextCacheEventSequence { 0 };
    monotonic_time nextCacheEventsRead;
    bool reportFailed { false };

    mutable std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable fenceWake;
    const monotonic_time processStartedAt;
    side_view view;
    std::optional<memory_ledger> ledger;
    demand_table demand;
    // When the engine last answered that a model is not loaded, although its report may list it as loaded.
    std::map<std::string, monotonic_time> notLoadedAt;
    // When the load of a model that is not usable yet was ordered.
    std::map<std::string, monotonic_time> loadsStartedAt;
    double expectedLoadMs { static_cast<double>(initialLoadTime.count()) };
    std::deque<std::uint64_t> prefixes;
    // Usable models and whether orders were allowed at the last call of onChange.
    std::vector<std::string> lastUsable;
    bool wasOpen { false };
    // Ends the current wait of the control's thread.
    bool pollRequested { false };
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
        // Whether the engine checks fencing tokens is fixed for the lifetime of this process.
        if (!m_impl->ledger) {
            m_impl->fenceThread = std::thread([this] { m_impl->runFenceAcquisition(); });
            m_impl->ledger.emplace(memory_ledger::options { view.upstream.checksFencing,
                                       m_impl->settings.orderSettlingTime, m_impl->settings.runId },
                m_impl->processStartedAt);
        }
        m_impl->ledger->setTotal(view.upstream.memoryMb);
        m_impl->pollRequested = true;
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
        m_impl->pollRequested = true;
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
    if (const auto startedAt = m_impl->loadsStartedAt.find(model); startedAt != m_impl->loadsStartedAt.end())
        left -= now - startedAt->second;
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
    m_impl->notLoadedAt[model] = now;
    m_impl->pollRequested = true;
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
        now - ledger.reportContentTime().value_or(m_impl->processStartedAt));
    result.orders = nameOf(ledger.phase());
    result.fence = ledger.fence().value_or(0);
    result.ordersOutstanding = ledger.ordersOutstanding();
    return result;
}

} // namespace sagesaddle
