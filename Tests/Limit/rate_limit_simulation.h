#pragma once

#include "Limit/fleet_state_builder.h"
#include "Limit/rate_limiter_core.h"

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace sagesaddle::testing {

/// \brief A charge that an entry made for a team, in true time.
struct admitted_charge {
    std::string team;
    monotonic_time at;
    token_count tokens { 0 };
};

/// \brief A request that waits for credit, and what became of it.
struct rate_request {
    std::uint64_t id { 0 };
    std::string entry;
    std::string team;
    token_count tokens { 0 };
    monotonic_time until;
    bool ended { false };
    rate_decision decision;
};

/// \brief Entries that share team rates over a bad network, all in one thread and stepped by time.
///
/// An entry admits only while it is fresh: while it has read the log to its end less than
/// `freshnessLimit` ago. Clocks of entries differ by constants.
class rate_limit_simulation {
public:
    struct options {
        rate_limiter_core::sharing_options sharing {};
        double loss { 0 };
        double doubling { 0 };
        milliseconds minDelay { 0 };
        milliseconds maxDelay { 1 };
        /// Entries read the log to its end this often; zero for only when told.
        milliseconds syncEvery { 0 };
    };

    rate_limit_simulation(options settings, std::uint64_t seed);

    monotonic_time now() const { return m_now; }
    fleet_state_builder& records() { return m_records; }
    const std::vector<admitted_charge>& charges() const { return m_charges; }
    std::uint64_t messages() const { return m_messages; }

    /// Starts an entry, or a new process of the same name.
    void startEntry(const std::string& name);
    /// Starts a second process, called `twin` here, under an entry's name; messages reach either of them.
    void startDuplicate(const std::string& twin, const std::string& name);
    std::uint64_t runOf(const std::string& entry) const { return m_entries.at(entry).member.runId(); }
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void wake(const std::string& name);
    bool isAlive(const std::string& name) const { return m_entries.contains(name); }

    /// The log cannot be read and nobody relays it; entries stay fresh by agreeing that it is away.
    void setLogAway(bool away) { m_logAway = away; }

    /// The entry reads the log to its end.
    void sync(const std::string& name);

    /// Sends a request; \return its place in `requests()`.
    std::size_t send(const std::string& entry, const std::string& team, token_count tokens);
    const std::vector<rate_request>& requests() const { return m_requests; }

    /// \return tokens of a team that all entries together could charge without a message.
    token_count spendableTokens(const std::string& team);

    /// Lets time pass in steps of a millisecond.
    void run(milliseconds span);

private:
    /// \brief A running process.
    struct process {
        rate_limiter_core member;
        std::chrono::nanoseconds clockOffset;
        monotonic_time evidence;
        monotonic_time nextSync;
        monotonic_time nextHousekeeping;
        bool frozen { false };
    };

    /// \brief A message under way.
    struct delivery {
        monotonic_time due;
        std::uint64_t order;
        std::string from;
        std::string to;
        std::variant<credit_ask, credit_grant> value;

        bool operator>(const delivery& other) const
        {
            return due != other.due ? due > other.due : order > other.order;
        }
    };

    bool chance(double probability);
    void start(const std::string& name, const std::string& entry);
    void post(
        const std::string& from, const std::string& to, const std::variant<credit_ask, credit_grant>& value);
    void postAll(const std::string& from, const std::vector<addressed_ask>& asks);
    void deliverDue();
    /// What came for a frozen entry is delivered next.
    void release(const std::string& name);
    void deliver(const delivery& message);
    void serve(rate_request& request);
    void tick(const std::string& name, process& value);
    monotonic_time clockOf(const process& value) const { return m_now + value.clockOffset; }

    options m_settings;
    std::mt19937_64 m_random;
    monotonic_time m_now { seconds(100'000) };
    fleet_state_builder m_records;
    bool m_logAway { false };
    std::map<std::string, process> m_entries;
    /// Second processes by the name they run under.
    std::map<std::string, std::string> m_twins;
    std::uint64_t m_nextProcess { 1 };
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>> m_underWay;
    /// Messages that came for frozen entries.
    std::map<std::string, std::vector<delivery>> m_held;
    std::uint64_t m_messages { 0 };
    std::vector<rate_request> m_requests;
    std::vector<std::size_t> m_waiting;
    std::vector<admitted_charge> m_charges;
};

} // namespace sagesaddle::testing
