#include "Limit/fleet_state_builder.h"
#include "Limit/rate_limiter.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <variant>

using namespace sagesaddle;
using testing::fleet_state_builder;

namespace {

/// \brief Three rate limiters that call each other directly, without a network.
struct linked_limiters {
    std::map<std::string, std::unique_ptr<rate_limiter>> limiters;
    std::atomic<bool> isCut { false };

    linked_limiters()
    {
        for (const char* name : { "a", "b", "c" })
            limiters[name] = std::make_unique<rate_limiter>(
                name, [this, name](const std::string& to, const message& value) {
                    if (isCut)
                        return true;
                    const credit_grant grant
                        = limiters.at(to)->answer(std::get<credit_ask>(value), monotonicNow());
                    limiters.at(name)->onGrant(grant, monotonicNow());
                    return true;
                });
    }

    void updateAll(const fleet_state_builder& fleet)
    {
        for (auto& [name, limiter] : limiters)
            limiter->update(fleet.state(), monotonicNow());
    }
};

} // namespace

TEST_CASE("rate limiter: many threads at all entries are admitted the burst and no more")
{
    linked_limiters fleet;
    fleet_state_builder records;
    records.withTeam("desk", 0, 3000);
    fleet.updateAll(records);
    records.withEpoch({ "a", "b", "c" });
    fleet.updateAll(records);
    std::atomic<int> admitted { 0 };
    {
        std::vector<std::jthread> callers;
        for (auto& [name, limiter] : fleet.limiters)
            for (int thread = 0; thread < 3; ++thread)
                callers.emplace_back([&admitted, target = limiter.get()] {
                    for (int request = 0; request < 30; ++request)
                        admitted
                            += target->admit("desk", 29.5, monotonicNow() + seconds(5)).admitted ? 30 : 0;
                });
    }
    CHECK(admitted <= 3000);
    CHECK(admitted >= 2700);
}

TEST_CASE("rate limiter: without an answer from any holder it refuses within its bounded wait")
{
    linked_limiters fleet;
    fleet_state_builder records;
    records.withTeam("desk", 10, 3000);
    fleet.updateAll(records);
    records.withEpoch({ "a", "b", "c" });
    fleet.updateAll(records);
    fleet.isCut = true;
    const rate_decision decision = fleet.limiters.at("a")->admit("desk", 2000, monotonicNow() + seconds(30));
    CHECK_FALSE(decision.admitted);
    CHECK(decision.reason == "rate_holder_away");
    CHECK(fleet.limiters.at("a")->admit("desk", 900, monotonicNow() + seconds(30)).admitted);
}
