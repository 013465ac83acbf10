#include "Agree/freshness_judge.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sagesaddle;

namespace {

constexpr std::int64_t freshForMs = 2000;

using testing::at;

// One entry of a simulated fleet, with what the property needs to know of it.
struct simulated_entry {
    std::string name;
    freshness_judge judge;
    std::uint64_t held { 0 };
    std::int64_t lastReadMs { -1000000 };
    bool failed { false };
    /// When it last was without the log.
    std::int64_t failedUntilMs { -1000000 };
};

// A log whose accepted records are counted, entries that read it or fail to, and answers of any delay between
// them.
class simulated_fleet {
public:
    explicit simulated_fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string name(1, static_cast<char>('a' + index));
            m_listed[name].name = name;
            m_entries.push_back({ name, freshness_judge(name, milliseconds(freshForMs)) });
        }
    }

    void step(std::uint8_t kind, std::uint8_t who, std::uint8_t other, std::uint8_t delay)
    {
        m_nowMs += delay * 5;
        simulated_entry& entry = m_entries[who % m_entries.size()];
        switch (kind % 5) {
        case 0:
            m_acceptedAtMs.push_back(m_nowMs);
            break;
        case 1:
            read(entry, delay);
            break;
        case 2:
            entry.failed = true;
            entry.judge.onLogFailure();
            break;
        default:
            ask(entry, m_entries[other % m_entries.size()], delay);
        }
        for (simulated_entry& each : m_entries)
            each.failedUntilMs = each.failed ? m_nowMs : each.failedUntilMs;
    }

    // Whether no entry acts on a state without a reason that holds in the whole fleet.
    bool isSafe() const
    {
        return std::all_of(m_entries.begin(), m_entries.end(), [this](const simulated_entry& entry) {
            return !entry.judge.judge(at(m_nowMs), entry.held, m_listed).fresh || holdsAccepted(entry)
                || isAwayFromMajority();
        });
    }

    std::size_t freshEntries() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(), [this](const auto& entry) {
                return entry.judge.judge(at(m_nowMs), entry.held, m_listed).fresh;
            }));
    }

private:
    void read(simulated_entry& entry, std::uint8_t delay)
    {
        const std::int64_t sentMs = m_nowMs;
        entry.held = m_acceptedAtMs.size();
        m_nowMs += delay;
        entry.failed = false;
        entry.lastReadMs = sentMs;
        entry.judge.onLogRead(at(sentMs));
    }

    void ask(simulated_entry& entry, const simulated_entry& peer, std::uint8_t delay)
    {
        if (entry.name == peer.name)
            return;
        const std::int64_t sentMs = m_nowMs;
        m_nowMs += delay;
        const peer_evidence evidence { peer.held, milliseconds(m_nowMs - peer.lastReadMs), peer.failed };
        m_nowMs += delay / 2;
        if (delay % 3 != 0)
            entry.held = std::max(entry.held, peer.held);
        entry.judge.onPeer(peer.name, at(sentMs), evidence);
    }

    bool holdsAccepted(const simulated_entry& entry) const
    {
        const auto acceptedBefore
            = std::ranges::lower_bound(m_acceptedAtMs, m_nowMs - freshForMs) - m_acceptedAtMs.begin();
        return entry.held >= static_cast<std::uint64_t>(acceptedBefore);
    }

    bool isAwayFromMajority() const
    {
        const auto away = std::count_if(m_entries.begin(), m_entries.end(),
            [this](const auto& entry) { return entry.failedUntilMs >= m_nowMs - freshForMs; });
        return 2 * static_cast<std::size_t>(away) > m_entries.size();
    }

    std::int64_t m_nowMs { 0 };
    std::vector<std::int64_t> m_acceptedAtMs;
    std::vector<simulated_entry> m_entries;
    std::map<std::string, entry_config> m_listed;
};

} // namespace

TEST_CASE("freshness: an entry that may act holds what was accepted, or the log is away from a majority")
{
    CHECK(rc::check("fresh means held or away from a majority", [] {
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
