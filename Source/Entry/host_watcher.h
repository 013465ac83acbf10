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

/// Reads the platform's host list.
/// \return the names of the hosts that are leaving
/// \throws std::runtime_error where the text is no host list
std::set<std::string> parseLeavingHosts(std::string_view text);

/// \brief Polls the platform's lagging host list and tells of each leaving host once.
///
/// A host that the list no longer calls leaving is not told of: an older list must not bring it back.
class host_watcher {
public:
    host_watcher(address list, milliseconds period, std::function<void(const std::string& host)> onLeaving);

private:
    void poll();

    const address m_list;
    const std::function<void(const std::string& host)> m_onLeaving;
    http_client m_client;
    std::set<std::string> m_told;
    bool m_away { false };
    periodic_task m_poller;
};

} // namespace sagesaddle
