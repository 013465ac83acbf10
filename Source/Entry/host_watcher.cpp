#include "Entry/host_watcher.h"

#include "Serve/http_client.h"
#include "Watch/log.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagesaddle {

namespace {

constexpr milliseconds listTimeout { 2000 };

std::set<std::string> askLeavingHosts(http_client& client, const address& list)
{
    http_request request;
    request.server = list;
    request.target = "/v1/hosts";
    request.timeout = listTimeout;
    const http_response response = client.send(request);
    if (response.status != 200)
        throw std::runtime_error("the host list answered with status " + std::to_string(response.status));
    return parseLeavingHosts(response.body);
}

} // namespace

std::set<std::string> parseLeavingHosts(std::string_view text)
{
    std::set<std::string> leaving;
    try {
        const auto document = nlohmann::json::parse(text);
        for (const auto& host : document.at("hosts")) {
            if (host.at("state") == "leaving")
                leaving.insert(host.at("name").get<std::string>());
        }
    } catch (const nlohmann::json::exception& error) {
        throw std::runtime_error(std::string("the host list makes no sense: ") + error.what());
    }
    return leaving;
}

host_watcher::host_watcher(
    address list, milliseconds period, std::function<void(const std::string& host)> onLeaving)
    : m_list(std::move(list))
    , m_period(period)
    , m_onLeaving(std::move(onLeaving))
    , m_thread([this] { run(); })
{
}

host_watcher::~host_watcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stopped.notify_all();
    m_thread.join();
}

void host_watcher::run()
{
    http_client client;
    std::set<std::string> told;
    bool away = false;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        try {
            for (const auto& host : askLeavingHosts(client, m_list)) {
                if (told.insert(host).second)
                    m_onLeaving(host);
            }
            away = false;
        } catch (const std::runtime_error& error) {
            if (!std::exchange(away, true))
                writeLog(log_level::Warning, "the host list cannot be read", { { "error", error.what() } });
        }
        lock.lock();
        m_stopped.wait_for(lock, m_period, [this] { return m_stopping; });
    }
}

} // namespace sagesaddle
