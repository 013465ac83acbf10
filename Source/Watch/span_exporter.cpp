#include "Watch/span_exporter.h"

#include "Base/overloaded.h"
#include "Serve/http_client.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace sagesaddle {

namespace {

constexpr int otlpKindServer = 2;
constexpr int otlpKindClient = 3;
constexpr int otlpStatusOk = 1;
constexpr int otlpStatusError = 2;
constexpr milliseconds collectorTimeout { 2000 };

using nlohmann::json;

json otlpValue(const log_value& value)
{
    return std::visit(overloaded {
                          [](const std::string& text) {
                              return json { { "stringValue", text } };
                          },
                          [](std::int64_t number) {
                              return json { { "intValue", std::to_string(number) } };
                          },
                          [](double number) {
                              return json { { "doubleValue", number } };
                          },
                          [](bool flag) {
                              return json { { "boolValue", flag } };
                          },
                      },
        value);
}

json otlpAttributes(const std::vector<log_field>& fields)
{
    json list = json::array();
    for (const auto& field : fields)
        list.push_back({ { "key", field.name }, { "value", otlpValue(field.value) } });
    return list;
}

std::string unixNanoseconds(wall_time time)
{
    return std::to_string(std::chrono::nanoseconds(time.time_since_epoch()).count());
}

json otlpSpan(const span& value)
{
    return {
        { "traceId", value.context.traceId },
        { "spanId", value.context.spanId },
        { "parentSpanId", value.parentSpanId },
        { "name", value.name },
        { "kind", value.kind == span_kind::Server ? otlpKindServer : otlpKindClient },
        { "startTimeUnixNano", unixNanoseconds(value.start) },
        { "endTimeUnixNano", unixNanoseconds(value.end) },
        { "attributes", otlpAttributes(value.attributes) },
        { "status", { { "code", value.failed ? otlpStatusError : otlpStatusOk } } },
    };
}

} // namespace

std::string formatOtlp(
    const std::string& service, const std::string& instance, const std::vector<span>& spans)
{
    json list = json::array();
    for (const auto& value : spans)
        list.push_back(otlpSpan(value));
    const std::vector<log_field> resource { { "service.name", service },
        { "service.instance.id", instance } };
    const json scope { { "scope", { { "name", "sagesaddle" } } }, { "spans", list } };
    const json document { { "resourceSpans",
        json::array({ { { "resource", { { "attributes", otlpAttributes(resource) } } },
            { "scopeSpans", json::array({ scope }) } } }) } };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

struct span_exporter::impl {
    options settings;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<span> waiting;
    bool stopping { false };
    std::atomic<std::uint64_t> dropped { 0 };
    std::thread thread;

    std::vector<span> takeBatch(std::unique_lock<std::mutex>& lock)
    {
        changed.wait_for(
            lock, settings.period, [this] { return stopping || waiting.size() >= settings.batch; });
        std::vector<span> batch;
        while (!waiting.empty() && batch.size() < settings.batch) {
            batch.push_back(std::move(waiting.front()));
            waiting.pop_front();
        }
        return batch;
    }

    void send(http_client& client, const std::vector<span>& batch)
    {
        http_request request;
        request.method = "POST";
        request.server = *settings.collector;
        request.target = "/v1/traces";
        request.headers = { { "Content-Type", "application/json" } };
        request.body = formatOtlp(settings.service, settings.instance, batch);
        request.timeout = collectorTimeout;
        try {
            if (client.send(request).status / 100 == 2)
                return;
        } catch (const http_error&) {
            // The spans are counted as dropped below. They are not sent again: an unreachable collector must
            // not slow down requests.
        }
        dropped += batch.size();
    }

    void run()
    {
        http_client client;
        std::unique_lock lock(mutex);
        while (true) {
            const std::vector<span> batch = takeBatch(lock);
            const bool last = stopping;
            lock.unlock();
            if (!batch.empty())
                send(client, batch);
            lock.lock();
            if (last)
                break;
        }
        dropped += waiting.size();
    }
};

span_exporter::span_exporter(options settings)
    : m_impl(std::make_unique<impl>())
{
    m_impl->settings = std::move(settings);
    if (m_impl->settings.collector)
        m_impl->thread = std::thread([this] { m_impl->run(); });
}

span_exporter::~span_exporter()
{
    if (!m_impl->thread.joinable())
        return;
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->stopping = true;
    }
    m_impl->changed.notify_all();
    m_impl->thread.join();
}

void span_exporter::record(span value)
{
    if (!m_impl->settings.collector || !value.context.sampled)
        return;
    const std::lock_guard lock(m_impl->mutex);
    if (m_impl->waiting.size() >= m_impl->settings.maxWaiting) {
        ++m_impl->dropped;
        return;
    }
    m_impl->waiting.push_back(std::move(value));
    if (m_impl->waiting.size() >= m_impl->settings.batch)
        m_impl->changed.notify_one();
}

std::uint64_t span_exporter::dropped() const
{
    return m_impl->dropped;
}

} // namespace sagesaddle
