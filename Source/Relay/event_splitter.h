#pragma once

#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Cuts a stream of server-sent events into whole ones and follows their ids; pure.
///
/// A stream that is resumed on another upstream must go on right behind a whole event.
class event_splitter {
public:
    /// Takes in bytes.
    /// \return the whole events that are complete now, blank lines included
    std::string feed(std::string_view bytes);

    /// \return the id of the last whole event that had one.
    const std::string& lastEventId() const { return m_lastEventId; }

    /// Drops an event that was cut off.
    void dropPartial() { m_partial.clear(); }
    bool hasPartial() const { return !m_partial.empty(); }

private:
    void learnId(std::string_view events);

    std::string m_partial;
    std::string m_lastEventId;
};

} // namespace sagesaddle
