#include "Wire/frame_codec.h"
#include "Wire/message_generators.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr std::size_t prefixBytes = 4;

// Decodes arbitrary bytes: they must either be rejected or give a message that can be encoded again.
void decodeSafely(const std::vector<std::uint8_t>& bytes)
{
    try {
        static_cast<void>(encodeFrame(decodeFrame(bytes)));
    } catch (const frame_error& error) {
        RC_ASSERT(std::string(error.what()).find("invalid frame") != std::string::npos);
    }
}

} // namespace

TEST_CASE("frame fuzz: arbitrary bytes are decoded or rejected")
{
    CHECK(rc::check([](const std::vector<std::uint8_t>& bytes) { decodeSafely(bytes); }));
}

TEST_CASE("frame fuzz: valid frames with changed bytes are decoded or rejected")
{
    CHECK(rc::check([] {
        const std::vector<std::uint8_t> frame = encodeFrame(*testing::messageGen());
        std::vector<std::uint8_t> bytes(frame.begin() + prefixBytes, frame.end());
        const auto changes = *rc::gen::inRange(1, 9);
        for (int i = 0; i < changes; ++i)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
        decodeSafely(bytes);
    }));
}

TEST_CASE("frame fuzz: truncated frames are decoded or rejected")
{
    CHECK(rc::check([] {
        const std::vector<std::uint8_t> frame = encodeFrame(*testing::messageGen());
        const auto size = *rc::gen::inRange<std::size_t>(0, frame.size() - prefixBytes);
        decodeSafely({ frame.begin() + prefixBytes, frame.begin() + prefixBytes + size });
    }));
}
