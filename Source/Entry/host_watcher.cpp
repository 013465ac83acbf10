#include "Entry/host_watcher.h"

#include "Watch/log.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

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
    , m_onLeaving(std::move(onLeaving))
    , m_poller(period, [this] { poll(); })
{
}

void host_watcher::poll()
{
    try {
        for (const auto& host : askLeavingHosts(m_client, m_list)) {
            if (m_told.insert(host).second)
                m_onLeaving(host);
        }
        m_away = false;
    } catch (const std::runtime_error& error) {
        if (!std::exchange(m_away, true))
            writeLog(log_level::Warning, "the host list cannot be read", { { "error", error.what() } });
    }
}

} // namespace sagesaddle
