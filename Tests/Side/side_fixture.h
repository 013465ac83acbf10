#pragma once

#include "Fakes/fake_engine.h"
#include "Fakes/fake_log.h"
#include "Fakes/fake_service.h"
#include "Record/side_view.h"
#include "Serve/http_server.h"
#include "Side/side_process.h"
#include "Support/calls.h"
#include "Support/free_port.h"
#include "Support/until.h"
#include "Wire/frame_client.h"
#include "Wire/io_thread_pool.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle::testing {

inline constexpr std::chrono::seconds waitTimeout { 30 };

/// \brief The frames that an entry received for one request.
struct received_answer {
    std::optional<answer_head> head;
    std::string body;
    std::uint32_t pieces { 0 };
    std::optional<answer_end> end;
    std::optional<refusal_message> refusal;

    bool isComplete() const { return end.has_value() || refusal.has_value(); }
};

/// \brief Connects to a side process as an entry does.
class fake_entry {
public:
    explicit fake_entry(const address& side)
        : m_client(m_ioThreads, side,
            { .onMessage = [this](const message& value) { receive(value); },
                .onUp = [this] { update([&] { m_up = true; }); },
                .onDown = [this] { update([&] { m_down = true; }); } })
    {
        wait([&] { return m_up; });
    }

    bool send(const message& value) { return m_client.send(value); }

    /// Waits until the request is answered or refused.
    received_answer answerTo(std::uint64_t id)
    {
        wait([&] { return m_answers[id].isComplete(); });
        const std::scoped_lock lock(m_mutex);
        return m_answers[id];
    }

    bool waitForBody(std::uint64_t id)
    {
        return wait([&] { return !m_answers[id].body.empty(); });
    }

    bool waitForDown()
    {
        return wait([&] { return m_down; });
    }

    /// Requests load reports until one satisfies the predicate.
    /// \return false if none did in time
    bool waitForLoad(const std::function<bool(const load_report&)>& predicate)
    {
        const auto end = monotonicNow() + waitTimeout;
        while (monotonicNow() < end) {
            m_client.send(load_ask { 1 });
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, std::chrono::milliseconds(10));
            if (m_load && predicate(*m_load))
                return true;
        }
        return false;
    }

private:
    void update(const std::function<void()>& change)
    {
        const std::scoped_lock lock(m_mutex);
        change();
        m_changed.notify_all();
    }

    bool wait(const std::function<bool()>& condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, waitTimeout, condition);
    }

    void receive(const message& value)
    {
        update([&] {
            if (const auto* head = std::get_if<answer_head>(&value))
                m_answers[head->id].head = *head;
            if (const auto* data = std::get_if<answer_data>(&value)) {
                m_answers[data->id].body += data->bytes;
                ++m_answers[data->id].pieces;
            }
            if (const auto* end = std::get_if<answer_end>(&value))
                m_answers[end->id].end = *end;
            if (const auto* refusal = std::get_if<refusal_message>(&value))
                m_answers[refusal->id].refusal = *refusal;
            if (const auto* load = std::get_if<load_answer>(&value))
                m_load = load->load;
        });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::uint64_t, received_answer> m_answers;
    std::optional<load_report> m_load;
    bool m_up { false };
    bool m_down { false };
    io_thread_pool m_ioThreads { 1 };
    frame_client m_client;
};

/// \brief An HTTP server on a free loopback port that runs a fake.
template <typename Fake> class fake_server {
public:
    template <typename... Arguments>
    explicit fake_server(Arguments&&... arguments)
        : fake(std::forward<Arguments>(arguments)...)
        , m_server({ .listen = listenAddress, .workers = 32 }, [this](http_call& call) { fake.handle(call); })
    {
    }

    const address listenAddress { freeAddress() };
    Fake fake;

private:
    http_server m_server;
};

/// \brief Adapts fake_log, whose handler also gets the address that was called, to fake_server.
struct fake_log_handler {
    void handle(http_call& call) { log.handle(call, {}); }

    fake_log log;
};

inline side_settings sideSettings(const address& target)
{
    side_settings settings;
    settings.name = "up-1";
    settings.frames = freeAddress();
    settings.target = target;
    settings.admin = freeAddress();
    settings.log = freeAddress();
    settings.orderSettlingTime = milliseconds(100);
    settings.reportPollInterval = milliseconds(20);
    return settings;
}

inline side_view engineView(std::uint32_t slots = 8)
{
    side_view view;
    view.offset = 1;
    view.upstream.name = "up-1";
    view.upstream.region = "r";
    view.upstream.zone = "a";
    view.upstream.side = { "127.0.0.1", 1 };
    view.upstream.target = { "127.0.0.1", 2 };
    view.upstream.memoryMb = 1000;
    view.upstream.slots = slots;
    for (const std::string name : { "small", "other", "third" })
        view.models[name] = { name, 400, "" };
    return view;
}

inline side_view serviceView()
{
    side_view view = engineView();
    view.upstream.kind = upstream_kind::Service;
    view.upstream.service = "ledger";
    view.upstream.memoryMb = 0;
    view.models.clear();
    return view;
}

inline request_message chatRequest(std::uint64_t id, const std::string& model = "small", bool stream = false)
{
    request_message request;
    request.id = id;
    request.team = "one";
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = nlohmann::json {
        { "model", model }, { "stream", stream }, { "max_tokens", 4 },
        { "messages", { { { "role", "user" }, { "content", "word " + std::to_string(id) } } } }
    }.dump();
    request.model = model;
    request.deadlineMs = 20000;
    request.stream = stream;
    request.idempotent = true;
    request.tokens = 8;
    return request;
}

inline fake_engine::options engineOptions(bool checksFencing)
{
    fake_engine::options options;
    options.memory.totalMb = 1000;
    options.memory.checksFencing = checksFencing;
    options.memory.preload = { "small=400" };
    return options;
}

/// \brief A side process with an entry and a fake upstream, with a fake log or with an unreachable one.
template <typename Fake> struct side_process_fixture {
    template <typename Options>
    side_process_fixture(const Options& options, const side_view& view, bool withLog)
        : upstream(options)
        , settings(sideSettings(upstream.listenAddress))
    {
        if (withLog)
            settings.log = log.listenAddress;
        start(view);
    }

    /// Starts a side process and sends it the view. A process that runs is stopped first, without a drain.
    void start(const side_view& view)
    {
        entry.reset();
        side.reset();
        side.emplace(settings);
        entry.emplace(settings.frames);
        entry->send(side_view_message { view.offset, formatSideView(view) });
    }

    /// Sends the request and waits until it is answered or refused.
    received_answer ask(const request_message& request)
    {
        entry->send(request);
        return entry->answerTo(request.id);
    }

    fake_server<Fake> upstream;
    fake_server<fake_log_handler> log;
    side_settings settings;
    std::optional<side_process> side;
    std::optional<fake_entry> entry;
};

/// \brief Fixture with a fake engine as the upstream, which has the model "small" loaded.
struct engine_side_fixture : side_process_fixture<fake_engine> {
    explicit engine_side_fixture(const side_view& view = engineView(), bool withLog = false)
        : side_process_fixture(engineOptions(view.upstream.checksFencing), view, withLog)
    {
    }
};

/// \brief Fixture with a fake plain service as the upstream.
struct service_side_fixture : side_process_fixture<fake_service> {
    explicit service_side_fixture(bool withLog)
        : side_process_fixture("ledger", serviceView(), withLog)
    {
    }

    std::uint64_t executions() const { return getJson(upstream.listenAddress, "/admin/executions")["total"]; }
};

} // namespace sagesaddle::testing
