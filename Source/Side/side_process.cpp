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

constexpr std::size_t wireThreads = 2;
constexpr std::uint32_t adminWorkers = 4;
// Long enough for the entries to hear that this process is stopping.
constexpr milliseconds shortestDrain { 500 };
constexpr milliseconds closeLimit { 2000 };
constexpr milliseconds sendGrace { 1 };
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

// Members are destroyed from the last to the first: frames stop first, then requests, then the engine's
// control.
struct side_process::impl {
    explicit impl(const side_settings& given)
        : settings(given)
        , spans(spanOptions(given))
        , pool(wireThreads)
        , log(given.log, logTimeout)
        , dispatcher(
              dispatcherOptions(given),
              [this](connection_id id, const message& value) { return sendFrame(id, value); }, metrics, spans)
    {
        frames = std::make_shared<frame_server>(pool, settings.frames, frameHandlers());
        publishFrames(frames);
        const side_admin_sources sources { settings.name, metrics, [this] { return status(); } };
        admin.emplace(http_server::options { .listen = settings.admin, .workers = adminWorkers },
            [sources](http_call& call) { handleAdminRequest(sources, call); });
    }

    ~impl()
    {
        admin.reset();
        publishFrames(nullptr);
        // A callback that sends holds the server for a moment, and must not be the one to destroy it.
        while (frames.use_count() > 1)
            std::this_thread::sleep_for(sendGrace);
        frames.reset();
        if (engine)
            engine->stop();
    }

    // The server is there only between its start and its stop; frames may be sent at any time.
    void publishFrames(std::shared_ptr<frame_server> server)
    {
        const std::scoped_lock lock(framesMutex);
        sending = std::move(server);
    }

    std::shared_ptr<frame_server> currentFrames()
    {
        const std::scoped_lock lock(framesMutex);
        return sending;
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
                    writeLog(log_level::Info, "a connection closed",
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
                           writeLog(log_level::Warning, "a frame that is not for a side process was ignored",
                               { { "connection", id } });
                       },
                   },
            value);
    }

    // A lower offset never replaces a higher one.
    void onView(const side_view_message& received)
    {
        const std::scoped_lock lock(viewMutex);
        if (view && received.offset <= view->offset)
            return;
        try {
            side_view next = parseSideView(received.view);
            next.offset = received.offset;
            if (next.upstream.name != settings.name) {
                throw record_error("the view is of the upstream \"" + next.upstream.name
                    + "\", this process serves \"" + settings.name + "\"");
            }
            takeView(next);
            view = std::move(next);
        } catch (const std::exception& error) {
            metrics.add("sagesaddle_side_views_refused_total", "Views of the records that were refused.");
            writeLog(log_level::Error, "a view of the records was refused", { { "error", error.what() } });
        }
    }

    void takeView(const side_view& next)
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
        if (!claims)
            claims = std::make_unique<key_claimer>(log, next.upstream.service, settings.name + "/" + run);
        return { [this](const std::string& team, const std::string& key, monotonic_time deadline) {
                    return claims->claim(team, key, deadline);
                },
            [this](const claim_result& granted) { claims->release(granted); } };
    }

    // The offset of the record is the fencing number: a later process always has a higher one.
    std::uint64_t acquireFence()
    {
        const log_record record { makeRecordId(), newestRecordSchema,
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
        options.runId = settings.name + "/" + run;
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
        const auto began = monotonicNow();
        dispatcher.rejectNewRequests();
        frames->broadcast(load_answer { 0, dispatcher.load() });
        writeLog(log_level::Info, "draining", {});
        dispatcher.waitIdle();
        std::this_thread::sleep_until(began + shortestDrain);
        dispatcher.waitIdle();
        frames->finish(closeLimit);
        writeLog(log_level::Info, "drained", {});
    }

    side_settings settings;
    metric_registry metrics;
    span_exporter spans;
    io_thread_pool pool;
    // Unique to this process's run.
    const std::string run { makeRecordId() };
    log_client log;
    std::unique_ptr<key_claimer> claims;
    std::unique_ptr<engine_control> engine;
    request_dispatcher dispatcher;
    std::mutex framesMutex;
    std::shared_ptr<frame_server> sending;
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
