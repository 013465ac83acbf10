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

/// \brief Sends the answer to one caller, such that an incomplete answer never looks complete.
///
/// An answer that is not an event stream is buffered until it is complete. If the upstream breaks it off,
/// nothing was sent yet and the caller gets a refusal instead. An answer longer than the buffer limit is sent
/// in chunks; if it breaks off, the connection is closed without the final chunk.
///
/// Event streams are sent event by event (see sse_splitter); one that breaks off ends with an error event.
///
/// Not thread-safe.
class caller_answer {
public:
    /// \param call must outlive this object
    /// \param trace trace of the request, returned to the caller in headers
    /// \param maxHeldBytes size in bytes up to which an answer is buffered
    caller_answer(http_call& call, const trace_context& trace, std::size_t maxHeldBytes);

    /// Call for the status and headers of an answer. Sends nothing yet.
    void onHead(const answer_head& head);

    /// Call for each part of the body.
    /// \return false if the caller closed its connection
    /// \throws request_refused with status 502 if an event is too long to buffer
    bool onData(std::string_view bytes);

    /// Call when the answer is complete and was validated; sends what is still buffered.
    /// \return false if the caller closed its connection
    bool finish();

    /// Discards the buffered answer before another attempt. Must be called only while hasStarted() is false.
    void reset();

    /// Answers with a problem document. If an answer was already started, closes the connection instead,
    /// after an error event if it is an event stream.
    void refuse(const refusal& why);

    /// \return whether any byte of an answer was sent to the caller.
    bool hasStarted() const { return m_started; }

    /// \return the HTTP status that was sent to the caller; 0 before that.
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
