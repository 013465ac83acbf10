#include "Place/token_demand_meter.h"
#include "Support/test_time.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

using testing::start;

/// Records a request with these tokens every 100 ms.
/// \return the end of the duration
monotonic_time recordSteadyDemand(
    token_demand_meter& meter, const std::string& model, double tokens, seconds duration)
{
    monotonic_time now = start;
    for (; now < start + duration; now += milliseconds(100))
        meter.recordDemand(model, tokens, now);
    return now;
}

} // namespace

TEST_CASE("token demand meter: a steady demand is measured in tokens per second")
{
    token_demand_meter meter;
    const monotonic_time now = recordSteadyDemand(meter, "m", 30, seconds(30));
    const auto rates = meter.rates(now);
    REQUIRE(rates.size() == 1);
    CHECK(rates[0].model == "m");
    CHECK(rates[0].tokensPerSecond == doctest::Approx(300).epsilon(0.02));
}

TEST_CASE("token demand meter: a demand that has ended decays within seconds and is then omitted")
{
    token_demand_meter meter;
    const monotonic_time end = recordSteadyDemand(meter, "m", 30, seconds(30));
    const double last = meter.rates(end)[0].tokensPerSecond;
    CHECK(meter.rates(end + token_demand_meter::decayTime)[0].tokensPerSecond
        == doctest::Approx(last / 2.718).epsilon(0.001));
    CHECK(meter.rates(end + seconds(60)).empty());
}

TEST_CASE("token demand meter: the models with the highest demand are returned, the highest first")
{
    token_demand_meter meter;
    for (int model = 0; model < 40; ++model)
        meter.recordDemand("m" + std::to_string(model), 10.0 * (model + 1), start);
    const auto rates = meter.rates(start);
    REQUIRE(rates.size() == token_demand_meter::maxReported);
    CHECK(rates.front().model == "m39");
    CHECK(rates.back().model == "m24");
}

TEST_CASE("token demand meter: models that are no longer used are removed")
{
    token_demand_meter meter;
    for (int model = 0; model < 1000; ++model)
        meter.recordDemand("m" + std::to_string(model), 1, start + seconds(model));
    CHECK(meter.size() < 10);
}
