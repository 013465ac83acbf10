#pragma once

#include "Wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <vector>

namespace sagesaddle {

/// Size of the length field in front of each frame, in bytes.
inline constexpr std::size_t sizePrefixBytes = 4;
/// Largest frame that is sent or accepted, in bytes, without its size prefix.
inline constexpr std::size_t maxFrameBytes = 16 * 1024 * 1024;

/// \brief A frame that cannot be decoded, or a message that is too large for a frame.
class frame_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// \return the message as a size-prefixed frame, ready to be sent.
/// \throws frame_error if the frame would be larger than maxFrameBytes
std::vector<std::uint8_t> encodeFrame(const message& value);

/// Decodes one frame.
/// \param bytes a frame without its size prefix; the content may be arbitrary, and is validated
/// \throws frame_error if the bytes are not a valid frame of a known version
message decodeFrame(std::span<const std::uint8_t> bytes);

} // namespace sagesaddle
