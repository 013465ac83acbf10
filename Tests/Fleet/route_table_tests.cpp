#include "Fleet/route_table.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

fleet_config_ptr configWith(std::vector<route_config> routes)
{
    auto config = std::make_shared<fleet_config>();
    config->version = 1;
    config->routes = std::move(routes);
    return config;
}

route_config routeAt(const std::string& host, const std::string& prefix)
{
    route_config route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.targets = { { "desk", 1 } };
    return route;
}

} // namespace

TEST_CASE("route table: the longest prefix that begins the path wins")
{
    const route_table table(configWith({ routeAt("h", "/a/"), routeAt("h", "/a/b/"), routeAt("i", "/") }));
    CHECK(table.findRoute("h", "/a/x")->name == "h/a/");
    CHECK(table.findRoute("h", "/a/b/")->name == "h/a/b/");
    CHECK(table.findRoute("h", "/a/b/c/d?q=/z/")->name == "h/a/b/");
    CHECK(table.findRoute("h", "/a/bc")->name == "h/a/");
    CHECK(table.findRoute("i", "/whatever")->name == "i/");
    CHECK(table.findRoute("h", "/") == nullptr);
    CHECK(table.findRoute("h", "/a") == nullptr);
    CHECK(table.findRoute("j", "/a/") == nullptr);
    CHECK(table.findRoute("h", "a/") == nullptr);
}

TEST_CASE("route table: a known API key has one team, an unknown one none")
{
    fleet_config config;
    team_config team;
    team.name = "atelier";
    team.apiKeys = { "k1", "k2" };
    config.teams = { team };
    const route_table table(std::make_shared<fleet_config>(config));
    REQUIRE(table.findTeam("k2") != nullptr);
    CHECK(table.findTeam("k2")->name == "atelier");
    CHECK(table.findTeam("k") == nullptr);
    CHECK(table.findTeam("") == nullptr);
}

TEST_CASE("route table: services are drawn by the weights of the targets")
{
    route_config route = routeAt("h", "/");
    route.targets = { { "a", 90 }, { "none", 0 }, { "b", 10 } };
    CHECK(*route_table::pickTarget(route, 0.0) == "a");
    CHECK(*route_table::pickTarget(route, 0.89) == "a");
    CHECK(*route_table::pickTarget(route, 0.91) == "b");
    CHECK(*route_table::pickTarget(route, 1.0) == "b");
    route.targets.clear();
    CHECK(route_table::pickTarget(route, 0.5) == nullptr);
}
