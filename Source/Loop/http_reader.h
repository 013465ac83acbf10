#pragma once

#include "Loop/http_text.h"

#include <cstddef>
#include <functional>
#include <http_parser.h>

namespace sagesaddle {

/// \brief Reads HTTP/1.1 messages one at a time, strictly.
///
/// Refused are: doubled or contradicting lengths, a transfer coding other than `chunked`, folded fields,
/// names that are no tokens, and heads over the bound. Reading stops right behind a message, so that bytes
/// after it belong to the next one.
class http_reader {
public:
    enum class message {
        Requests,
        Answers,
    };

    struct handlers {
        std::function<void(http_head)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onEnd;
    };

    /// \param maxHeadBytes greatest size of a message's head
    http_reader(message kind, std::size_t maxHeadBytes, handlers value);

    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    /// Reads up to the end of one message.
    /// \return the bytes taken
    std::size_t feed(std::string_view bytes);

    /// Tells that the connection ended in order.
    /// \return whether that ended a message that had no length of its own
    bool feedEnd();

    /// The next answer has no body whatever its head says, as after a HEAD request.
    void expectNoBody(bool value) { m_withoutBody = value; }

    bool failed() const { return m_failed; }
    /// \return whether the failure was the bound of the head's size.
    bool isHeadTooLarge() const { return m_headTooLarge; }
    /// \return whether a message has begun and not ended.
    bool isInMessage() const { return m_inMessage; }

private:
    static const http_parser_settings& callbacks();
    static http_reader& of(http_parser* parser) { return *static_cast<http_reader*>(parser->data); }
    int onHeadersComplete();
    int onMessageComplete();
    bool countHead(std::size_t bytes);
    bool isSound() const;

    handlers m_handlers;
    std::size_t m_maxHeadBytes;
    http_parser m_parser {};
    http_head m_head;
    std::size_t m_headBytes { 0 };
    bool m_lastWasValue { true };
    bool m_withoutBody { false };
    bool m_inMessage { false };
    bool m_ended { false };
    bool m_failed { false };
    bool m_headTooLarge { false };
};

} // namespace sagesaddle
