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

/// \brief Tokens of the prompt and of the answer of a chat request, as the engine counts them.
struct token_counts {
    std::uint32_t prompt { 2 };
    std::uint32_t answer { 18 };
};

/// \brief Numbers of requests by their outcome.
struct load_result {
    /// Answered with 200.
    std::uint64_t admitted { 0 };
    /// Answered with 429.
    std::uint64_t refusedForRate { 0 };
    /// Other error answers, by the reason of the problem document.
    std::map<std::string, std::uint64_t> refusedOtherwise;
    /// No complete answer within the timeout of a request, 10 s.
    std::uint64_t unanswered { 0 };
};

/// \brief Sends chat requests of one team without pause, from several threads, and records their outcomes.
class load_generator {
public:
    struct options {
        std::vector<address> entries;
        std::string team;
        token_counts tokens;
        std::size_t callers { 1 };
        /// Number of each ten requests that go to the first entry; the others go to the second.
        std::size_t firstEntryTenths { 5 };
        /// Time from an answer to the next request of the same caller.
        milliseconds pause { 10 };
    };

    /// \brief Starts the callers.
    explicit load_generator(options given);

    /// \brief Blocks for a time while the callers go on.
    void waitFor(milliseconds duration);
    /// \brief Blocks for a time, then stops the callers and waits for their last answers.
    void stopAfter(milliseconds duration);

    /// \return the outcomes so far.
    load_result result() const;

    /// \return the time since the callers were started.
    monotonic_duration duration() const { return monotonicNow() - m_start; }

    /// \brief Compares the admitted requests with a token bucket in every time window of the run. A request
    ///        counts in each window that contains both its start and its end.
    /// \param rate in tokens per second
    /// \param burst in tokens
    /// \return the largest number of tokens by which a window exceeds `burst + rate × window`; negative or 0
    ///         where none does
    double maxExcessTokens(double rate, double burst) const;

private:
    struct sample {
        monotonic_time sent;
        monotonic_time done;
    };

    void sendRepeatedly(std::size_t callerIndex, const std::stop_token& stop);
    void sendOnce(const address& entry);

    options m_options;
    const monotonic_time m_start { monotonicNow() };
    mutable std::mutex m_mutex;
    std::vector<sample> m_admitted;
    load_result m_result;
    std::vector<std::jthread> m_callers;
};

} // namespace sagesaddle::testing
