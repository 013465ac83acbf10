#include "Place/token_demand_meter.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

/// \return the time at its end
monotonic_time noteSteadily(
    token_demand_meter& meter, const std::string& model, double tokens, seconds duration)
{
    monotonic_time now = start;
    for (; now < start + duration; now += milliseconds(100))
        meter.recordDemand(model, tokens, now);
    return now;
}

} // namespace

TEST_CASE("use meter: a steady demand is told in tokens a second")
{
    token_demand_meter meter;
    const monotonic_time now = noteSteadily(meter, "m", 30, seconds(30));
    const auto rates = meter.rates(now);
    REQUIRE(rates.size() == 1);
    CHECK(rates[0].model == "m");
    CHECK(rates[0].tokensPerSecond == doctest::Approx(300).epsilon(0.02));
}

TEST_CASE("use meter: a demand that ended fades in seconds and is then not told")
{
    token_demand_meter meter;
    const monotonic_time end = noteSteadily(meter, "m", 30, seconds(30));
    const double last = meter.rates(end)[0].tokensPerSecond;
    CHECK(meter.rates(end + token_demand_meter::fading)[0].tokensPerSecond
        == doctest::Approx(last / 2.718).epsilon(0.001));
    CHECK(meter.rates(end + seconds(60)).empty());
}

TEST_CASE("use meter: the hottest models are told, the hottest first")
{
    token_demand_meter meter;
    for (int model = 0; model < 40; ++model)
        meter.recordDemand("m" + std::to_string(model), 10.0 * (model + 1), start);
    const auto rates = meter.rates(start);
    REQUIRE(rates.size() == token_demand_meter::maxReported);
    CHECK(rates.front().model == "m39");
    CHECK(rates.back().model == "m24");
}

TEST_CASE("use meter: models that are no longer used take no room")
{
    token_demand_meter meter;
    for (int model = 0; model < 1000; ++model)
        meter.recordDemand("m" + std::to_string(model), 1, start + seconds(model));
    CHECK(meter.size() < 10);
}
