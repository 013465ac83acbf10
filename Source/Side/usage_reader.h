#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Extracts from an engine's answer, while it is passed on, the tokens used and whether a stream is
/// complete.
class usage_reader {
public:
    /// \param contentType Content-Type of the answer; only event streams and JSON documents are read
    explicit usage_reader(std::string_view contentType);

    /// Reads the next part of the body, which may be split anywhere.
    void add(std::string_view bytes);

    /// \return whether the answer is an event stream.
    bool isEventStream() const { return m_isEventStream; }

    /// \return whether the event `[DONE]`, which ends the stream of an engine, has been read.
    bool isTerminated() const;

    /// \return the prompt and completion tokens in the newest `usage` of the answer; 0 if there is none or
    ///         a JSON document is larger than 4 MiB.
    std::uint32_t tokensUsed() const;

private:
    bool m_isEventStream { false };
    bool m_isJson { false };
    /// The JSON document is too large to be kept.
    bool m_overflowed { false };
    /// The last part of a stream, or the whole JSON document.
    std::string m_buffer;
};

} // namespace sagesaddle
