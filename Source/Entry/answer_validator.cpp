#include "Entry/answer_validator.h"

namespace sagesaddle {

std::string answer_validator::onHead(const answer_head& head)
{
    if (m_headSeen)
        return "the head of the answer came twice";
    m_headSeen = true;
    if (head.status < 200 || head.status > 599)
        return "the status " + std::to_string(head.status) + " is none of an answer";
    return {};
}

std::string answer_validator::onData(const answer_data& data)
{
    if (!m_headSeen)
        return "data came before the head of the answer";
    if (data.sequence != m_frames)
        return "frame " + std::to_string(data.sequence) + " came where " + std::to_string(m_frames)
            + " was due";
    ++m_frames;
    m_bytes += data.bytes.size();
    return {};
}

std::string answer_validator::onEnd(const answer_end& end) const
{
    if (!m_headSeen)
        return "the answer ended before its head";
    if (end.frames != m_frames || end.bytes != m_bytes)
        return "the answer has " + std::to_string(end.frames) + " frames with " + std::to_string(end.bytes)
            + " bytes, of which " + std::to_string(m_frames) + " with " + std::to_string(m_bytes) + " came";
    return {};
}

} // namespace sagesaddle
