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

/// \brief Stands in for a model engine that batches continuously.
///
/// Its answer to a prompt is the prompt's last message repeated word by word, so that an answer that went to
/// the wrong caller shows.
class fake_engine {
public:
    struct options {
        engine_memory::options memory;
        /// Requests that generate at once.
        std::uint32_t batch { 8 };
        std::uint32_t cachedPrefixes { 64 };
        /// Tokens a second of one request; 0 for as fast as it goes.
        double tokensPerSecond { 0 };
    };

    explicit fake_engine(const options& given);

    void handle(http_call& call);

private:
    struct completion {
        std::string model;
        std::vector<std::string> words;
        std::uint64_t promptTokens { 0 };
        std::uint64_t answerTokens { 0 };
        bool stream { false };
        bool batchPriority { false };

        std::string word(std::uint64_t index) const;
        nlohmann::json usage() const;
    };

    struct faults {
        bool hold { false };
        std::uint32_t cutAfterEvents { 0 };
        /// Whether a cut stream ends as a whole answer does.
        bool cutCleanly { false };
        std::uint32_t cutAnswers { 0 };
        std::uint32_t delayAnswersMs { 0 };
        double tokensPerSecond { 0 };
    };

    static completion parseCompletion(const nlohmann::json& document, const http_call& call);
    void complete(http_call& call);
    void noteArrival(const http_call& call);
    void waitForSlot(bool batchPriority);
    void releaseSlot();
    void generate(http_call& call, const completion& asked);
    void answerWhole(http_call& call, const completion& asked);
    void answerStream(http_call& call, const completion& asked);
    void pace();
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
    // Waiting requests by class: interactive, batch.
    std::array<std::uint32_t, 2> m_waiting { 0, 0 };
    // Classes of the last requests in the order in which they got a place in the batch.
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
