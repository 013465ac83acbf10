#include "Wire/frame_codec.h"
#include "Wire/message_generators.h"

#include <cmath>
#include <doctest/doctest.h>
#include <limits>

using namespace sagesaddle;

namespace {

constexpr std::size_t prefixBytes = 4;

message roundTrip(const message& value)
{
    const std::vector<std::uint8_t> frame = encodeFrame(value);
    return decodeFrame(std::span(frame).subspan(prefixBytes));
}

request_message plainRequest()
{
    request_message request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    return request;
}

} // namespace

TEST_CASE("frame codec: decoding an encoded message gives the same message")
{
    CHECK(rc::check([] {
        const message value = *testing::messageGen();
        RC_ASSERT(roundTrip(value) == value);
    }));
}

TEST_CASE("frame codec: the size prefix is the length of the rest")
{
    const std::vector<std::uint8_t> frame = encodeFrame(cancel_message { 7 });
    const std::size_t size = frame[0] | frame[1] << 8 | frame[2] << 16 | frame[3] << 24;
    CHECK(size + prefixBytes == frame.size());
}

TEST_CASE("frame codec: a header, path or team with a line break is rejected")
{
    request_message request = plainRequest();
    request.headers = { { "x-note", "one\r\nauthorization: two" } };
    CHECK_THROWS_AS(roundTrip(request), frame_error);
    request = plainRequest();
    request.path = "/a\r\nx: y";
    CHECK_THROWS_AS(roundTrip(request), frame_error);
    request = plainRequest();
    request.team = "one\ntwo";
    CHECK_THROWS_AS(roundTrip(request), frame_error);
}

TEST_CASE("frame codec: negative and non-finite amounts are rejected")
{
    for (const double amount : { -1.0, std::nan(""), std::numeric_limits<double>::infinity() })
        CHECK_THROWS_AS(roundTrip(credit_ask { 1, "team", "entry", 2, amount, 0 }), frame_error);
}

TEST_CASE("frame codec: a status outside the range of HTTP is rejected")
{
    CHECK_THROWS_AS(roundTrip(answer_head { 1, 99, {} }), frame_error);
    CHECK_THROWS_AS(roundTrip(answer_head { 1, 600, {} }), frame_error);
}

TEST_CASE("frame codec: a message too large for a frame is not encoded")
{
    answer_data data;
    data.bytes.resize(maxFrameBytes);
    CHECK_THROWS_AS(encodeFrame(data), frame_error);
}
