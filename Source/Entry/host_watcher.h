#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Entry/periodic_task.h"
#include "Serve/http_client.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace sagesaddle {

/// Parses the platform's host list.
/// \return the names of the hosts that are leaving
/// \throws std::runtime_error if the text is not a valid host list
std::set<std::string> parseLeavingHosts(std::string_view text);

/// \brief Polls the platform's host list and reports each leaving host once.
///
/// The list lags behind. Therefore a host that is no longer listed as leaving is not reported as back: the
/// list may be older than the one before.
class host_watcher {
public:
    /// \param listAddress server of the host list
    /// \param period mean time between two polls
    /// \param onLeaving called on the polling thread with the name of the host
    host_watcher(
        address listAddress, milliseconds period, std::function<void(const std::string& host)> onLeaving);

private:
    void poll();

    const address m_listAddress;
    const std::function<void(const std::string& host)> m_onLeaving;
    http_client m_client;
    std::set<std::string> m_reportedHosts;
    bool m_isListUnreachable { false };
    periodic_task m_poller;
};

} // namespace sagesaddle
