#pragma once

#include "Loop/http_text.h"

#include <cstddef>
#include <functional>
#include <http_parser.h>

namespace sagesaddle {

/// \brief Strict reader of HTTP/1.1 messages, one at a time.
///
/// Rejects repeated or contradicting lengths, transfer codings other than `chunked`, folded fields, field
/// names that are no tokens, status lines without a status of three digits from 100 to 599, and heads over
/// the size limit. Reading stops at the end of a message; the bytes after it belong to the next one.
class http_reader {
public:
    /// \brief The kind of messages that a reader reads.
    enum class message {
        Requests,
        Answers,
    };

    /// \brief Handlers of the parts of a message.
    struct handlers {
        /// The head is complete. Not called for interim answers (status 1xx).
        std::function<void(http_head)> onHead;
        /// Part of the body, without the framing of chunks.
        std::function<void(std::string_view)> onBody;
        /// The message is complete.
        std::function<void()> onEnd;
    };

    /// \param maxHeadBytes largest accepted size of a message's head: target, field names and field values
    http_reader(message kind, std::size_t maxHeadBytes, handlers value);

    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    /// Reads no further than the end of one message.
    /// \return the number of bytes read
    std::size_t feed(std::string_view bytes);

    /// Must be called when the peer has closed the connection without an error.
    /// \return whether that completed a message, one without a length
    bool feedEnd();

    /// \param value whether answers from now on have no body whatever their heads say, as after a HEAD
    /// request
    void expectNoBody(bool value) { m_expectsNoBody = value; }

    /// \return the memory that an unfinished head occupies, in bytes.
    std::size_t heldBytes() const
    {
        // Texts have up to twice their size while they grow.
        const std::size_t texts = m_head.target.empty() ? 0 : 2 * m_headBytes;
        return texts + m_head.fields.capacity() * sizeof(http_field);
    }

    /// Releases an unfinished message; the reader then reads no more. Must not be called by a handler.
    void abandon();

    /// \return whether the bytes were no acceptable message; the reader then reads no more.
    bool failed() const { return m_failed; }
    /// \return whether reading failed because the head exceeds its size limit.
    bool isHeadTooLarge() const { return m_isHeadTooLarge; }
    /// \return whether a message has begun and is not complete.
    bool isInMessage() const { return m_isInMessage; }

private:
    static const http_parser_settings& callbacks();
    static http_reader& readerOf(http_parser* parser) { return *static_cast<http_reader*>(parser->data); }
    int onHeadersComplete();
    int onMessageComplete();
    bool countHeadBytes(std::size_t bytes);
    bool isHeadValid() const;
    /// Collects the beginning of an answer's status line, which the parser reads too leniently.
    /// \return false once that is no valid status line
    bool checkStatusLine(std::string_view bytes);

    handlers m_handlers;
    std::size_t m_maxHeadBytes;
    http_parser m_parser {};
    http_head m_head;
    /// The first bytes of the answer that is being read.
    std::string m_statusLine;
    int m_interimAnswers { 0 };
    std::size_t m_headBytes { 0 };
    // Whether the parser last reported a part of a field value, so that a field name begins a new field.
    bool m_lastWasValue { true };
    bool m_expectsNoBody { false };
    bool m_isInMessage { false };
    bool m_isInterim { false };
    bool m_isComplete { false };
    bool m_failed { false };
    bool m_isHeadTooLarge { false };
};

} // namespace sagesaddle
