#include "Plan/planner_lease.h"
#include "Record/fold.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sagesaddle;

namespace {

using testing::start;

// An append that its process is held up in: it was asked for, and is not in the log yet.
struct open_append {
    lease_record record;
    monotonic_time askedAt;
};

struct process {
    planner_lease lease;
    std::optional<open_append> appending;
};

// Entries that share a log. Each step one of them wakes, reads some of the log and goes on; the others pause.
class lease_world {
public:
    explicit lease_world(int entries)
    {
        change_record change { 0, "ann", {}, {} };
        for (int i = 0; i < entries; ++i) {
            const std::string name = "e" + std::to_string(i);
            change.put.push_back(
                { entry_config { name, "r", "z", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, {} });
            m_processes.push_back({ planner_lease({ .self = name }), std::nullopt });
        }
        append(change);
    }

    void step(std::size_t index, std::size_t unread, milliseconds passed)
    {
        m_now += passed;
        process& awake = m_processes[index % m_processes.size()];
        if (awake.appending) {
            awake.lease.onAppended(awake.appending->askedAt, append(awake.appending->record));
            awake.appending.reset();
        }
        awake.lease.onState(
            m_prefixes[m_prefixes.size() - 1 - std::min(unread, m_prefixes.size() - 1)], m_now);
        if (const auto due = awake.lease.due(m_now))
            awake.appending = open_append { *due, m_now };
    }

    int holders() const
    {
        return static_cast<int>(std::count_if(m_processes.begin(), m_processes.end(),
            [&](const process& each) { return each.lease.fence(m_now).has_value(); }));
    }

    std::size_t appends() const { return m_prefixes.size(); }

private:
    std::uint64_t append(const record_body& body)
    {
        const std::uint64_t offset = m_prefixes.back().nextOffset;
        const std::string text = formatRecord({ "r" + std::to_string(offset), defaultRecordSchema, body });
        m_prefixes.push_back(fold(m_prefixes.back(), offset, text).state);
        return offset;
    }

    std::vector<process> m_processes;
    std::vector<fleet_state> m_prefixes { fleet_state {} };
    monotonic_time m_now { start };
};

} // namespace

TEST_CASE("planner lease properties: no two believe that they hold it at once, whatever pauses and delays")
{
    CHECK(rc::check("at most one holder", [] {
        lease_world world(*rc::gen::inRange(2, 5));
        int held = 0;
        for (int count = 0; count < 150; ++count) {
            const auto index = *rc::gen::inRange<std::size_t>(0, 12);
            const auto unread = *rc::gen::weightedElement<std::size_t>({ { 6, 0 }, { 1, 1 }, { 1, 3 } });
            const int passed
                = *rc::gen::weightedElement<int>({ { 8, 100 }, { 4, 700 }, { 1, 4000 }, { 1, 12000 } });
            world.step(index, unread, milliseconds(passed));
            RC_ASSERT(world.holders() <= 1);
            held += world.holders();
        }
        RC_CLASSIFY(held > 30, "held in a fifth of the steps");
    }));
}

TEST_CASE("planner lease properties: with prompt reads it is always held, and renewed rarely")
{
    lease_world world(3);
    int unheld = 0;
    for (int count = 0; count < 1200; ++count) {
        world.step(static_cast<std::size_t>(count), 0, milliseconds(100));
        unheld += world.holders() == 1 ? 0 : 1;
    }
    // Two minutes: the start, and for each renewal the steps until its record is read.
    CHECK(unheld < 200);
    CHECK(world.appends() <= 2 + 120 / 5 + 2);
}
