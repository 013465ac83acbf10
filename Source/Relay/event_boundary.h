#pragma once

#include <string_view>

namespace sagesaddle {

/// \brief Tells whether a stream of server-sent events ended within an event, without keeping its bytes. No
/// I/O and no clock; not thread-safe.
class event_boundary {
public:
    /// \brief Notes the next bytes of the stream.
    void feed(std::string_view bytes)
    {
        for (const char byte : bytes) {
            if (byte == '\r')
                continue;
            // A blank line ends an event.
            if (byte == '\n')
                m_isInside = m_isInside && !m_isLineEmpty;
            else
                m_isInside = true;
            m_isLineEmpty = byte == '\n';
        }
    }

    /// \return whether an event has begun and is not complete.
    bool isInside() const { return m_isInside; }

    /// \brief Begins anew, for the stream of another upstream.
    void reset() { *this = {}; }

private:
    bool m_isInside { false };
    bool m_isLineEmpty { true };
};

} // namespace sagesaddle
