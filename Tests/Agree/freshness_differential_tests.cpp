#include "Agree/freshness_tracker.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sagesaddle;

namespace {

constexpr std::int64_t maxStateAgeMs = 2000;

using testing::at;

// One entry of a simulated fleet: its tracker, and the actual state that the property is checked against.
struct simulated_entry {
    std::string name;
    freshness_tracker freshnessTracker;
    std::uint64_t nextOffset { 0 };
    std::int64_t lastReadMs { -1000000 };
    bool isWithoutLog { false };
    /// When this entry was last without the log.
    std::int64_t lastWithoutLogMs { -1000000 };
};

// A log that counts accepted records, entries whose reads of it succeed or fail, and requests between the
// entries with any delay.
class simulated_fleet {
public:
    explicit simulated_fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string name(1, static_cast<char>('a' + index));
            m_listed[name].name = name;
            m_entries.push_back({ name, freshness_tracker(name, milliseconds(maxStateAgeMs)) });
        }
    }

    void step(std::uint8_t kind, std::uint8_t actor, std::uint8_t other, std::uint8_t delay)
    {
        m_nowMs += delay * 5;
        simulated_entry& entry = m_entries[actor % m_entries.size()];
        switch (kind % 5) {
        case 0:
            m_acceptedAtMs.push_back(m_nowMs);
            break;
        case 1:
            read(entry, delay);
            break;
        case 2:
            entry.isWithoutLog = true;
            entry.freshnessTracker.onLogFailure();
            break;
        default:
            request(entry, m_entries[other % m_entries.size()], delay);
        }
        for (simulated_entry& each : m_entries)
            each.lastWithoutLogMs = each.isWithoutLog ? m_nowMs : each.lastWithoutLogMs;
    }

    // Returns whether each fresh entry has all records accepted before the maximum age, or else a majority is
    // actually without the log.
    bool isSafe() const
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [this](const simulated_entry& entry) {
            return !entry.freshnessTracker.evaluate(at(m_nowMs), entry.nextOffset, m_listed).isFresh
                || hasAcceptedRecords(entry) || isMajorityWithoutLog();
        });
    }

    std::size_t freshEntries() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(), [this](const auto& entry) {
                return entry.freshnessTracker.evaluate(at(m_nowMs), entry.nextOffset, m_listed).isFresh;
            }));
    }

private:
    void read(simulated_entry& entry, std::uint8_t delay)
    {
        const std::int64_t sentMs = m_nowMs;
        entry.nextOffset = m_acceptedAtMs.size();
        m_nowMs += delay;
        entry.isWithoutLog = false;
        entry.lastReadMs = sentMs;
        entry.freshnessTracker.onLogRead(at(sentMs));
    }

    void request(simulated_entry& entry, const simulated_entry& peer, std::uint8_t delay)
    {
        if (entry.name == peer.name)
            return;
        const std::int64_t sentMs = m_nowMs;
        m_nowMs += delay;
        const peer_log_status status { peer.nextOffset, milliseconds(m_nowMs - peer.lastReadMs),
            peer.isWithoutLog };
        m_nowMs += delay / 2;
        if (delay % 3 != 0)
            entry.nextOffset = std::max(entry.nextOffset, peer.nextOffset);
        entry.freshnessTracker.onPeerAnswer(peer.name, at(sentMs), status);
    }

    bool hasAcceptedRecords(const simulated_entry& entry) const
    {
        const auto acceptedBefore
            = std::ranges::lower_bound(m_acceptedAtMs, m_nowMs - maxStateAgeMs) - m_acceptedAtMs.begin();
        return entry.nextOffset >= static_cast<std::uint64_t>(acceptedBefore);
    }

    bool isMajorityWithoutLog() const
    {
        const auto withoutLog = std::count_if(m_entries.begin(), m_entries.end(),
            [this](const auto& entry) { return entry.lastWithoutLogMs >= m_nowMs - maxStateAgeMs; });
        return 2 * static_cast<std::size_t>(withoutLog) > m_entries.size();
    }

    std::int64_t m_nowMs { 0 };
    std::vector<std::int64_t> m_acceptedAtMs;
    std::vector<simulated_entry> m_entries;
    std::map<std::string, entry_config> m_listed;
};

} // namespace

TEST_CASE("freshness: a fresh entry has all accepted records, or a majority cannot reach the log")
{
    CHECK(rc::check("fresh means complete, or a majority is without the log", [] {
        simulated_fleet fleet(*rc::gen::inRange<std::size_t>(1, 6));
        std::size_t fresh = 0;
        const auto choices = *rc::gen::container<std::vector<std::uint8_t>>(
            400, rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint8_t>()));
        for (std::size_t index = 0; index + 3 < choices.size(); index += 4) {
            fleet.step(choices[index], choices[index + 1], choices[index + 2], choices[index + 3]);
            RC_ASSERT(fleet.isSafe());
            fresh += fleet.freshEntries();
        }
        RC_CLASSIFY(fresh > 50, "often fresh");
    }));
}
