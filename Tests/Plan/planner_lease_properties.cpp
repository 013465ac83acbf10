#include "Plan/planner_lease.h"
#include "Record/fold.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sagesaddle;

namespace {

using testing::start;

// An append that was started but is not in the log yet, because its process is paused.
struct pending_append {
    lease_record record;
    monotonic_time sentAt;
};

struct process {
    planner_lease lease;
    std::optional<pending_append> appending;
};

// Entries that share a log. In each step one entry completes its append, reads a part of the log and may
// start an append; the others are paused.
class lease_simulation {
public:
    explicit lease_simulation(int entries)
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
            awake.lease.onAppended(awake.appending->sentAt, append(awake.appending->record));
            awake.appending.reset();
        }
        awake.lease.onState(m_states[m_states.size() - 1 - std::min(unread, m_states.size() - 1)], m_now);
        if (const auto record = awake.lease.nextRecord(m_now))
            awake.appending = pending_append { *record, m_now };
    }

    int holders() const
    {
        return static_cast<int>(std::count_if(m_processes.begin(), m_processes.end(),
            [&](const process& each) { return each.lease.fence(m_now).has_value(); }));
    }

    std::size_t appends() const { return m_states.size(); }

private:
    std::uint64_t append(const record_body& body)
    {
        const std::uint64_t offset = m_states.back().nextOffset;
        const std::string text = formatRecord({ "r" + std::to_string(offset), defaultRecordSchema, body });
        m_states.push_back(fold(m_states.back(), offset, text).state);
        return offset;
    }

    std::vector<process> m_processes;
    // The state after each record of the log.
    std::vector<fleet_state> m_states { fleet_state {} };
    monotonic_time m_now { start };
};

} // namespace

TEST_CASE(
    "planner lease properties: two entries never hold the lease at once, whatever pauses and delays occur")
{
    CHECK(rc::check("at most one holder", [] {
        lease_simulation simulation(*rc::gen::inRange(2, 5));
        int held = 0;
        for (int count = 0; count < 150; ++count) {
            const auto index = *rc::gen::inRange<std::size_t>(0, 12);
            const auto unread = *rc::gen::weightedElement<std::size_t>({ { 6, 0 }, { 1, 1 }, { 1, 3 } });
            const int passed
                = *rc::gen::weightedElement<int>({ { 8, 100 }, { 4, 700 }, { 1, 4000 }, { 1, 12000 } });
            simulation.step(index, unread, milliseconds(passed));
            RC_ASSERT(simulation.holders() <= 1);
            held += simulation.holders();
        }
        RC_CLASSIFY(held > 30, "held in a fifth of the steps");
    }));
}

TEST_CASE("planner lease properties: with prompt reads the lease is held most of the time and renewed rarely")
{
    lease_simulation simulation(3);
    int unheld = 0;
    for (int count = 0; count < 1200; ++count) {
        simulation.step(static_cast<std::size_t>(count), 0, milliseconds(100));
        unheld += simulation.holders() == 1 ? 0 : 1;
    }
    // Two minutes. The lease is not held at the start and, for each renewal, until its record is read.
    CHECK(unheld < 200);
    CHECK(simulation.appends() <= 2 + 120 / 5 + 2);
}
