#pragma once

#include "Fakes/engine_memory.h"
#include "Fakes/header_recorder.h"
#include "Fakes/prefix_cache.h"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief Fake of a model engine with continuous batching.
///
/// It answers with the words of the prompt's last message, repeated up to the requested length, so that a
/// test notices an answer that reached the wrong caller.
class fake_engine {
public:
    struct options {
        engine_memory::options memory;
        /// Number of requests that generate tokens at the same time.
        std::uint32_t batch { 8 };
        std::uint32_t cachedPrefixes { 64 };
        /// Tokens per second of one request; 0 for no limit.
        double tokensPerSecond { 0 };
    };

    explicit fake_engine(const options& given);

    /// \brief Answers a request to any path of the engine.
    void handle(http_call& call);

private:
    struct completion {
        std::string model;
        /// Words of the last message; never empty.
        std::vector<std::string> words;
        std::uint64_t promptTokens { 0 };
        std::uint64_t answerTokens { 0 };
        bool stream { false };
        bool batchPriority { false };

        /// \return the answer's token at an index, with the space before it.
        std::string token(std::uint64_t index) const;
        nlohmann::json usage() const;
    };

    struct faults {
        /// Requests with a slot wait before they start and before each token, each time for at most
        /// `maxHoldTime`.
        bool hold { false };
        /// Number of events after which the next stream is cut off; 0 for none.
        std::uint32_t cutAfterEvents { 0 };
        /// Whether the body of a cut stream has a regular end, as that of a complete answer.
        bool cutCleanly { false };
        /// Number of the next plain answers that are cut off.
        std::uint32_t cutAnswers { 0 };
        std::uint32_t delayAnswersMs { 0 };
        double tokensPerSecond { 0 };
    };

    static completion parseCompletion(const nlohmann::json& document, const http_call& call);
    void complete(http_call& call);
    /// \brief Counts a request, with the mutex held.
    void recordRequest(const http_call& call);
    /// \brief Waits for a slot of the batch; interactive requests come before batch requests.
    void waitForSlot(bool batchPriority);
    void releaseSlot();
    void generate(http_call& call, const completion& request);
    void sendPlainAnswer(http_call& call, const completion& request);
    void sendStream(http_call& call, const completion& request);
    /// \brief Waits for the time that one token takes, and while `hold` is set.
    void waitForNextToken();
    void setFaults(const nlohmann::json& document);
    nlohmann::json report();
    nlohmann::json stats();

    options m_options;
    engine_memory m_memory;
    prefix_cache m_prefixes;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    faults m_faults;
    std::uint32_t m_running { 0 };
    // Number of waiting requests by priority class: interactive, batch.
    std::array<std::uint32_t, 2> m_waiting { 0, 0 };
    // Priority classes of the newest requests, in the order in which they got a slot of the batch.
    std::deque<std::string> m_recentClasses;
    std::uint64_t m_completed { 0 };
    std::uint64_t m_cancelled { 0 };
    std::map<std::string, std::uint64_t> m_byTeam;
    std::map<std::string, std::uint64_t> m_byRequest;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_byModelAndTeam;
    std::map<std::string, std::uint64_t> m_tokensByTeam;
    header_recorder m_headers;
};

} // namespace sagesaddle::testing
