#pragma once

#include "Wire/messages.h"

#include <cstdint>
#include <string>

namespace sagesaddle {

/// \brief Checks that the frames of one answer are complete and in order.
///
/// Each call returns a description of the error, or an empty string if the frame is valid. An error goes into
/// the refusal that the caller receives.
///
/// No I/O and no clock; not thread-safe.
class answer_validator {
public:
    /// Call for the status and headers, which must come first and once.
    std::string onHead(const answer_head& head);
    /// Call for each part of the body; the sequence numbers must count up from 0.
    std::string onData(const answer_data& data);
    /// Call for the end, whose totals must agree with the frames and bytes received.
    std::string onEnd(const answer_end& end) const;

private:
    bool m_headSeen { false };
    std::uint32_t m_frames { 0 };
    std::uint64_t m_bytes { 0 };
};

} // namespace sagesaddle
