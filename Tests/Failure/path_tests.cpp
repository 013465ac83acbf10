#include "Support/calls.h"
#include "Support/fleet.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

TEST_CASE("path: plain and streamed answers come whole from both entries")
{
    fleet fleet({ .services = 1 });
    for (std::size_t i = 0; i < 2; ++i) {
        const address& entry = fleet.entry(i).listen;
        for (const char* model : { "model-1", "model-2", "shared" }) {
            for (const bool stream : { false, true }) {
                const chat_call call { model, "oak saddle number " + std::to_string(i), 9, stream };
                CHECK(textOf(chat(entry, "walkin", call)) == expectedText(call));
            }
        }
        const http_response stock = callService(entry, "dealer", "/stock/hides", "", R"({"hide":7})");
        REQUIRE(stock.status == 200);
        CHECK(nlohmann::json::parse(stock.body).at("body") == R"({"hide":7})");
        CHECK(nlohmann::json::parse(stock.body).at("path") == "/stock/hides");
    }
}

TEST_CASE("path: an upstream runs a request for the key's team, whatever the caller says")
{
    fleet fleet({ .engines = 1, .services = 0 });
    http_request request = chatRequest(fleet.entry(0).listen, {});
    request.headers.emplace_back("x-sagesaddle-team", "dealer");
    request.headers.emplace_back("X-SAGESADDLE-TEAM", "dealer");
    const http_response answer = send(request, "walkin");
    const auto byTeam = getJson(fleet.engine(0).listen, "/admin/stats").at("by_team");
    CHECK(byTeam.value("dealer", 0) == 0);
    CHECK(byTeam.value("walkin", 0) == (answer.status == 200 ? 1 : 0));
}
