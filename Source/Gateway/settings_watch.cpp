#include "Gateway/settings_watch.h"

#include <sys/stat.h>

namespace sagesaddle {

namespace {

// Time between two checks. A change takes effect well before a process that is told to stop right after it
// must exit.
constexpr milliseconds checkInterval { 1000 };
constexpr std::int64_t nanosecondsPerSecond = 1000000000;

} // namespace

settings_watch::settings_watch(event_loop& loop, std::string file, std::function<void()> onChange)
    : m_file(std::move(file))
    , m_onChange(std::move(onChange))
    , m_lastState(readState())
    , m_timer(loop, [this] { check(); })
{
    m_timer.start(checkInterval);
}

std::optional<settings_watch::file_state> settings_watch::readState() const
{
    struct stat found { };
    if (::stat(m_file.c_str(), &found) != 0)
        return std::nullopt;
    return file_state { found.st_mtim.tv_sec * nanosecondsPerSecond + found.st_mtim.tv_nsec, found.st_ino,
        found.st_size };
}

void settings_watch::check()
{
    m_timer.start(checkInterval);
    const auto state = readState();
    if (!state || state == m_lastState)
        return;
    m_lastState = state;
    m_onChange();
}

} // namespace sagesaddle
