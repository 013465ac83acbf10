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

constexpr seconds patience { 20 };
constexpr const char* stream = "claims.orders";
// Version 7 UUIDs: one tells a time long past, one a time to come.
constexpr const char* earlyKey = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
constexpr const char* lateKey = "fffffffe-79b0-7cc3-98c4-dc0c0c07398f";

// The stand-in log on a free port, a client of it, and the gate of a process.
struct gate_bench {
    address listen { testing::freeAddress() };
    testing::fake_log log;
    http_server server { { .listen = listen }, [this](http_call& call) { log.handle(call, listen); } };
    log_client client { listen, milliseconds(500) };
    std::optional<key_claimer> gate { std::in_place, client, "orders", "run-1" };

    void fault(const nlohmann::json& switches) const { testing::setFaults(listen, switches); }

    void restartGate()
    {
        gate.reset();
        gate.emplace(client, "orders", "run-2");
    }

    std::string ask(const std::string& key, milliseconds bound = patience)
    {
        constexpr std::array names { "granted", "taken", "too_old", "unavailable" };
        const claim_outcome outcome = gate->claim("ledger", key, monotonicNow() + bound).outcome;
        return names.at(static_cast<std::size_t>(outcome));
    }

    // Tries again while the key looks taken.
    bool isGrantedInTheEnd(const std::string& key)
    {
        return testing::until([&] { return ask(key) == "granted"; }, patience);
    }

    // Appends claims of another process, as its gate would.
    void appendOthers(int count)
    {
        std::vector<std::string> records;
        for (int i = 0; i < count; ++i) {
            const std::string id = std::to_string(filler++);
            records.push_back(
                formatClaimRecord(key_claim { "other/" + id, hashClaimKey("ledger", "filler-" + id), 1 }));
        }
        client.append(stream, records);
    }

    int filler { 0 };
};

} // namespace

TEST_CASE("claim gate: of many claims for a key in two processes one is granted")
{
    gate_bench bench;
    key_claimer second(bench.client, "orders", "run-2");
    for (const char* key : { "a", "b", "c" }) {
        std::vector<std::future<claim_outcome>> outcomes;
        outcomes.reserve(6);
        for (int i = 0; i < 6; ++i) {
            key_claimer& gate = i % 2 == 0 ? *bench.gate : second;
            outcomes.push_back(std::async(std::launch::async,
                [&gate, key] { return gate.claim("ledger", key, monotonicNow() + patience).outcome; }));
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
    gate_bench bench;
    REQUIRE(bench.isGrantedInTheEnd("warm-up"));
    bench.fault({ { "lose_answers", 2 } });
    CHECK(bench.ask("a") == "granted");
    CHECK(bench.ask("a") == "taken");
}

TEST_CASE("claim gate: nothing is granted while the log is away, and the key is free afterwards")
{
    gate_bench bench;
    REQUIRE(bench.isGrantedInTheEnd("warm-up"));
    bench.fault({ { "away", true } });
    CHECK(bench.ask("a", milliseconds(300)) == "unavailable");
    bench.fault({ { "away", false } });
    CHECK(bench.isGrantedInTheEnd("a"));
}

TEST_CASE("claim gate: a claim given up on after it took effect is released")
{
    gate_bench bench;
    REQUIRE(bench.isGrantedInTheEnd("warm-up"));
    bench.fault({ { "lose_answers", 1000 } });
    REQUIRE(bench.ask("a", milliseconds(300)) == "unavailable");
    bench.fault({ { "lose_answers", 0 } });
    CHECK(bench.isGrantedInTheEnd("a"));
}

TEST_CASE("claim gate: a released claim frees the key, for another process too")
{
    gate_bench bench;
    key_claimer first(bench.client, "orders", "run-0");
    const claim_result granted = first.claim("ledger", "a", monotonicNow() + patience);
    REQUIRE((granted.outcome == claim_outcome::Granted));
    REQUIRE(bench.ask("a") == "taken");
    first.release(granted);
    CHECK(bench.isGrantedInTheEnd("a"));
}

TEST_CASE("claim gate: a restarted process knows the claims of the one before it")
{
    gate_bench bench;
    REQUIRE(bench.ask("a") == "granted");
    bench.restartGate();
    CHECK(bench.ask("a") == "taken");
}

TEST_CASE("claim gate: a claim is known after its record has lapsed")
{
    gate_bench bench;
    REQUIRE(bench.ask("a") == "granted");
    for (int batch = 0; batch < 6; ++batch)
        bench.appendOthers(1000);
    REQUIRE(bench.isGrantedInTheEnd("b"));
    const auto hasSnapshot
        = [&] { return bench.client.read(stream, 6002, 10, milliseconds(1000)).next > 6002; };
    REQUIRE(testing::until(hasSnapshot, patience));
    bench.fault({ { "retain", 8 } });
    // The stand-in drops records with the next append; before, the claim is still there to be read.
    bench.appendOthers(1);
    REQUIRE_THROWS_AS(bench.client.read(stream, 0, 1, milliseconds(0)), log_error);
    bench.restartGate();
    CHECK(bench.ask("a") == "taken");
    CHECK(bench.ask("c") == "granted");
}

TEST_CASE("claim gate: keys that may belong to lapsed claims are refused")
{
    gate_bench bench;
    bench.gate.reset();
    bench.client.append(stream, { "one", "two", "three" });
    bench.fault({ { "retain", 1 } });
    bench.client.append(stream, { "four" });
    bench.restartGate();
    CHECK(bench.ask("a") == "too_old");
    CHECK(bench.ask(earlyKey) == "too_old");
}

TEST_CASE("claim gate: where retention passes a running process, what it held and forgot is refused")
{
    gate_bench bench;
    REQUIRE(bench.ask("a") == "granted");
    REQUIRE(bench.ask("a") == "taken");
    // The stand-in drops the claims before the process can read on.
    bench.fault({ { "retain", 8 } });
    bench.appendOthers(20);
    CHECK(testing::until([&] { return bench.ask("a") == "too_old"; }, patience));
    CHECK(bench.ask(earlyKey) == "too_old");
    CHECK(bench.ask(lateKey) == "granted");
    CHECK(bench.ask(lateKey) == "taken");
}
