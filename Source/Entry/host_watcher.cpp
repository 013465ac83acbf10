#include "Entry/host_watcher.h"

#include "Watch/log.h"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace sagesaddle {

namespace {

constexpr milliseconds fetchTimeout { 2000 };

std::set<std::string> fetchLeavingHosts(http_client& client, const address& listAddress)
{
    http_request request;
    request.server = listAddress;
    request.target = "/v1/hosts";
    request.timeout = fetchTimeout;
    const http_response response = client.send(request);
    if (response.status != 200)
        throw std::runtime_error(
            "fetching the host list failed: expected status 200, got " + std::to_string(response.status));
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
        throw std::runtime_error(std::string("the host list cannot be parsed: ") + error.what());
    }
    return leaving;
}

host_watcher::host_watcher(
    address listAddress, milliseconds period, std::function<void(const std::string& host)> onLeaving)
    : m_listAddress(std::move(listAddress))
    , m_onLeaving(std::move(onLeaving))
    , m_poller(period, [this] { poll(); })
{
}

void host_watcher::poll()
{
    try {
        for (const auto& host : fetchLeavingHosts(m_client, m_listAddress)) {
            if (m_reportedHosts.insert(host).second)
                m_onLeaving(host);
        }
        m_isListUnreachable = false;
    } catch (const std::runtime_error& error) {
        if (!std::exchange(m_isListUnreachable, true))
            writeLog(log_level::Warning, "the host list cannot be read; polling goes on",
                { { "error", error.what() } });
    }
}

} // namespace sagesaddle
