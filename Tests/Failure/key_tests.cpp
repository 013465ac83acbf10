#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <future>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr seconds maxWithdrawalDelay { 3 };

// A caller that sends all its requests on one connection.
class connected_caller {
public:
    connected_caller(const address& entry, const std::string& team)
        : m_request(chatRequest(entry, {}))
    {
        m_request.headers.emplace_back("Authorization", "Bearer " + secretOf(team));
    }

    http_response call() { return m_client.send(m_request); }

    /// \return when the key was first refused.
    monotonic_time awaitRefusal()
    {
        until([this] { return call().status == 401; });
        return monotonicNow();
    }

private:
    http_client m_client;
    http_request m_request;
};

// Sends the key in header fields that a proxy might forward by mistake: in other case, twice, under other
// names and listed in Connection.
void sendKeyInOddFields(const address& entry)
{
    const std::string key = "Bearer " + secretOf("walkin");
    using header = std::pair<std::string, std::string>;
    for (const std::vector<header>& headers : std::vector<std::vector<header>> { { { "AUTHORIZATION", key } },
             { { "Authorization", key }, { "authorization", key } },
             { { "Authorization", key }, { "Proxy-Authorization", key } },
             { { "aUtHoRiZaTiOn", key }, { "Authorization", "Bearer " + secretOf("dealer") } },
             { { "Authorization", key }, { "Connection", "Authorization, X-Request-Id" } } }) {
        for (http_request request : { chatRequest(entry, {}), serviceRequest(entry, "/stock/a", "") }) {
            request.headers.insert(request.headers.end(), headers.begin(), headers.end());
            send(request, "");
        }
    }
}

} // namespace

TEST_CASE("keys: a key withdrawn from a connected caller is refused within 3 s at every entry")
{
    fleet fleet({ .engines = 1, .services = 0 });
    connected_caller first(fleet.entry(0).listen, "walkin");
    connected_caller second(fleet.entry(1).listen, "walkin");
    REQUIRE(first.call().status == 200);
    REQUIRE(second.call().status == 200);

    fleet.records().withdrawKeys("walkin");
    const auto start = monotonicNow();
    auto firstRefusal = std::async(std::launch::async, [&] { return first.awaitRefusal(); });
    auto secondRefusal = std::async(std::launch::async, [&] { return second.awaitRefusal(); });
    CHECK(fleet.apply().exitCode == 0);
    CHECK(firstRefusal.get() - start <= maxWithdrawalDelay);
    CHECK(secondRefusal.get() - start <= maxWithdrawalDelay);
    CHECK(problemMember(first.call(), "verdict") == "not_run");
    CHECK(chat(fleet.entry(0).listen, "dealer", {}).status == 200);
}

TEST_CASE(
    "keys: a withdrawal reaches an entry that cannot reach the log, and holds when no entry can reach it")
{
    fleet fleet({ .engines = 1, .services = 0 });
    connected_caller withoutLog(fleet.entry(1).listen, "walkin");
    REQUIRE(withoutLog.call().status == 200);
    setFaults(fleet.log().listen, { { "away_for", { formatAddress(fleet.logOf(1)) } } });

    fleet.records().withdrawKeys("walkin");
    const auto start = monotonicNow();
    // The entry may also refuse requests because it does not know whether its configuration is the newest;
    // only the key must not work.
    auto lastSuccess = std::async(std::launch::async, [&] {
        auto lastSuccessAt = start;
        until([&] {
            const std::uint16_t status = withoutLog.call().status;
            if (status == 200)
                lastSuccessAt = monotonicNow();
            return status == 401;
        });
        return lastSuccessAt;
    });
    CHECK(fleet.apply().exitCode == 0);
    setFaults(fleet.log().listen, { { "away", true } });
    CHECK(lastSuccess.get() - start <= maxWithdrawalDelay);
    CHECK(withoutLog.call().status == 401);
    CHECK(chat(fleet.entry(0).listen, "walkin", {}).status == 401);
    CHECK(until([&] { return chat(fleet.entry(1).listen, "dealer", {}).status == 200; }));
}

TEST_CASE("keys: no upstream ever sees a key")
{
    fleet fleet({ .engines = 1, .services = 1 });
    sendKeyInOddFields(fleet.entry(0).listen);
    REQUIRE(chat(fleet.entry(0).listen, "walkin", {}).status == 200);
    REQUIRE(callService(fleet.entry(0).listen, "walkin", "/stock/a", "").status == 200);
    for (const fleet_member* fake : { &fleet.engine(0), &fleet.service(0) }) {
        const auto headers = getJson(fake->listen, "/admin/stats").at("headers");
        REQUIRE(headers.contains("x-sagesaddle-team"));
        CHECK_FALSE(headers.contains("authorization"));
        CHECK(headers.dump().find("secret-of") == std::string::npos);
    }
}

TEST_CASE("keys: a request without a key, or with an unknown key or two keys, is not run")
{
    fleet fleet({ .engines = 1, .services = 0 });
    const auto before = getJson(fleet.engine(0).listen, "/admin/stats").at("by_request").size();
    const http_response none = chat(fleet.entry(0).listen, "", {});
    CHECK(none.status == 401);
    CHECK(problemMember(none, "verdict") == "not_run");
    CHECK(chat(fleet.entry(0).listen, "stranger", {}).status == 401);
    http_request doubled = chatRequest(fleet.entry(0).listen, {});
    doubled.headers.emplace_back("authorization", "Bearer " + secretOf("dealer"));
    CHECK(send(doubled, "walkin").status == 400);
    CHECK(getJson(fleet.engine(0).listen, "/admin/stats").at("by_request").size() == before);
}
