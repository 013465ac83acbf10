#pragma once

#include "Base/address.h"
#include "Base/clock.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sagesaddle::testing {

/// \brief Tokens of a chat request of a rate test, as the engine counts them.
struct token_counts {
    std::uint32_t prompt { 2 };
    std::uint32_t answer { 18 };
};

/// \brief What became of the requests of a rate test.
struct load_result {
    std::uint64_t admitted { 0 };
    std::uint64_t refusedForRate { 0 };
    /// Other refusals, by reason.
    std::map<std::string, std::uint64_t> refusedOtherwise;
    std::uint64_t unanswered { 0 };
};

/// \brief Callers of one team that send all the time, and the account of what they got.
class load_generator {
public:
    struct options {
        std::vector<address> entries;
        std::string team;
        token_counts size;
        std::size_t callers { 1 };
        /// Requests of ten that go to the first entry, the others to the second.
        std::size_t firstEntryTenths { 5 };
        /// Time between a caller's requests.
        milliseconds pause { 10 };
    };

    explicit load_generator(options given);

    /// Lets the callers go on for that long.
    void waitFor(milliseconds length);
    void stopAfter(milliseconds length);

    load_result report() const;

    /// \return the time since the first request.
    monotonic_duration length() const { return monotonicNow() - m_start; }

    /// \return by how many tokens, at most, the use within any window of the run exceeds `burst + rate ×
    /// window`:
    ///         a request counts in each window that holds both its start and its end.
    double maxExcessTokens(double rate, double burst) const;

private:
    struct sample {
        monotonic_time sent;
        monotonic_time done;
    };

    void callAllTheTime(std::size_t number, const std::stop_token& stop);
    void callOnce(const address& entry);

    options m_options;
    const monotonic_time m_start { monotonicNow() };
    mutable std::mutex m_mutex;
    std::vector<sample> m_admitted;
    load_result m_report;
    std::vector<std::jthread> m_callers;
};

} // namespace sagesaddle::testing
