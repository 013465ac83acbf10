#include "Route/load_wait.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

constexpr unloaded_model_request quickLoad { milliseconds(1600), milliseconds(12000), milliseconds(0), 0 };

} // namespace

TEST_CASE("load wait: a request waits for a load that ends within a third of its time, and no longer")
{
    CHECK(mayWaitForLoad(quickLoad));
    auto later = quickLoad;
    later.waitedFor = milliseconds(3900);
    later.timeLeft = milliseconds(8100);
    CHECK(mayWaitForLoad(later));
    later.waitedFor = milliseconds(4000);
    later.timeLeft = milliseconds(8000);
    CHECK_FALSE(mayWaitForLoad(later));
}

TEST_CASE("load wait: a request whose model loads too slowly is refused at once")
{
    auto slow = quickLoad;
    slow.loadTime = milliseconds(9400);
    CHECK_FALSE(mayWaitForLoad(slow));
    auto hasty = quickLoad;
    hasty.timeLeft = milliseconds(4000);
    CHECK_FALSE(mayWaitForLoad(hasty));
}

TEST_CASE("load wait: after the loss of many engines the number of waiting requests stays bounded")
{
    auto crowded = quickLoad;
    crowded.waiting = maxLoadWaits;
    CHECK_FALSE(mayWaitForLoad(crowded));
}
