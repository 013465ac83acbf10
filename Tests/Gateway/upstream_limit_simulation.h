#pragma once

#include "Gateway/coordinator.h"
#include "Limit/send_credit.h"
#include "Limit/standstill_guard.h"

#include <deque>
#include <random>
#include <vector>

namespace sagesaddle {

/// \brief Gateways that send requests to one upstream with a request limit, and their coordinator, in
/// simulated time. The upstream states its limit in each answer from limitStatedAt on. If its service states
/// a limit for cold upstreams, it restarts or turns cold every 5 s on average.
class upstream_limit_simulation {
public:
    /// What follows on the failure of a coordinator, which happens every 5 s on average.
    enum class coordinator_loss {
        None,
        /// The successor grants shares after 0.1 to 0.6 s, and the whole limit once it has the lease.
        Successor,
        /// Nobody coordinates for 0.5 to 3 s.
        Total,
    };

    struct settings {
        int gateways { 1 };
        /// The limit that the upstream states; nothing if it states none.
        std::optional<double> requestsPerSecond { 1 };
        /// Requests a second that callers send, before and after the limit is stated.
        double demand { 10 };
        coordinator_loss loss { coordinator_loss::None };
        /// Whether processes stand still now and then for up to 4 s. What they send in the 4 s after that
        /// does not count.
        bool freezesGateways { false };
        unsigned seed { 1 };
        /// Requests a second that the upstream takes while it is cold; 0 if it is never cold.
        double coldPerSecond { 0 };
    };

    static constexpr milliseconds step { 10 };
    static constexpr seconds limitStatedAt { 4 };
    static constexpr seconds end { 34 };
    static constexpr milliseconds coldTime { 3000 };

    explicit upstream_limit_simulation(const settings& value);

    void run();

    /// \return the largest number of requests in 4 s from 3 s after the limit was stated, of gateways that
    /// had passed on an answer with it half a second before.
    int mostInWindow() const;
    /// \return the same without the requests that a gateway sent before it had passed on such an answer.
    int mostInWindowOfTold() const;
    /// \return requests a second from 4 s after the limit was stated.
    double throughput() const;
    /// \return the largest number of requests in 1 s to a cold process: from its start, or from when all
    /// gateways know that it turned cold.
    int mostInColdWindow() const;
    /// \return requests a second to a cold process from when all gateways know that it is cold.
    double coldThroughput() const;

private:
    struct arrival {
        monotonic_time at;
        int gateway;
        bool isExcused;
        bool isTold;
        /// The process that got it.
        std::int64_t startedAt;
    };

    /// The upstream starts anew, or turns cold while in use.
    struct cold_event {
        monotonic_time at;
        std::int64_t startedAt;
        bool isStart;
    };

    struct gateway_state {
        send_credit credit { milliseconds(500) };
        /// When the caller of each waiting request gives up.
        std::deque<monotonic_time> waiting;
        /// Answers on their way: when each arrives, with its limit and when its request was sent.
        std::deque<std::tuple<monotonic_time, upstream_limit, monotonic_time>> answers;
        monotonic_time reportDueAt {};
        monotonic_time frozenUntil {};
        monotonic_time excusedUntil {};
        std::optional<monotonic_time> toldAt;
        upstream_list list { seconds(2) };
        cold_limits cold;
        standstill_guard standstill;
        /// When it reads the list itself, if no coordinator tells it.
        monotonic_time readsListAt {};
        bool wantsFullUpdate { true };
        /// Whether the credit has something to report without delay.
        bool isUrgent { false };

        /// \return whether advance() would change anything.
        bool isDue(monotonic_time now) const
        {
            return isUrgent || !answers.empty() || now >= readsListAt || !waiting.empty()
                || now >= reportDueAt;
        }
    };

    void turnCold(monotonic_time now);
    void startCoordinator(monotonic_time now);
    void readRecord(gateway_state& gateway, const upstream_record& record, monotonic_time now);
    void readListed(gateway_state& gateway, const listed_upstream& item, monotonic_time now);
    void readColdBroadcast(monotonic_time now);
    void failCoordinator(monotonic_time now);
    void restoreCoordinator(monotonic_time now);
    template <typename Counts> int mostInWindow(const Counts& counts) const;
    void advance(gateway_state& gateway, int index, monotonic_time now);
    void report(gateway_state& gateway, int index, monotonic_time now);
    void sendWaiting(gateway_state& gateway, int index, monotonic_time now);

    settings m_settings;
    std::minstd_rand m_random;
    std::optional<coordinator> m_coordinator;
    monotonic_time m_coordinatorBackAt {};
    /// When the successor of a failed coordinator has the lease.
    std::optional<monotonic_time> m_leaseTakenAt;
    std::vector<gateway_state> m_gateways;
    std::vector<arrival> m_arrivals;
    fleet_config m_config;
    upstream_record m_record;
    /// The list as the coordinators read it, and when they read it next.
    upstream_list m_list { seconds(2) };
    monotonic_time m_listReadAt {};
    std::vector<cold_event> m_coldEvents;
};

} // namespace sagesaddle
