#include "Once/key_claimer.h"

#include "Agree/log_client.h"
#include "Fakes/fake_log.h"
#include "Once/claim_record.h"
#include "Serve/http_server.h"
#include "Support/calls.h"
#include "Support/free_port.h"
#include "Support/until.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <future>
#include <optional>

using namespace sagesaddle;

namespace {

constexpr seconds timeout { 20 };
constexpr const char* stream = "claims.orders";
// Version 7 UUIDs, one made in the past and one in the future.
constexpr const char* pastKey = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
constexpr const char* futureKey = "fffffffe-79b0-7cc3-98c4-dc0c0c07398f";

// A fake log on a free port, a client of it, and the claimer of one process.
struct claimer_fixture {
    address listen { testing::freeAddress() };
    testing::fake_log log;
    http_server server { { .listen = listen }, [this](http_call& call) { log.handle(call, listen); } };
    log_client client { listen, milliseconds(500) };
    std::optional<key_claimer> claimer { std::in_place, client, "orders", "run-1" };

    void setLogFaults(const nlohmann::json& faults) const { testing::setFaults(listen, faults); }

    void restartClaimer()
    {
        claimer.reset();
        claimer.emplace(client, "orders", "run-2");
    }

    std::string claim(const std::string& key, milliseconds within = timeout)
    {
        constexpr std::array names { "granted", "taken", "too_old", "unavailable" };
        const claim_outcome outcome = claimer->claim("ledger", key, monotonicNow() + within).outcome;
        return names.at(static_cast<std::size_t>(outcome));
    }

    // Retries until the key is granted or the time is over.
    bool isEventuallyGranted(const std::string& key)
    {
        return testing::until([&] { return claim(key) == "granted"; }, timeout);
    }

    // Appends claims as the claimer of another process would.
    void appendClaimsOfOthers(int count)
    {
        std::vector<std::string> records;
        for (int i = 0; i < count; ++i) {
            const std::string id = std::to_string(fillerCount++);
            records.push_back(
                formatClaimRecord(key_claim { "other/" + id, hashClaimKey("ledger", "filler-" + id), 1 }));
        }
        client.append(stream, records);
    }

    int fillerCount { 0 };
};

} // namespace

TEST_CASE("key claimer: of many claims for a key in two processes one is granted")
{
    claimer_fixture fixture;
    key_claimer second(fixture.client, "orders", "run-2");
    for (const char* key : { "a", "b", "c" }) {
        std::vector<std::future<claim_outcome>> outcomes;
        outcomes.reserve(6);
        for (int i = 0; i < 6; ++i) {
            key_claimer& claimer = i % 2 == 0 ? *fixture.claimer : second;
            outcomes.push_back(std::async(std::launch::async,
                [&claimer, key] { return claimer.claim("ledger", key, monotonicNow() + timeout).outcome; }));
        }
        std::vector<claim_outcome> results;
        results.reserve(outcomes.size());
        for (auto& outcome : outcomes)
            results.push_back(outcome.get());
        CHECK(std::count(results.begin(), results.end(), claim_outcome::Granted) == 1);
        CHECK(std::count(results.begin(), results.end(), claim_outcome::Taken) == 5);
    }
}

TEST_CASE("key claimer: an append whose answer is lost is granted once")
{
    claimer_fixture fixture;
    REQUIRE(fixture.isEventuallyGranted("warm-up"));
    fixture.setLogFaults({ { "lose_answers", 2 } });
    CHECK(fixture.claim("a") == "granted");
    CHECK(fixture.claim("a") == "taken");
}

TEST_CASE("key claimer: nothing is granted while the log is unreachable, and the key is free afterwards")
{
    claimer_fixture fixture;
    REQUIRE(fixture.isEventuallyGranted("warm-up"));
    fixture.setLogFaults({ { "away", true } });
    CHECK(fixture.claim("a", milliseconds(300)) == "unavailable");
    fixture.setLogFaults({ { "away", false } });
    CHECK(fixture.isEventuallyGranted("a"));
}

TEST_CASE("key claimer: a claim that was given up on after it took effect is released")
{
    claimer_fixture fixture;
    REQUIRE(fixture.isEventuallyGranted("warm-up"));
    fixture.setLogFaults({ { "lose_answers", 1000 } });
    REQUIRE(fixture.claim("a", milliseconds(300)) == "unavailable");
    fixture.setLogFaults({ { "lose_answers", 0 } });
    CHECK(fixture.isEventuallyGranted("a"));
}

TEST_CASE("key claimer: a released claim frees the key, for another process too")
{
    claimer_fixture fixture;
    key_claimer first(fixture.client, "orders", "run-0");
    const claim_result granted = first.claim("ledger", "a", monotonicNow() + timeout);
    REQUIRE((granted.outcome == claim_outcome::Granted));
    REQUIRE(fixture.claim("a") == "taken");
    first.release(granted);
    CHECK(fixture.isEventuallyGranted("a"));
}

TEST_CASE("key claimer: a restarted process knows the claims of the one before it")
{
    claimer_fixture fixture;
    REQUIRE(fixture.claim("a") == "granted");
    fixture.restartClaimer();
    CHECK(fixture.claim("a") == "taken");
}

TEST_CASE("key claimer: a claim is known after its record has lapsed")
{
    claimer_fixture fixture;
    REQUIRE(fixture.claim("a") == "granted");
    for (int batch = 0; batch < 6; ++batch)
        fixture.appendClaimsOfOthers(1000);
    REQUIRE(fixture.isEventuallyGranted("b"));
    const auto hasSnapshot
        = [&] { return fixture.client.read(stream, 6002, 10, milliseconds(1000)).next > 6002; };
    REQUIRE(testing::until(hasSnapshot, timeout));
    fixture.setLogFaults({ { "retain", 8 } });
    // The fake log drops records at the next append only; until then the claim can still be read.
    fixture.appendClaimsOfOthers(1);
    REQUIRE_THROWS_AS(fixture.client.read(stream, 0, 1, milliseconds(0)), log_error);
    fixture.restartClaimer();
    CHECK(fixture.claim("a") == "taken");
    CHECK(fixture.claim("c") == "granted");
}

TEST_CASE("key claimer: keys that may belong to lapsed claims are refused")
{
    claimer_fixture fixture;
    fixture.claimer.reset();
    fixture.client.append(stream, { "one", "two", "three" });
    fixture.setLogFaults({ { "retain", 1 } });
    fixture.client.append(stream, { "four" });
    fixture.restartClaimer();
    CHECK(fixture.claim("a") == "too_old");
    CHECK(fixture.claim(pastKey) == "too_old");
}

TEST_CASE("key claimer: where unread records lapse, keys that may have been claimed before are refused")
{
    claimer_fixture fixture;
    REQUIRE(fixture.claim("a") == "granted");
    REQUIRE(fixture.claim("a") == "taken");
    // The fake log drops the claims before the process reads on.
    fixture.setLogFaults({ { "retain", 8 } });
    fixture.appendClaimsOfOthers(20);
    CHECK(testing::until([&] { return fixture.claim("a") == "too_old"; }, timeout));
    CHECK(fixture.claim(pastKey) == "too_old");
    CHECK(fixture.claim(futureKey) == "granted");
    CHECK(fixture.claim(futureKey) == "taken");
}
