#pragma once

#include "Entry/refusal.h"
#include "Entry/sse_splitter.h"
#include "Serve/http_server.h"
#include "Watch/trace_context.h"
#include "Wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief The way back to one caller: an answer is sent whole, or as a stream that cannot look complete.
///
/// A plain answer is held until it is whole, so that a break before its end becomes a truthful
/// refusal. One longer than the limit is sent in chunks, and broken off without an end if it breaks.
class caller_answer {
public:
    /// \param maxHeldBytes most of a plain answer that is held
    caller_answer(http_call& call, const trace_context& trace, std::size_t maxHeldBytes);

    void onHead(const answer_head& head);

    /// \return false where the caller is gone.
    bool onData(std::string_view bytes);

    /// The answer is whole.
    /// \return false where the caller is gone
    bool finish();

    /// Forgets what was held of an answer, before another attempt. Only while nothing was sent.
    void reset();

    /// Ends with a problem document, or with an error event where a stream was begun.
    void refuse(const refusal& why);

    /// \return whether any byte of an answer went to the caller.
    bool hasStarted() const { return m_started; }

    /// \return the status that the caller got, 0 before it got any.
    std::uint16_t status() const { return m_status; }

private:
    bool start();
    bool sendEvents(const std::string& events);

    http_call& m_call;
    const trace_context m_trace;
    const std::size_t m_maxHeldBytes;
    std::uint16_t m_headStatus { 0 };
    http_call::header_list m_headers;
    bool m_isEventStream { false };
    bool m_started { false };
    std::uint16_t m_status { 0 };
    std::string m_heldBody;
    sse_splitter m_eventSplitter;
};

} // namespace sagesaddle
