#pragma once

#include "Wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <vector>

namespace sagesaddle {

/// Largest frame that is sent or accepted, in bytes.
inline constexpr std::size_t sizePrefixBytes = 4;
inline constexpr std::size_t maxFrameBytes = 16 * 1024 * 1024;

/// \brief A frame that cannot be read.
class frame_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// \return the message as a size-prefixed frame, ready to be sent.
/// \throws frame_error where it would be longer than maxFrameBytes
std::vector<std::uint8_t> encodeFrame(const message& value);

/// Reads one frame.
/// \param bytes a frame without its size prefix, of any content
/// \throws frame_error where the bytes are no valid frame of a known version
message decodeFrame(std::span<const std::uint8_t> bytes);

} // namespace sagesaddle
