#include "Route/liveness_monitor.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;
const std::vector<std::string> nobody;
const std::vector<std::string> first { "s1" };

monotonic_time after(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

TEST_CASE("silence: a peer that owes an answer is asked soon, and is silent when it leaves that open too")
{
    liveness_monitor watch({});
    watch.onLink("s1", true, start);
    watch.onSent("s1", after(100));
    for (int ms = 150; ms < 400; ms += 50)
        watch.onSent("s1", after(ms));
    CHECK(watch.check(after(399)).toProbe == nobody);
    CHECK(watch.check(after(400)).toProbe == first);
    CHECK(watch.check(after(1399)).newlySilent == nobody);
    CHECK(watch.check(after(1400)).newlySilent == first);
    CHECK(watch.check(after(1500)).newlySilent == nobody);
    CHECK(watch.onReceived("s1", after(1600)));
    CHECK_FALSE(watch.onReceived("s1", after(1601)));
}

TEST_CASE("silence: a peer that answers is never silent, however long its requests take")
{
    liveness_monitor watch({});
    watch.onLink("s1", true, start);
    watch.onSent("s1", after(1));
    for (int ms = 0; ms < 20000; ms += 200) {
        const auto round = watch.check(after(ms));
        CHECK(round.newlySilent == nobody);
        if (!round.toProbe.empty())
            CHECK_FALSE(watch.onReceived("s1", after(ms + 100)));
    }
}

TEST_CASE("silence: idle peers are asked a few at a time, those first that were silent longest")
{
    liveness_monitor watch({});
    watch.onLink("s2", true, start);
    watch.onLink("s1", true, after(10));
    CHECK(watch.check(after(1999)).toProbe == nobody);
    CHECK(watch.check(after(2500)).toProbe == std::vector<std::string> { "s2" });
    CHECK(watch.check(after(2500)).toProbe == first);
    CHECK(watch.check(after(2500)).toProbe == nobody);
}

TEST_CASE("silence: a link that is gone or stands anew owes nothing")
{
    liveness_monitor watch({});
    watch.onLink("s1", true, start);
    watch.onSent("s1", after(1));
    watch.onLink("s1", false, after(2));
    CHECK(watch.check(after(5000)).toProbe == nobody);
    watch.onSent("s1", after(5000));
    watch.onLink("s1", true, after(5001));
    CHECK(watch.check(after(5500)).toProbe == nobody);
    CHECK_FALSE(watch.onReceived("s1", after(5600)));
}
