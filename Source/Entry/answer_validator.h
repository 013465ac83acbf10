#pragma once

#include "Wire/messages.h"

#include <cstdint>
#include <string>

namespace sagesaddle {

/// \brief Checks that an answer's frames come whole and in order; pure.
///
/// Each call returns what is wrong, or an empty text.
class answer_validator {
public:
    std::string onHead(const answer_head& head);
    std::string onData(const answer_data& data);
    std::string onEnd(const answer_end& end) const;

private:
    bool m_headSeen { false };
    std::uint32_t m_frames { 0 };
    std::uint64_t m_bytes { 0 };
};

} // namespace sagesaddle
