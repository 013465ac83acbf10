#include "Side/engine_control.h"

#include "Serve/http_client.h"
#include "Watch/log.h"
#include "Watch/metric_registry.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace sagesaddle {

struct engine_control::impl {
    void run()
    {
        http_client client;
        std::unique_lock lock(mutex);
        while (!stopping) {
            lock.unlock();
            poll(client);
            lock.lock();
            wake.wait_for(lock, settings.reportPeriod, [this] { return stopping; });
        }
    }

    void poll(http_client& client)
    {
        http_request request;
        request.server = settings.target;
        request.target = "/control/report";
        request.timeout = milliseconds(1000);
        try {
            const auto document = nlohmann::json::parse(client.send(request).body);
            std::vector<std::string> models;
            for (const auto& model : document.at("models")) {
                if (model.at("state") == "loaded")
                    models.push_back(model.at("name"));
            }
            const std::scoped_lock lock(mutex);
            current.residentModels = models;
            current.freeMemoryMb = document.at("memory_total_mb").get<std::uint64_t>()
                - document.at("memory_used_mb").get<std::uint64_t>();
            lastReport = std::chrono::steady_clock::now() - milliseconds(document.at("age_ms").get<int>());
        } catch (const std::exception& error) {
            writeLog(log_level::Warning, "cannot read the engine's report", { { "error", error.what() } });
            return;
        }
        onChange();
    }

    options settings;
    metric_registry& metrics;
    std::function<void()> onChange;
    mutable std::mutex mutex;
    std::condition_variable wake;
    engine_status current;
    monotonic_time lastReport;
    bool stopping { false };
    std::thread thread;
};

engine_control::engine_control(options settings, metric_registry& metrics, std::function<void()> onChange)
    : m_impl(
        new impl { .settings = std::move(settings), .metrics = metrics, .onChange = std::move(onChange) })
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
    if (m_impl->thread.joinable())
        m_impl->thread.join();
}

void engine_control::setView(const side_view&) { }

model_readiness engine_control::request(const std::string& model, monotonic_time)
{
    const std::scoped_lock lock(m_impl->mutex);
    const auto& resident = m_impl->current.residentModels;
    return std::find(resident.begin(), resident.end(), model) != resident.end() ? model_readiness::Ready
                                                                                : model_readiness::NoOrders;
}

milliseconds engine_control::expectedLoad(const std::string&) const
{
    return milliseconds(200);
}

void engine_control::beginUse(const std::string&) { }

void engine_control::endUse(const std::string&, monotonic_time) { }

void engine_control::noteNotLoaded(const std::string&) { }

engine_status engine_control::status(monotonic_time now) const
{
    const std::scoped_lock lock(m_impl->mutex);
    engine_status result = m_impl->current;
    result.reportAge = std::chrono::duration_cast<milliseconds>(now - m_impl->lastReport);
    return result;
}

} // namespace sagesaddle
