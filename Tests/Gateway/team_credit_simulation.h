#pragma once

#include "Fleet/coordinator_lease.h"
#include "Gateway/coordinator.h"
#include "Limit/credit_cache.h"
#include "Limit/credit_wait.h"

#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace sagesaddle {

/// \brief Gateways that share the limit of one team and their coordinators, in simulated time, while
/// processes and the store fail.
class team_credit_simulation {
public:
    struct settings {
        int gateways { 4 };
        double ratePerSecond { 10000 };
        double burst { 10000 };
        /// Tokens a second that callers ask for in the busy ones of random phases.
        double demand { 30000 };
        /// Whether the coordinator is killed or suspended, all gateways are killed, and the store falls
        /// silent, each every 12 s on average.
        bool killsCoordinators { false };
        bool killsAll { false };
        bool silencesStore { false };
        unsigned seed { 1 };
    };

    static constexpr milliseconds step { 10 };
    static constexpr seconds end { 60 };
    static constexpr seconds window { 8 };

    explicit team_credit_simulation(const settings& value);

    void run();

    /// \return the largest number of tokens that were spent in any window.
    double mostInWindow() const;
    /// \return tokens that were spent, as a part of the rate.
    double use() const;
    /// \return the number of grants of coordinators without a lease while the store was silent.
    int grantsBeyondLease() const { return m_grantsBeyondLease; }

private:
    struct waiting_request {
        monotonic_time arrivedAt;
        double tokens;
        bool isRequested;
    };

    struct process {
        process(
            const std::string& member, const std::string& prefix, const settings& value, monotonic_time now);

        coordinator_lease lease;
        lease_outlasting outlasting;
        coordinator duty;
        credit_cache cache;
        std::deque<waiting_request> waiting;
        monotonic_time startedAt;
        monotonic_time storeAnsweredAt;
        monotonic_time newsAt {};
        monotonic_time interimNewsAt {};
        monotonic_time reportedAt {};
        /// When a call for the lease ends without an answer, and whether it is an append.
        std::optional<std::pair<monotonic_time, bool>> unanswered;
        std::string successor;
        unsigned gatewayCount { 1 };
        int peer { -1 };
        bool isLeaseCallUnanswered { false };
        bool isCoordinating { false };
        bool isInterim { false };
        bool isOwnNews { false };
    };

    void start(int index, monotonic_time now);
    void fail(monotonic_time now);
    bool isLost(const process& of, monotonic_time now) const;
    bool isStoreSilent(const process& of, monotonic_time now) const;
    void advanceLease(process& of, monotonic_time now);
    void updateCoordination(process& of, monotonic_time now);
    /// \return the process that answers reports of a gateway; -1 where none does.
    int findCoordinator(int index, monotonic_time now);
    void report(int index, monotonic_time now);
    void serve(process& of, monotonic_time now);

    settings m_settings;
    std::minstd_rand m_random;
    /// Empty while a gateway is not running.
    std::vector<std::optional<process>> m_processes;
    std::vector<monotonic_time> m_startAt;
    std::vector<monotonic_time> m_frozenUntil;
    int m_starts { 0 };
    monotonic_time m_storeSilentUntil {};
    bool m_isBusy { false };
    monotonic_time m_phaseEndsAt {};
    coordinator_lease_record m_record;
    std::vector<std::pair<monotonic_time, double>> m_spent;
    int m_grantsBeyondLease { 0 };
};

} // namespace sagesaddle
