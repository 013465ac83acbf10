#include "Agree/peer_rotation.h"
#include "Wire/frame_codec.h"

#include <doctest/doctest.h>
#include <map>

using namespace sagesaddle;

namespace {

// Returns how many requests each peer gets in ten seconds.
std::map<std::string, int> requestsInTenSeconds(std::size_t peers, bool isLogUnreachable)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < peers; ++index)
        names.push_back("entry-" + std::to_string(index));
    peer_rotation rotation;
    std::map<std::string, int> requests;
    for (std::int64_t ms = 0; ms < 10000; ms += 50)
        for (const std::string& name :
            rotation.takeDue(monotonic_time {} + milliseconds(1000000 + ms), names, isLogUnreachable))
            ++requests[name];
    return requests;
}

} // namespace

TEST_CASE("peer rotation: few peers are asked every second, and more often while the log is unreachable")
{
    CHECK(requestsInTenSeconds(2, false)
        == std::map<std::string, int> { { "entry-0", 10 }, { "entry-1", 10 } });
    CHECK(requestsInTenSeconds(2, true).at("entry-0") == 20);
}

TEST_CASE("peer rotation: many peers are asked in turn, within the bound")
{
    const auto requests = requestsInTenSeconds(30, true);
    CHECK(requests.size() == 30);
    int total = 0;
    for (const auto& [name, count] : requests)
        total += count;
    CHECK(total <= 11 * static_cast<int>(peer_rotation::maxRequestsPerSecond));
}

TEST_CASE("peer rotation: requests, answers and the log's reads stay under 4 KB a second at the maximum rate")
{
    constexpr std::size_t budget = 4096;
    constexpr std::size_t packetHeaders = 66;
    constexpr std::size_t logReadsPerSecond = 2;
    constexpr std::size_t logReadBytes = 600;
    const std::size_t request = encodeFrame(tail_request { 1U << 30U, 1U << 30U }).size();
    const std::size_t answer
        = encodeFrame(tail_answer { 1U << 30U, 1U << 30U, 1U << 30U, 1000, true, {}, {}, 1U << 30U }).size();
    const std::size_t exchange = request + answer + 2 * packetHeaders;
    MESSAGE("a request has " << request << " bytes, an answer " << answer);
    CHECK(2 * peer_rotation::maxRequestsPerSecond * exchange + logReadsPerSecond * logReadBytes <= budget);
}
