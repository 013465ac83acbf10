#include "Side/side_process.h"

#include "Agree/log_client.h"
#include "Base/overloaded.h"
#include "Once/key_claimer.h"
#include "Record/log_record.h"
#include "Record/record_error.h"
#include "Record/side_view.h"
#include "Serve/http_server.h"
#include "Side/engine_control.h"
#include "Side/request_dispatcher.h"
#include "Side/side_admin.h"
#include "Watch/log.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"
#include "Wire/frame_server.h"
#include "Wire/io_thread_pool.h"

#include <mutex>
#include <optional>
#include <thread>

namespace sagesaddle {

namespace {

constexpr std::size_t ioThreadCount = 2;
constexpr std::uint32_t adminWorkers = 4;
// Time for the entries to learn that this process is draining, so that they send no more requests.
constexpr milliseconds minDrainTime { 500 };
constexpr milliseconds closeTimeout { 2000 };
// Interval at which the destructor checks whether a callback still uses the frame server.
constexpr milliseconds releaseCheckInterval { 1 };
constexpr milliseconds logTimeout { 2000 };

span_exporter::options spanOptions(const side_settings& settings)
{
    span_exporter::options options;
    options.collector = settings.traces;
    options.service = "sagesaddle-side";
    options.instance = settings.name;
    return options;
}

request_dispatcher::options dispatcherOptions(const side_settings& settings)
{
    return { settings.name, settings.target, settings.workers, settings.maxWaiting, settings.queueOrder };
}

} // namespace

// Members are destroyed in reverse order: the frame server stops first, then the dispatcher, then the engine
// control.
struct side_process::impl {
    explicit impl(const side_settings& given)
        : settings(given)
        , spans(spanOptions(given))
        , ioThreads(ioThreadCount)
        , log(given.log, logTimeout)
        , dispatcher(
              dispatcherOptions(given),
              [this](connection_id id, const message& value) { return sendFrame(id, value); }, metrics, spans)
    {
        frames = std::make_shared<frame_server>(ioThreads, settings.frames, frameHandlers());
        setActiveFrames(frames);
        const side_admin_sources sources { settings.name, metrics, [this] { return status(); } };
        admin.emplace(http_server::options { .listen = settings.admin, .workers = adminWorkers },
            [sources](http_call& call) { handleAdminRequest(sources, call); });
    }

    ~impl()
    {
        admin.reset();
        setActiveFrames(nullptr);
        // A callback that is sending keeps a reference to the server; it must not be the one to destroy it.
        while (frames.use_count() > 1)
            std::this_thread::sleep_for(releaseCheckInterval);
        frames.reset();
        if (engine)
            engine->stop();
    }

    // Callbacks may send frames at any time, also before the server was created and while it stops. They get
    // the server from activeFrames, which is null then.
    void setActiveFrames(std::shared_ptr<frame_server> server)
    {
        const std::scoped_lock lock(framesMutex);
        activeFrames = std::move(server);
    }

    std::shared_ptr<frame_server> currentFrames()
    {
        const std::scoped_lock lock(framesMutex);
        return activeFrames;
    }

    bool sendFrame(connection_id id, const message& value)
    {
        const auto server = currentFrames();
        return server && server->send(id, value);
    }

    frame_server::handlers frameHandlers()
    {
        return { .onMessage = [this](connection_id id, message value) { onMessage(id, std::move(value)); },
            .onClosed = [this](connection_id id) { dispatcher.onConnectionClosed(id); },
            .onProblem =
                [this](connection_id id, const std::string& reason) {
                    writeLog(log_level::Info, "connection of an entry closed",
                        { { "connection", id }, { "reason", reason } });
                } };
    }

    void onMessage(connection_id id, message value)
    {
        std::visit(overloaded {
                       [&](request_message& request) { dispatcher.onRequest(id, std::move(request)); },
                       [&](const cancel_message& cancel) { dispatcher.onCancel(id, cancel.id); },
                       [&](const load_ask& ask) {
                           sendFrame(id, load_answer { ask.id, dispatcher.load() });
                       },
                       [&](const side_view_message& received) { onView(received); },
                       [&](const auto&) {
                           writeLog(log_level::Warning,
                               "ignored a message of a type that side processes do not handle",
                               { { "connection", id } });
                       },
                   },
            value);
    }

    // Views may arrive out of order, from several entries; an older one never replaces a newer one.
    void onView(const side_view_message& received)
    {
        const std::scoped_lock lock(viewMutex);
        if (view && received.offset <= view->offset)
            return;
        try {
            side_view next = parseSideView(received.view);
            next.offset = received.offset;
            if (next.upstream.name != settings.name) {
                throw record_error("the view belongs to the upstream \"" + next.upstream.name
                    + "\", this process serves \"" + settings.name + "\"");
            }
            applyView(next);
            view = std::move(next);
        } catch (const std::exception& error) {
            metrics.add("sagesaddle_side_views_refused_total", "Views of the records that were refused.");
            writeLog(log_level::Error, "rejected a view of the records", { { "error", error.what() } });
        }
    }

    void applyView(const side_view& next)
    {
        if (next.upstream.kind == upstream_kind::Engine) {
            if (!engine)
                startEngineControl();
            engine->setView(next);
        }
        dispatcher.setView(next, engine.get(), claimHooks(next));
    }

    claim_hooks claimHooks(const side_view& next)
    {
        if (next.upstream.kind != upstream_kind::Service)
            return {};
        if (!claimer)
            claimer = std::make_unique<key_claimer>(log, next.upstream.service, settings.name + "/" + runId);
        return { [this](const std::string& team, const std::string& key, monotonic_time deadline) {
                    return claimer->claim(team, key, deadline);
                },
            [this](const claim_result& granted) { claimer->release(granted); } };
    }

    // The offset of the appended record is the fencing token: a later process always gets a higher one.
    std::uint64_t acquireFence()
    {
        const log_record record { makeRecordId(), defaultRecordSchema,
            lease_record { "side/" + settings.name, settings.name, 0 } };
        return log.append(configStream, { formatRecord(record) }).first;
    }

    void startEngineControl()
    {
        engine_control::options options;
        options.upstream = settings.name;
        options.target = settings.target;
        options.reportPollInterval = settings.reportPollInterval;
        options.orderSettlingTime = settings.orderSettlingTime;
        options.runId = settings.name + "/" + runId;
        options.acquireFence = [this] { return acquireFence(); };
        engine = std::make_unique<engine_control>(options, metrics, [this] { dispatcher.onModelsChanged(); });
    }

    side_status status()
    {
        const std::scoped_lock lock(viewMutex);
        side_status result;
        result.load = dispatcher.load();
        result.hasView = view.has_value();
        result.viewOffset = view ? view->offset : 0;
        result.draining = dispatcher.isDraining();
        if (engine)
            result.engine = engine->status(monotonicNow());
        return result;
    }

    void drain()
    {
        const auto startedAt = monotonicNow();
        dispatcher.rejectNewRequests();
        frames->broadcast(load_answer { 0, dispatcher.load() });
        writeLog(log_level::Info, "draining", {});
        dispatcher.waitIdle();
        std::this_thread::sleep_until(startedAt + minDrainTime);
        dispatcher.waitIdle();
        frames->finish(closeTimeout);
        writeLog(log_level::Info, "drained", {});
    }

    side_settings settings;
    metric_registry metrics;
    span_exporter spans;
    io_thread_pool ioThreads;
    // Unique to each start of this process.
    const std::string runId { makeRecordId() };
    log_client log;
    std::unique_ptr<key_claimer> claimer;
    std::unique_ptr<engine_control> engine;
    request_dispatcher dispatcher;
    std::mutex framesMutex;
    std::shared_ptr<frame_server> activeFrames;
    std::shared_ptr<frame_server> frames;
    std::mutex viewMutex;
    std::optional<side_view> view;
    std::optional<http_server> admin;
};

side_process::side_process(const side_settings& settings)
    : m_impl(std::make_unique<impl>(settings))
{
}

side_process::~side_process() = default;

void side_process::drain()
{
    m_impl->drain();
}

address side_process::framesAddress() const
{
    return m_impl->frames->listenAddress();
}

} // namespace sagesaddle
