#pragma once

#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Cuts a stream of server-sent events into whole events; pure.
///
/// Only whole events are passed on, and the last one, `data: [DONE]`, is held back until the answer
/// was checked: a stream that breaks never looks complete.
class sse_splitter {
public:
    /// Takes bytes as they came.
    /// \return the whole events that may be passed on now; may be empty
    std::string feed(std::string_view bytes);

    /// The answer is whole.
    /// \return what was held back
    std::string finish();

    /// \return bytes that wait for the end of their event or of the answer.
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
};

} // namespace sagesaddle
