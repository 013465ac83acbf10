#include "Record/history.h"

#include "Record/fold.h"
#include "Record/log_record.h"

#include <memory>

namespace sagesaddle::testing {

namespace {

// Turns the random numbers of a step into choices; 0 once they are used up.
class choices {
public:
    explicit choices(const history_step& step)
        : m_step(step)
    {
    }

    // A number below `bound`.
    std::uint8_t below(std::uint8_t bound) { return m_next < m_step.size() ? m_step[m_next++] % bound : 0; }
    // One of `bound` names with this prefix, such as `t0`.
    std::string name(const char* prefix, std::uint8_t bound = 3)
    {
        return prefix + std::to_string(below(bound));
    }
    bool flag() { return below(2) == 1; }

private:
    const history_step& m_step;
    std::size_t m_next { 0 };
};

fleet_object makeObject(choices& pick)
{
    const address anyAddress { "127.0.0.1", 1000 };
    switch (pick.below(7)) {
    case 0:
        return team { pick.name("t"), 1.0 * pick.below(9), 5 };
    case 1: {
        const std::string digit = pick.name("", 4);
        return api_key { pick.name("k"), pick.name("t"), std::string(64, digit[0]), pick.flag() };
    }
    case 2:
        return model { pick.name("m"), 100U * (1 + pick.below(4)), pick.below(4) == 0 ? pick.name("m") : "" };
    case 3: {
        const bool isEngine = pick.below(3) > 0;
        upstream value { pick.name("u"), isEngine ? upstream_kind::Engine : upstream_kind::Service, "r", "z",
            anyAddress, anyAddress, isEngine ? "" : pick.name("s", 2) };
        value.memoryMb = 100U * (3 + pick.below(4));
        return value;
    }
    case 4:
        return route { "/" + pick.name("p"), pick.name("s", 2), pick.flag(), pick.flag(), 1000 };
    case 5:
        return placement { pick.name("m"), pick.name("u"), pick.flag() };
    default:
        return entry_config { pick.name("e"), "r", "z", anyAddress, anyAddress };
    }
}

change_record makeChange(choices& pick, const fleet_state& state)
{
    change_record change { state.revision, "ann", {}, {} };
    if (pick.below(5) == 0)
        change.baseRevision = pick.below(8);
    const std::uint8_t putCount = pick.below(3);
    for (std::uint8_t count = 0; count < putCount; ++count)
        change.put.push_back({ makeObject(pick), {} });
    if (putCount == 0 || pick.below(4) == 0)
        change.remove.push_back(refOf(makeObject(pick)));
    return change;
}

record_body makeBody(choices& pick, const std::vector<fleet_state_ptr>& prefixes)
{
    const fleet_state& state = *prefixes.back();
    switch (pick.below(12)) {
    case 0:
        return epoch_record { pick.flag() ? state.epoch.number : pick.below(9), { pick.name("e") } };
    case 1: {
        const auto lease = state.leases.find(plannerDuty);
        const std::uint64_t fence = lease == state.leases.end() ? 0 : lease->second.fence;
        return lease_record { plannerDuty, pick.name("e"), pick.flag() ? fence : pick.below(9) };
    }
    case 2:
        return snapshot_record { prefixes[pick.below(255) % prefixes.size()] };
    case 3:
    case 4: {
        const auto lease = state.leases.find(plannerDuty);
        const bool isCurrent = lease != state.leases.end() && pick.below(4) > 0;
        plan_record plan { isCurrent ? lease->second.fence : pick.below(9), {}, {} };
        for (std::uint8_t count = pick.below(3); count > 0; --count)
            plan.add.push_back({ pick.name("m"), pick.name("u"), pick.flag() });
        if (pick.flag())
            plan.remove.emplace_back(pick.name("m"), pick.name("u"));
        return plan;
    }
    default:
        return makeChange(pick, state);
    }
}

// Declares the objects that most later records name, so that many of them are accepted.
std::string firstRecord()
{
    const address anyAddress { "127.0.0.1", 1000 };
    change_record change { 0, "ann", {}, {} };
    for (const char* digit : { "0", "1", "2" }) {
        upstream engine { std::string("u") + digit, upstream_kind::Engine, "r", "z", anyAddress, anyAddress };
        engine.memoryMb = 600;
        change.put.push_back({ team { std::string("t") + digit, 1, 1 }, {} });
        change.put.push_back({ model { std::string("m") + digit, 100, "" }, {} });
        change.put.push_back(
            { entry_config { std::string("e") + digit, "r", "z", anyAddress, anyAddress }, {} });
        change.put.push_back({ engine, {} });
    }
    return formatRecord({ "r0", 2, change });
}

std::string makeText(
    choices& pick, const std::vector<fleet_state_ptr>& prefixes, const std::vector<std::string>& texts)
{
    const std::uint8_t form = pick.below(20);
    if (form == 0)
        return "{\"id\":" + std::string(pick.below(4), '[');
    if (form == 1)
        return R"({"id":"u)" + std::to_string(texts.size()) + R"(","schema":7,"kind":"quota","body":{}})";
    if (form == 2 && !texts.empty())
        return texts[pick.below(255) % texts.size()];
    return formatRecord({ "r" + std::to_string(texts.size()), 2, makeBody(pick, prefixes) });
}

} // namespace

std::vector<std::string> makeHistory(const std::vector<history_step>& steps)
{
    std::vector<std::string> texts;
    std::vector<fleet_state_ptr> prefixes { std::make_shared<const fleet_state>() };
    for (const history_step& step : steps) {
        choices pick(step);
        texts.push_back(texts.empty() ? firstRecord() : makeText(pick, prefixes, texts));
        prefixes.push_back(std::make_shared<const fleet_state>(
            fold(*prefixes.back(), texts.size() - 1, texts.back()).state));
    }
    return texts;
}

} // namespace sagesaddle::testing
