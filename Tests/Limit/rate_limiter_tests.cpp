#include "Limit/fleet_state_builder.h"
#include "Limit/rate_limiter.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <variant>

using namespace sagesaddle;
using testing::fleet_state_builder;

namespace {

/// \brief Three gates that reach each other without a network.
struct linked_gates {
    std::map<std::string, std::unique_ptr<rate_limiter>> gates;
    std::atomic<bool> cut { false };

    linked_gates()
    {
        for (const char* name : { "a", "b", "c" })
            gates[name] = std::make_unique<rate_limiter>(
                name, [this, name](const std::string& to, const message& value) {
                    if (cut)
                        return true;
                    const credit_grant grant
                        = gates.at(to)->answer(std::get<credit_ask>(value), monotonicNow());
                    gates.at(name)->onGrant(grant, monotonicNow());
                    return true;
                });
    }

    void learn(const fleet_state_builder& fleet)
    {
        for (auto& [name, gate] : gates)
            gate->update(fleet.state(), monotonicNow());
    }
};

} // namespace

TEST_CASE("rate gate: many threads at all entries get the burst and no more")
{
    linked_gates fleet;
    fleet_state_builder records;
    records.withTeam("desk", 0, 3000);
    fleet.learn(records);
    records.withEpoch({ "a", "b", "c" });
    fleet.learn(records);
    std::atomic<int> admitted { 0 };
    {
        std::vector<std::jthread> callers;
        for (auto& [name, gate] : fleet.gates)
            for (int thread = 0; thread < 3; ++thread)
                callers.emplace_back([&admitted, target = gate.get()] {
                    for (int request = 0; request < 30; ++request)
                        admitted
                            += target->admit("desk", 29.5, monotonicNow() + seconds(5)).admitted ? 30 : 0;
                });
    }
    CHECK(admitted <= 3000);
    CHECK(admitted >= 2700);
}

TEST_CASE("rate gate: where no holder answers it refuses within its bounded wait")
{
    linked_gates fleet;
    fleet_state_builder records;
    records.withTeam("desk", 10, 3000);
    fleet.learn(records);
    records.withEpoch({ "a", "b", "c" });
    fleet.learn(records);
    fleet.cut = true;
    const rate_decision decision = fleet.gates.at("a")->admit("desk", 2000, monotonicNow() + seconds(30));
    CHECK_FALSE(decision.admitted);
    CHECK(decision.reason == "rate_holder_away");
    CHECK(fleet.gates.at("a")->admit("desk", 900, monotonicNow() + seconds(30)).admitted);
}
