#pragma once

#include <cstdint>

namespace sagesaddle {

// Position of a record in the platform's store. The store may return from an older copy; offsets then go back
// and are given out again, in a new era. A position holds the era above the offset, so that positions of a
// later era are greater and positions of two eras are never equal. Without an era it is the offset.

/// Bits of a position that hold the offset.
inline constexpr unsigned storeOffsetBits = 40;

/// \return the position of an offset in an era.
constexpr std::uint64_t makeStorePosition(std::uint64_t era, std::uint64_t offset)
{
    return (era << storeOffsetBits) | offset;
}

/// \return the era of a position.
constexpr std::uint64_t eraOfPosition(std::uint64_t position)
{
    return position >> storeOffsetBits;
}

/// \return the offset of a position, as the store knows it.
constexpr std::uint64_t offsetOfPosition(std::uint64_t position)
{
    return position & ((std::uint64_t { 1 } << storeOffsetBits) - 1);
}

} // namespace sagesaddle
