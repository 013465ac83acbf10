#pragma once

#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Splits a stream of server-sent events into complete events and tracks the last event id.
///
/// When a stream is resumed on another upstream, it must continue after a complete event. No I/O and no
/// clock; not thread-safe.
class event_splitter {
public:
    /// \brief Appends the next bytes of the stream.
    /// \return the events that are complete now, including their blank lines
    std::string feed(std::string_view bytes);

    /// \return the id of the last complete event that had one; empty if none had.
    const std::string& lastEventId() const { return m_lastEventId; }

    /// \brief Discards an incomplete event, because its upstream's stream ended.
    void dropPartial() { m_partial.clear(); }
    /// \return whether an event has begun and is not complete.
    bool hasPartial() const { return !m_partial.empty(); }

private:
    void updateLastEventId(std::string_view events);

    std::string m_partial;
    std::string m_lastEventId;
};

} // namespace sagesaddle
