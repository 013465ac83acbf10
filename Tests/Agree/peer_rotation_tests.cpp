#include "Agree/peer_rotation.h"

#include <doctest/doctest.h>
#include <map>

using namespace sagesaddle;

namespace {

// How often each peer is asked in ten seconds.
std::map<std::string, int> asksInTenSeconds(std::size_t peers, bool logAway)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < peers; ++index)
        names.push_back("entry-" + std::to_string(index));
    peer_rotation rotation;
    std::map<std::string, int> asks;
    for (std::int64_t ms = 0; ms < 10000; ms += 50)
        for (const std::string& name :
            rotation.due(monotonic_time {} + milliseconds(1000000 + ms), names, logAway))
            ++asks[name];
    return asks;
}

} // namespace

TEST_CASE("peer rotation: few peers are asked every second, and more often while the log is away")
{
    CHECK(asksInTenSeconds(2, false) == std::map<std::string, int> { { "entry-0", 10 }, { "entry-1", 10 } });
    CHECK(asksInTenSeconds(2, true).at("entry-0") == 40);
}

TEST_CASE("peer rotation: many peers are asked in turn, within the bound")
{
    const auto asks = asksInTenSeconds(50, true);
    CHECK(asks.size() == 50);
    int total = 0;
    for (const auto& [name, count] : asks)
        total += count;
    CHECK(total <= 11 * static_cast<int>(peer_rotation::mostAsksPerSecond));
}
