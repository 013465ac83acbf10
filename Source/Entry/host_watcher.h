#pragma once

#include "Base/address.h"
#include "Base/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace sagesaddle {

/// Reads the platform's host list.
/// \return the names of the hosts that are leaving
/// \throws std::runtime_error where the text is no host list
std::set<std::string> parseLeavingHosts(std::string_view text);

/// \brief Polls the platform's lagging host list and tells of each leaving host once.
///
/// A host that left the list's leaving ones is not told of: an older list must not bring it back.
class host_watcher {
public:
    host_watcher(address list, milliseconds period, std::function<void(const std::string& host)> onLeaving);
    ~host_watcher();

    host_watcher(const host_watcher&) = delete;
    host_watcher& operator=(const host_watcher&) = delete;

private:
    void run();

    const address m_list;
    const milliseconds m_period;
    const std::function<void(const std::string& host)> m_onLeaving;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_stopping { false };
    std::thread m_thread;
};

} // namespace sagesaddle
