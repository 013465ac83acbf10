#include "config_reader.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace sagesaddle;

namespace {

constexpr const char* sample = R"({"version":7,"routes":[
 {"name":"r1","hostname":"h","path-prefix":"/a/","route-type":"streaming","timeout-ms":30000,
  "target-latency-ms":10000,"priority":1,"service":"desk","max-attempts":2,"public":false,"sticky":true,
  "resumable":true,"gap-aim-ms":300},
 {"name":"r2","hostname":"h","path-prefix":"/b/","route-type":"unsafe","timeout-ms":1000,
  "target-latency-ms":150,"priority":0,"traffic-split":[{"service":"desk","weight":90},{"service":"ledger","weight":10}],
  "max-attempts":1,"public":true,"unknown-field":{"x":1}}],
 "services":[{"name":"desk","health-path":"/health","max-connections":360,"engine":{"slots":64,"kv-capacity":147444,
  "models":[{"name":"m1","weights-mb":65099.9,"load-time-s":9.5,"adapters":42,"adapter-mb":12.0}],
  "weights-mb":230000.0,"adapter-slots":8,"loads-per-s":1.4}},{"name":"ledger"}],
 "limits":{"max-header-bytes":16000,"max-body-bytes":4000000,"header-timeout-ms":2000,"idle-timeout-ms":14000},
 "tenants":[{"name":"atelier","api-keys":["k1","k2"],"priority":2,"unit":"tokens","plain-tokens":200,
  "rate-per-s":70051,"burst":70050}]})";

} // namespace

TEST_CASE("config reader: routes, services, limits and teams are parsed")
{
    const auto config = platform::parseFleetConfig(sample);
    CHECK(config.version == 7);
    REQUIRE(config.routes.size() == 2);
    const auto& stream = config.routes.at(0);
    CHECK(stream.isStream());
    CHECK(stream.mayRunTwice());
    CHECK(stream.objective == seconds(10));
    CHECK(stream.gapObjective == milliseconds(300));
    CHECK(stream.maxAttempts == 2);
    CHECK(stream.targets == std::vector<route_target> { { "desk", 1 } });
    const auto& split = config.routes.at(1);
    CHECK(split.isPublic);
    CHECK_FALSE(split.mayRunTwice());
    CHECK(split.targets == std::vector<route_target> { { "desk", 90 }, { "ledger", 10 } });
    REQUIRE(config.services.at(0).engine.has_value());
    CHECK(config.services.at(0).engine->find("m1")->loadTime == milliseconds(9500));
    CHECK(config.services.at(0).engine->adapterSlots == 8);
    CHECK_FALSE(config.services.at(1).engine.has_value());
    CHECK(config.limits.maxHeadBytes == 16000);
    CHECK(config.limits.idleTimeout == seconds(14));
    const auto& team = config.teams.at(0);
    CHECK(team.apiKeys.size() == 2);
    CHECK(team.countsTokens);
    CHECK(team.priorityLevel == 2);
    CHECK(team.burst == doctest::Approx(70050));
}

TEST_CASE("config reader: a malformed document is rejected, naming the field")
{
    CHECK_THROWS_AS(platform::parseFleetConfig("{"), std::invalid_argument);
    CHECK_THROWS_AS(platform::parseFleetConfig("[]"), std::invalid_argument);
    CHECK_THROWS_WITH(platform::parseFleetConfig("{}"), doctest::Contains("version"));
    CHECK_THROWS_WITH(
        platform::parseFleetConfig(R"({"version":1,"routes":{}})"), doctest::Contains("routes"));
    CHECK_THROWS_WITH(
        platform::parseFleetConfig(
            R"({"version":1,"routes":[{"name":"r","hostname":"h","path-prefix":"/","route-type":"odd"}]})"),
        doctest::Contains("odd"));
}

TEST_CASE("config reader: a configuration without teams and limits has no teams and the default limits")
{
    const auto config = platform::parseFleetConfig(R"({"version":1})");
    CHECK(config.teams.empty());
    CHECK(config.limits == caller_limits {});
}

TEST_CASE("config reader: a service may state the limit of its cold upstreams")
{
    const auto config = platform::parseFleetConfig(
        R"({"version":1,"services":[{"name":"a","cold-per-s":12,"cold-start-s":3},{"name":"b"}]})");
    CHECK(config.services.at(0).coldRequestsPerSecond == 12);
    CHECK(config.services.at(0).coldStart == seconds(3));
    CHECK(config.services.at(1).coldRequestsPerSecond == 0);
}
