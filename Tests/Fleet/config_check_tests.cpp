#include "Fleet/config_check.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace sagesaddle;

namespace {

fleet_config soundConfig()
{
    fleet_config config;
    config.version = 3;
    route_config route;
    route.name = "r-1";
    route.host = "h";
    route.pathPrefix = "/a/";
    route.type = route_type::Stream;
    route.timeout = milliseconds(1000);
    route.objective = milliseconds(200);
    route.targets = { { "desk", 1 } };
    config.routes = { route };
    engine_config engine;
    engine.weightMemoryMb = 100;
    engine.adapterSlots = 2;
    engine.loadsPerSecond = 1;
    engine.models = { { "m1", 60, milliseconds(1000), 1, 5 } };
    config.services = { { "desk", 0, engine } };
    team_config team;
    team.name = "gold";
    team.apiKeys = { "secret-1" };
    team.ratePerSecond = 10;
    team.burst = 10;
    config.teams = { team };
    return config;
}

bool has(const std::vector<config_finding>& findings, config_severity severity, const std::string& place,
    const std::string& text)
{
    return std::any_of(findings.begin(), findings.end(), [&](const config_finding& finding) {
        return finding.severity == severity && finding.place == place
            && finding.text.find(text) != std::string::npos;
    });
}

} // namespace

TEST_CASE("config check: a sound configuration has no findings")
{
    CHECK(checkConfig(soundConfig()).empty());
}

TEST_CASE("config check: a route that another one hides, or whose prefix no path has, is an error")
{
    fleet_config config = soundConfig();
    config.routes.push_back(config.routes.front());
    config.routes.back().name = "r-2";
    config.routes.push_back(config.routes.front());
    config.routes.back().name = "r-3";
    config.routes.back().pathPrefix = "/b";
    const auto findings = checkConfig(config);
    CHECK(has(findings, config_severity::Error, "route 'r-2'", "never matches: route 'r-1'"));
    CHECK(has(findings, config_severity::Error, "route 'r-3'", "slash"));
    CHECK(findings.size() == 2);
}

TEST_CASE("config check: a target that does not exist is an error, one without weight a warning")
{
    fleet_config config = soundConfig();
    config.routes.front().targets = { { "desk", 1 }, { "gone", 1 }, { "desk", 0 } };
    const auto findings = checkConfig(config);
    CHECK(has(findings, config_severity::Error, "route 'r-1'", "not listed"));
    CHECK(has(findings, config_severity::Warning, "route 'r-1'", "weight is 0"));
    config.routes.front().targets = { { "desk", 0 } };
    CHECK(has(checkConfig(config), config_severity::Error, "route 'r-1'", "sends nowhere"));
}

TEST_CASE("config check: limits that contradict each other are warnings, impossible ones errors")
{
    fleet_config config = soundConfig();
    config.routes.front().objective = milliseconds(2000);
    config.routes.front().maxAttempts = 2;
    config.services.front().engine->models.front().weightsMb = 200;
    config.services.front().engine->adapterSlots = 0;
    config.teams.front().burst = 0.5;
    config.limits.headTimeout = milliseconds(20000);
    const auto findings = checkConfig(config);
    CHECK(has(findings, config_severity::Warning, "route 'r-1'", "longer than its timeout"));
    CHECK(has(findings, config_severity::Warning, "route 'r-1'", "may run once only"));
    CHECK(has(findings, config_severity::Error, "service 'desk', model 'm1'", "never fits"));
    CHECK(has(findings, config_severity::Error, "service 'desk', model 'm1'", "no slots"));
    CHECK(has(findings, config_severity::Warning, "team 'gold'", "burst"));
    CHECK(has(findings, config_severity::Warning, "limits", "idle timeout"));
}

TEST_CASE("config check: an API key of two teams is an error that does not print the key")
{
    fleet_config config = soundConfig();
    config.teams.push_back(config.teams.front());
    config.teams.back().name = "silver";
    const auto findings = checkConfig(config);
    CHECK(has(findings, config_severity::Error, "team 'silver'", "team 'gold'"));
    for (const auto& finding : findings)
        CHECK(finding.text.find("secret-1") == std::string::npos);
}

TEST_CASE("config check: a version that is not higher than the one in force is an error")
{
    const fleet_config config = soundConfig();
    CHECK(has(checkReplacement(config, config), config_severity::Error, "version", "ignore"));
    fleet_config next = config;
    ++next.version;
    CHECK(checkReplacement(config, next).empty());
}

TEST_CASE("config check: a comparison names each entry that differs, and counts keys")
{
    const fleet_config inForce = soundConfig();
    CHECK(compareConfigs(inForce, inForce).empty());
    fleet_config next = inForce;
    next.routes.front().timeout = milliseconds(2000);
    next.services.front().engine->models.push_back({ "m2", 10, milliseconds(1000), 0, 0 });
    next.teams.front().apiKeys = { "secret-2", "secret-3" };
    next.teams.front().ratePerSecond = 12.5;
    next.routes.push_back(next.routes.front());
    next.routes.back().name = "r-2";
    const std::vector<config_change> expected { { "route 'r-1'", "timeout: 1000 ms -> 2000 ms" },
        { "route 'r-2'", "is added" }, { "service 'desk'", "model 'm2' is added" },
        { "team 'gold'", "API keys withdrawn: 1" }, { "team 'gold'", "API keys added: 2" },
        { "team 'gold'", "rate: 10 -> 12.5" } };
    CHECK(compareConfigs(inForce, next) == expected);
    const auto removed = compareConfigs(next, inForce);
    CHECK(std::find(removed.begin(), removed.end(), config_change { "route 'r-2'", "is removed" })
        != removed.end());
}
