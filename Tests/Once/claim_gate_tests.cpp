#include "Once/claim_gate.h"

#include "Agree/log_client.h"
#include "Fakes/fake_log.h"
#include "Once/claim_record.h"
#include "Serve/http_client.h"
#include "Serve/http_server.h"
#include "Support/free_port.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <future>
#include <optional>

using namespace sagesaddle;

namespace {

constexpr seconds patience { 20 };

monotonic_time within(milliseconds span)
{
    return monotonicNow() + span;
}

// The stand-in log on a free port, and a client of it.
struct log_bench {
    address listen { testing::freeAddress() };
    testing::fake_log log;
    http_server server { { .listen = listen }, [this](http_call& call) { log.handle(call, listen); } };
    log_client client { listen, milliseconds(500) };

    void setFaults(const std::string& document) const
    {
        http_client http;
        http_request request;
        request.method = "POST";
        request.server = listen;
        request.target = "/admin/faults";
        request.body = document;
        REQUIRE(http.send(request).status / 100 == 2);
    }
};

// Tries again while the key looks taken, until it is granted or the patience ends.
claim_outcome claimUntilGranted(claim_gate& gate, const std::string& key)
{
    const monotonic_time end = within(patience);
    claim_outcome outcome = claim_outcome::Unavailable;
    while (outcome != claim_outcome::Granted && monotonicNow() < end)
        outcome = gate.claim("ledger", key, end).outcome;
    return outcome;
}

} // namespace

TEST_CASE("claim gate: of many claims for a key in two processes one is granted")
{
    log_bench bench;
    claim_gate first(bench.client, "orders", "run-1");
    claim_gate second(bench.client, "orders", "run-2");
    for (const char* key : { "a", "b", "c" }) {
        std::vector<std::future<claim_outcome>> outcomes;
        outcomes.reserve(6);
        for (int i = 0; i < 6; ++i) {
            claim_gate& gate = i % 2 == 0 ? first : second;
            outcomes.push_back(std::async(std::launch::async,
                [&gate, key] { return gate.claim("ledger", key, within(patience)).outcome; }));
        }
        std::vector<claim_outcome> results;
        results.reserve(outcomes.size());
        for (auto& outcome : outcomes)
            results.push_back(outcome.get());
        CHECK(std::count(results.begin(), results.end(), claim_outcome::Granted) == 1);
        CHECK(std::count(results.begin(), results.end(), claim_outcome::Taken) == 5);
    }
}

TEST_CASE("claim gate: an append whose answer is lost is granted once")
{
    log_bench bench;
    claim_gate gate(bench.client, "orders", "run-1");
    REQUIRE((claimUntilGranted(gate, "warm-up") == claim_outcome::Granted));
    bench.setFaults(R"({"lose_answers":2})");
    CHECK((gate.claim("ledger", "a", within(patience)).outcome == claim_outcome::Granted));
    CHECK((gate.claim("ledger", "a", within(patience)).outcome == claim_outcome::Taken));
}

TEST_CASE("claim gate: nothing is granted while the log is away, and the key is free afterwards")
{
    log_bench bench;
    claim_gate gate(bench.client, "orders", "run-1");
    REQUIRE((claimUntilGranted(gate, "warm-up") == claim_outcome::Granted));
    bench.setFaults(R"({"away":true})");
    CHECK((gate.claim("ledger", "a", within(milliseconds(300))).outcome == claim_outcome::Unavailable));
    bench.setFaults(R"({"away":false})");
    CHECK((claimUntilGranted(gate, "a") == claim_outcome::Granted));
}

TEST_CASE("claim gate: a claim given up on after it took effect is released")
{
    log_bench bench;
    claim_gate gate(bench.client, "orders", "run-1");
    REQUIRE((claimUntilGranted(gate, "warm-up") == claim_outcome::Granted));
    bench.setFaults(R"({"lose_answers":1000})");
    REQUIRE((gate.claim("ledger", "a", within(milliseconds(300))).outcome == claim_outcome::Unavailable));
    bench.setFaults(R"({"lose_answers":0})");
    CHECK((claimUntilGranted(gate, "a") == claim_outcome::Granted));
}

TEST_CASE("claim gate: a released claim frees the key, for another process too")
{
    log_bench bench;
    claim_gate first(bench.client, "orders", "run-1");
    claim_gate second(bench.client, "orders", "run-2");
    const claim_result granted = first.claim("ledger", "a", within(patience));
    REQUIRE((granted.outcome == claim_outcome::Granted));
    REQUIRE((second.claim("ledger", "a", within(patience)).outcome == claim_outcome::Taken));
    first.release(granted);
    CHECK((claimUntilGranted(second, "a") == claim_outcome::Granted));
}

TEST_CASE("claim gate: a restarted process knows the claims of the one before it")
{
    log_bench bench;
    std::optional<claim_gate> gate(std::in_place, bench.client, "orders", "run-1");
    REQUIRE((gate->claim("ledger", "a", within(patience)).outcome == claim_outcome::Granted));
    gate.emplace(bench.client, "orders", "run-2");
    CHECK((gate->claim("ledger", "a", within(patience)).outcome == claim_outcome::Taken));
}

TEST_CASE("claim gate: a claim is known after its record has lapsed")
{
    log_bench bench;
    std::optional<claim_gate> gate(std::in_place, bench.client, "orders", "run-1");
    REQUIRE((gate->claim("ledger", "a", within(patience)).outcome == claim_outcome::Granted));
    for (int batch = 0; batch < 6; ++batch) {
        std::vector<std::string> records;
        for (int i = 0; i < 1000; ++i) {
            const std::string id = std::to_string(batch * 1000 + i);
            records.push_back(
                formatClaimRecord(key_claim { "other/" + id, hashClaimKey("ledger", "filler-" + id), 1 }));
        }
        bench.client.append("claims.orders", records);
    }
    REQUIRE((claimUntilGranted(*gate, "b") == claim_outcome::Granted));
    const auto hasSnapshot
        = [&] { return bench.client.read("claims.orders", 6002, 10, milliseconds(1000)).next > 6002; };
    const monotonic_time end = within(patience);
    bool written = hasSnapshot();
    while (!written && monotonicNow() < end)
        written = hasSnapshot();
    REQUIRE(written);
    bench.setFaults(R"({"retain":8})");
    gate.emplace(bench.client, "orders", "run-2");
    CHECK((gate->claim("ledger", "a", within(patience)).outcome == claim_outcome::Taken));
    CHECK((gate->claim("ledger", "c", within(patience)).outcome == claim_outcome::Granted));
}

TEST_CASE("claim gate: keys that may belong to lapsed claims are refused")
{
    log_bench bench;
    bench.client.append("claims.orders", { "one", "two", "three" });
    bench.setFaults(R"({"retain":1})");
    bench.client.append("claims.orders", { "four" });
    claim_gate gate(bench.client, "orders", "run-1");
    CHECK((gate.claim("ledger", "a", within(patience)).outcome == claim_outcome::TooOld));
    CHECK((gate.claim("ledger", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", within(patience)).outcome
        == claim_outcome::TooOld));
}
