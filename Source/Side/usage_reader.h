#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace sagesaddle {

/// \brief Reads from an engine's answer, as it passes, how many tokens it used and whether a stream ended.
class usage_reader {
public:
    /// \param contentType of the answer
    explicit usage_reader(std::string_view contentType);

    /// Takes in the next piece of the body.
    void add(std::string_view bytes);

    /// \return whether the answer is an event stream.
    bool isEventStream() const { return m_isEventStream; }

    /// \return whether the event that ends a stream of an engine has passed.
    bool isTerminated() const;

    /// \return tokens used as the engine's `usage` says; 0 where it does not say.
    std::uint32_t tokensUsed() const;

private:
    bool m_isEventStream { false };
    bool m_isJson { false };
    bool m_overflowed { false };
    /// The end of a stream, or a whole JSON document.
    std::string m_kept;
};

} // namespace sagesaddle
