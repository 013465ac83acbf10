#pragma once

#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Splits a byte stream into complete server-sent events.
///
/// Only complete events are released. The final event, `data: [DONE]`, is withheld until the answer was
/// validated, so that a stream that breaks off never looks complete.
///
/// No I/O and no clock; not thread-safe.
class sse_splitter {
public:
    /// Adds received bytes.
    /// \return the complete events to send now; may be empty
    std::string feed(std::string_view bytes);

    /// Call when the answer is complete and was validated.
    /// \return the bytes withheld so far
    std::string finish();

    /// \return the number of bytes that are withheld until the end of their event or of the answer.
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
};

} // namespace sagesaddle
