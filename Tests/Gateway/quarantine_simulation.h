#pragma once

#include "Gateway/coordinator.h"
#include "Quarantine/prompt_quarantine.h"

#include <deque>
#include <random>
#include <set>
#include <vector>

namespace sagesaddle {

/// \brief Gateways, their coordinator and engines that crash when they begin to answer certain prompt parts,
/// in simulated time.
class quarantine_simulation {
public:
    /// What follows on the failure of a coordinator, which happens every 5 s on average.
    enum class coordinator_loss {
        None,
        /// The successor answers after 0.1 to 0.6 s.
        Successor,
        /// Nobody coordinates for 0.5 to 3 s, until 14 s after the start.
        Total,
    };

    struct settings {
        int gateways { 1 };
        int crashingParts { 1 };
        /// Share of the requests that have a crashing part.
        double crashingShare { 0.02 };
        coordinator_loss loss { coordinator_loss::None };
        /// Crashes a second with other causes, over all engines; and once half of the engines together.
        double otherCrashes { 0 };
        /// Whether gateways stand still for up to 4 s, or are replaced, now and then.
        bool disturbsGateways { false };
        unsigned seed { 1 };
    };

    explicit quarantine_simulation(const settings& value);

    void run();

    /// \return the most requests with one crashing part that reached engines later than 3 s after its fifth
    /// crash, from gateways that ran undisturbed; where nobody coordinates at times, later than 3 s after
    /// that has ended, too.
    int mostLateArrivals() const;
    /// \return sound parts that were in quarantine at any gateway.
    std::size_t quarantinedSoundParts() const { return m_quarantinedSound.size(); }
    /// \return the share of the sound requests that were answered, from 6 s after the last crashing part's
    /// fifth crash, or after its last one if there were fewer.
    double soundShare() const;
    std::size_t crashes() const { return m_crashCount; }

private:
    struct request {
        std::size_t gateway { 0 };
        std::vector<std::uint64_t> parts;
        monotonic_time sentAt {};
        monotonic_time beginsAt {};
        bool isCrashing { false };
        bool isUnderWay { false };
        std::size_t record { 0 };
    };

    struct engine_state {
        std::vector<request> requests;
        monotonic_time downUntil {};
        std::int64_t startedAt { 1 };
    };

    struct gateway_state {
        prompt_quarantine quarantine;
        /// Crashes that the gateway notices at a time.
        std::deque<upstream_crash> unnoticed;
        std::deque<quarantine_update> unread;
        monotonic_time reportDueAt {};
        monotonic_time frozenUntil {};
        monotonic_time disturbedUntil {};
        monotonic_time decidedAt {};
        bool wantsFullUpdate { true };
    };

    struct sound_record {
        monotonic_time at {};
        bool isAnswered { false };
    };

    struct crashing_part {
        std::vector<monotonic_time> crashes;
        /// When a request with it reached an engine, of gateways that ran undisturbed.
        std::vector<monotonic_time> arrivals;
    };

    bool isDrawn(double probability);
    void updateCoordinator(monotonic_time now);
    void disturb(monotonic_time now);
    void sendRequest(monotonic_time now);
    void advance(engine_state& engine, std::size_t index, monotonic_time now);
    void crash(engine_state& engine, std::size_t index, monotonic_time now);
    void advance(gateway_state& gateway, std::size_t index, monotonic_time now);
    void report(gateway_state& gateway, std::size_t index, monotonic_time now);
    void note(const std::vector<quarantined_part>& added);

    settings m_settings;
    std::minstd_rand m_random;
    std::optional<coordinator> m_coordinator;
    monotonic_time m_coordinatorBackAt {};
    std::vector<engine_state> m_engines;
    std::vector<gateway_state> m_gateways;
    std::map<std::uint64_t, crashing_part> m_crashing;
    std::vector<sound_record> m_sound;
    std::set<std::uint64_t> m_quarantinedSound;
    std::size_t m_crashCount { 0 };
};

} // namespace sagesaddle
