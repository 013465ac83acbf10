#include "Gateway/settings_watch.h"

#include <sys/stat.h>

namespace sagesaddle {

namespace {

// Between two looks; a change is in force well before a process that is asked to stop then must be gone.
constexpr milliseconds lookPause { 1000 };
constexpr std::int64_t nanosecondsPerSecond = 1000000000;

} // namespace

settings_watch::settings_watch(event_loop& loop, std::string file, std::function<void()> onChange)
    : m_file(std::move(file))
    , m_onChange(std::move(onChange))
    , m_seen(stateNow())
    , m_timer(loop, [this] { check(); })
{
    m_timer.start(lookPause);
}

std::optional<settings_watch::file_state> settings_watch::stateNow() const
{
    struct stat found { };
    if (::stat(m_file.c_str(), &found) != 0)
        return std::nullopt;
    return file_state { found.st_mtim.tv_sec * nanosecondsPerSecond + found.st_mtim.tv_nsec, found.st_ino,
        found.st_size };
}

void settings_watch::check()
{
    m_timer.start(lookPause);
    const auto state = stateNow();
    if (!state || state == m_seen)
        return;
    m_seen = state;
    m_onChange();
}

} // namespace sagesaddle
