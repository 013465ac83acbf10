#include "Side/request_dispatcher.h"

#include "Place/token_demand_meter.h"
#include "Route/waiting_queue.h"
#include "Serve/http_client.h"
#include "Side/engine_admission.h"
#include "Side/engine_control.h"
#include "Side/header_rules.h"
#include "Side/job_table.h"
#include "Side/request_telemetry.h"
#include "Side/upstream_exchange.h"
#include "Watch/log.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace sagesaddle {

namespace {

// Interval between two checks for expired requests, and between two attempts to send an unsent refusal.
constexpr milliseconds expiryInterval { 20 };
constexpr milliseconds sendRetryInterval { 5 };
constexpr milliseconds notReadyRetryAfter { 100 };

// A refusal that could not be sent because the send queue of its connection was full.
struct unsent_refusal {
    job_ptr job;
    refusal_message frame;
};

queued_request makeQueuedRequest(const request_job& job)
{
    return { job.ticket, job.request.team, job.request.priority, static_cast<double>(job.request.tokens),
        job.arrived, job.deadline };
}

// Clamps the time to the range of the field in messages.
std::uint32_t clampToMilliseconds(milliseconds value)
{
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(value.count(), 0, UINT32_MAX));
}

} // namespace

struct request_dispatcher::impl {
    impl(options given, send_frame sender, metric_registry& registry, span_exporter& exporter)
        : settings(std::move(given))
        , send(std::move(sender))
        , telemetry(settings.upstream, registry, exporter)
        , queue(settings.order, { .slots = 1, .maxWaiting = settings.maxWaiting })
    {
        expiryThread = std::thread([this] { runExpiry(); });
    }

    // Receiving requests.

    void onRequest(connection_id connection, request_message request)
    {
        const job_ptr job = makeRequestJob(connection, std::move(request));
        std::vector<pending_refusal> refusals;
        {
            const std::scoped_lock lock(mutex);
            if (!jobs.add(job)) {
                writeLog(log_level::Warning, "ignored a duplicate request frame",
                    { { "trace_id", job->span.traceId }, { "id", job->request.id } });
                return;
            }
            demandMeter.recordDemand(job->request.model, job->request.tokens, job->arrived);
            if (const auto cause = admit(job))
                removeRefusedLocked(job, *cause, refusals);
        }
        workReady.notify_one();
        refuse(refusals);
    }

    std::optional<refusal_cause> admit(const job_ptr& job)
    {
        if (auto cause = currentRefusalCause())
            return cause;
        if (job->deadline <= monotonicNow())
            return refusal_cause { verdict::NotRun, "deadline", "the request came after its deadline", {} };
        if (const auto name = findApiKeyHeader(job->request.headers)) {
            return refusal_cause { verdict::NotRun, "key_header",
                "the header \"" + *name + "\" may hold a key, which no upstream may see", {} };
        }
        if (engine) {
            if (auto cause = admission.admit(job); cause || admission.isParked(*job))
                return cause;
        }
        return enqueue(job);
    }

    // Returns why every request is refused at present; empty if requests are accepted.
    std::optional<refusal_cause> currentRefusalCause() const
    {
        if (!view)
            return refusal_cause { verdict::NotRun, "not_ready",
                "the side process does not know its records yet", notReadyRetryAfter };
        if (draining)
            return refusal_cause { verdict::NotRun, "draining", "the side process is stopping", {} };
        if (view->upstream.leaving)
            return refusal_cause { verdict::NotRun, "leaving", "the upstream takes no new work", {} };
        return std::nullopt;
    }

    std::optional<refusal_cause> enqueue(const job_ptr& job)
    {
        const queue_decision decision = queue.visit(
            [&](auto& waiting) { return waiting.offer(makeQueuedRequest(*job), monotonicNow()); });
        if (decision.accepted)
            return std::nullopt;
        return refusal_cause { verdict::NotRun, decision.reason, "the upstream's queue is too long",
            milliseconds(decision.retryAfterMs) };
    }

    void onModelsChanged()
    {
        std::vector<pending_refusal> refusals;
        {
            const std::scoped_lock lock(mutex);
            for (const auto& [job, failure] : admission.takeUnparked()) {
                if (const auto cause = failure ? failure : enqueue(job))
                    removeRefusedLocked(job, *cause, refusals);
            }
        }
        workReady.notify_all();
        refuse(refusals);
    }

    // Refusing and cancelling requests.

    void onCancel(connection_id connection, std::uint64_t id)
    {
        const std::scoped_lock lock(mutex);
        if (const job_ptr job = jobs.find(connection, id))
            cancelLocked(job);
    }

    void onConnectionClosed(connection_id connection)
    {
        const std::scoped_lock lock(mutex);
        for (const job_ptr& job : jobs.jobsOfConnection(connection)) {
            job->disconnected = true;
            cancelLocked(job);
        }
        std::erase_if(unsentRefusals,
            [&](const unsent_refusal& refusal) { return refusal.job->connection == connection; });
    }

    // A call to a plain service that may run at most once continues if it has started: interrupting it would
    // not undo it. Calls to an engine are always interrupted.
    void cancelLocked(const job_ptr& job)
    {
        if (!jobs.isRunning(*job)) {
            queue.visit([&](auto& waiting) { waiting.remove(job->ticket); });
            removeLocked(job);
        } else if (job->request.idempotent || engine) {
            job->cancelled = true;
        }
    }

    // Removes the job and appends its refusal, to be sent once the lock is released. `job` may refer to an
    // element of the job table that the removal destroys, so it is copied first.
    void removeRefusedLocked(
        const job_ptr& job, const refusal_cause& cause, std::vector<pending_refusal>& refusals)
    {
        const job_ptr removed = refusals.emplace_back(pending_refusal { job, cause }).job;
        removeLocked(removed);
    }

    void removeLocked(const job_ptr& job)
    {
        admission.endRequest(*job, monotonicNow());
        jobs.remove(*job);
        if (isIdleLocked())
            becameIdle.notify_all();
    }

    // Must not block: it is called on the threads that read frames and that poll the engine.
    void refuse(const std::vector<pending_refusal>& refusals)
    {
        for (const pending_refusal& refusal : refusals) {
            const refusal_message frame = recordRefusal(*refusal.job, refusal.cause);
            if (!send(refusal.job->connection, frame))
                keepUnsent({ refusal.job, frame });
        }
    }

    void keepUnsent(unsent_refusal refusal)
    {
        const std::scoped_lock lock(mutex);
        unsentRefusals.push_back(std::move(refusal));
    }

    // Retries the refusals of connections whose send queue was full.
    void sendUnsentLocked()
    {
        const monotonic_time now = monotonicNow();
        std::erase_if(unsentRefusals, [&](const unsent_refusal& refusal) {
            return refusal.job->disconnected || refusal.job->deadline <= now
                || send(refusal.job->connection, refusal.frame);
        });
        if (isIdleLocked())
            becameIdle.notify_all();
    }

    bool isIdleLocked() const { return jobs.empty() && unsentRefusals.empty(); }

    // Records the refusal and returns its message.
    refusal_message recordRefusal(const request_job& job, const refusal_cause& cause)
    {
        telemetry.recordRefusal(job, cause);
        return { job.request.id, cause.ran, cause.reason, cause.detail, clampToMilliseconds(cause.retryAfter),
            load() };
    }

    // Refuses requests that can no longer meet their deadline, and sends unsent refusals again.
    void runExpiry()
    {
        std::unique_lock lock(mutex);
        while (!stopping) {
            expiryWake.wait_for(lock, expiryInterval);
            std::vector<pending_refusal> refusals;
            sendUnsentLocked();
            collectExpired(refusals);
            lock.unlock();
            refuse(refusals);
            lock.lock();
        }
    }

    void collectExpired(std::vector<pending_refusal>& refusals)
    {
        const monotonic_time now = monotonicNow();
        for (const queued_request& expired :
            queue.visit([&](auto& waiting) { return waiting.takeExpired(now); })) {
            removeRefusedLocked(jobs.at(expired.ticket),
                { verdict::NotRun, "deadline", "the request cannot make its deadline in the queue", {} },
                refusals);
        }
        for (const pending_refusal& overdue : admission.expired(now))
            removeRefusedLocked(overdue.job, overdue.cause, refusals);
    }

    // Running requests.

    void ensureWorkers(std::uint32_t count)
    {
        while (workers.size() < count)
            workers.emplace_back([this] { runWorker(); });
    }

    void runWorker()
    {
        http_client client;
        std::unique_lock lock(mutex);
        while (!stopping) {
            const auto next = queue.visit([](auto& waiting) { return waiting.startNext(monotonicNow()); });
            if (!next) {
                workReady.wait(lock);
                continue;
            }
            const job_ptr job = jobs.at(next->ticket);
            jobs.markRunning(*job);
            const run_parameters parameters = runParametersLocked(*job);
            lock.unlock();
            const exchange_outcome outcome = runJob(client, *job, parameters);
            lock.lock();
            freeSlotLocked(*job, outcome);
            if (outcome.reason == "model_not_loaded" && engine)
                engine->markNotLoaded(job->request.model, monotonicNow());
            lock.unlock();
            sendResult(*job, outcome);
            lock.lock();
            removeLocked(job);
        }
    }

    // If the entry received the answer slowly, the request occupied its slot for longer than the upstream
    // needed, so its duration is not a sample of the service time.
    void freeSlotLocked(const request_job& job, const exchange_outcome& outcome)
    {
        if (isServiceTimeSample(outcome) && !job.waitedForEntry)
            queue.visit([&](auto& waiting) { waiting.finish(job.ticket, monotonicNow()); });
        else
            queue.visit([&](auto& waiting) { waiting.abandon(job.ticket); });
    }

    // The parameters of a run that a newer view may change; copied under the lock.
    struct run_parameters {
        upstream_kind kind { upstream_kind::Engine };
        claim_hooks claims;
    };

    run_parameters runParametersLocked(const request_job& job) const
    {
        const bool needsClaim = kind == upstream_kind::Service && !job.request.idempotent;
        return { kind, needsClaim ? claims : claim_hooks {} };
    }

    exchange_outcome runJob(http_client& client, request_job& job, const run_parameters& parameters)
    {
        exchange_hooks hooks;
        hooks.send = [&](const message& value) { return sendBlocking(job, value); };
        hooks.isCancelled = [&] { return job.cancelled.load(); };
        const exchange_parameters exchange { settings.target, parameters.kind, job.span, job.deadline };
        if (parameters.kind == upstream_kind::Service && !job.request.idempotent)
            return runClaimedExchange(client, exchange, job.request, hooks, parameters.claims);
        return runExchange(client, exchange, job.request, hooks);
    }

    // Waits while the send queue of the connection is full, so that backpressure of a slow entry reaches the
    // upstream. Returns false if the connection closed, the deadline passed or the dispatcher is stopping.
    bool sendBlocking(request_job& job, const message& value)
    {
        while (!job.disconnected && !stopping) {
            if (send(job.connection, value))
                return true;
            job.waitedForEntry = true;
            if (monotonicNow() >= job.deadline)
                return false;
            std::this_thread::sleep_for(sendRetryInterval);
        }
        return false;
    }

    void sendResult(request_job& job, const exchange_outcome& outcome)
    {
        if (outcome.ran != verdict::Answered) {
            sendBlocking(job, recordRefusal(job, { outcome.ran, outcome.reason, outcome.detail, {} }));
            return;
        }
        sendBlocking(
            job, answer_end { job.request.id, outcome.frames, outcome.bytes, outcome.tokensUsed, load() });
        telemetry.recordAnswer(job, outcome);
    }

    load_report load() const
    {
        const std::scoped_lock lock(mutex);
        load_report report;
        report.upstream = settings.upstream;
        report.queued = static_cast<std::uint32_t>(
            queue.visit([](const auto& waiting) { return waiting.waiting(); }) + admission.parked());
        report.running
            = static_cast<std::uint32_t>(queue.visit([](const auto& waiting) { return waiting.running(); }));
        report.slots = slots;
        report.waitMs = clampToMilliseconds(queue.visit(
            [](const auto& waiting) { return waiting.expectedWait(priority::Interactive, monotonicNow()); }));
        report.draining = draining || (view && view->upstream.leaving);
        if (engine) {
            const engine_status status = engine->status(monotonicNow());
            report.freeMemoryMb = status.freeMemoryMb;
            report.reportAgeMs = clampToMilliseconds(status.reportAge);
            report.residentModels = status.residentModels;
            report.loadingModels = status.loadingModels;
            report.cachedPrefixes = status.cachedPrefixes;
            for (const token_demand_meter::rate& use : demandMeter.rates(monotonicNow()))
                report.modelUses.push_back({ use.model, use.tokensPerSecond });
        }
        return report;
    }

    options settings;
    send_frame send;
    request_telemetry telemetry;

    mutable std::mutex mutex;
    // Signalled when a request may have become startable or the workers must stop.
    std::condition_variable workReady;
    std::condition_variable becameIdle;
    std::condition_variable expiryWake;
    std::optional<side_view> view;
    upstream_kind kind { upstream_kind::Engine };
    engine_control* engine { nullptr };
    claim_hooks claims;
    std::uint32_t slots { 0 };
    waiting_queue queue;
    token_demand_meter demandMeter;
    job_table jobs;
    engine_admission admission;
    std::vector<unsent_refusal> unsentRefusals;
    bool draining { false };
    std::atomic<bool> stopping { false };
    std::vector<std::thread> workers;
    std::thread expiryThread;
};

request_dispatcher::request_dispatcher(
    options settings, send_frame send, metric_registry& metrics, span_exporter& spans)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(send), metrics, spans))
{
}

request_dispatcher::~request_dispatcher()
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->stopping = true;
        for (const job_ptr& job : m_impl->jobs.running())
            job->cancelled = true;
    }
    m_impl->workReady.notify_all();
    m_impl->expiryWake.notify_all();
    for (std::thread& worker : m_impl->workers)
        worker.join();
    m_impl->expiryThread.join();
}

void request_dispatcher::setView(const side_view& view, engine_control* engine, claim_hooks claims)
{
    {
        const std::scoped_lock lock(m_impl->mutex);
        m_impl->view = view;
        m_impl->kind = view.upstream.kind;
        m_impl->engine = engine;
        m_impl->admission.setEngine(engine);
        m_impl->claims = std::move(claims);
        m_impl->slots = std::min(view.upstream.slots, m_impl->settings.workers);
        m_impl->queue.visit([this](auto& waiting) { waiting.setSlots(m_impl->slots); });
        m_impl->ensureWorkers(m_impl->slots);
    }
    m_impl->workReady.notify_all();
}

void request_dispatcher::onRequest(connection_id connection, request_message request)
{
    m_impl->onRequest(connection, std::move(request));
}

void request_dispatcher::onCancel(connection_id connection, std::uint64_t id)
{
    m_impl->onCancel(connection, id);
}

void request_dispatcher::onConnectionClosed(connection_id connection)
{
    m_impl->onConnectionClosed(connection);
}

void request_dispatcher::onModelsChanged()
{
    m_impl->onModelsChanged();
}

void request_dispatcher::rejectNewRequests()
{
    const std::scoped_lock lock(m_impl->mutex);
    m_impl->draining = true;
}

bool request_dispatcher::isDraining() const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->draining;
}

bool request_dispatcher::isIdle() const
{
    const std::scoped_lock lock(m_impl->mutex);
    return m_impl->isIdleLocked();
}

void request_dispatcher::waitIdle()
{
    std::unique_lock lock(m_impl->mutex);
    m_impl->becameIdle.wait(lock, [this] { return m_impl->isIdleLocked(); });
}

load_report request_dispatcher::load() const
{
    return m_impl->load();
}

} // namespace sagesaddle
