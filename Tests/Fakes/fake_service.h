#pragma once

#include "Fakes/header_recorder.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sagesaddle::testing {

/// \brief Fake of a plain service, which counts the requests that it executes.
class fake_service {
public:
    /// \param name name of the service in its answers
    explicit fake_service(std::string name);

    /// \brief Answers a request. It counts as an execution except at the paths `/admin/executions`,
    ///        `/admin/stats` and `/admin/faults`.
    void handle(http_call& call);

private:
    void execute(http_call& call);
    void setFaults(const nlohmann::json& document);
    nlohmann::json executions();

    std::string m_name;
    std::mutex m_mutex;
    std::condition_variable m_released;
    std::uint64_t m_total { 0 };
    std::map<std::string, std::uint64_t> m_byKey;
    std::map<std::string, std::uint64_t> m_byRequest;
    std::map<std::string, std::uint64_t> m_byTeam;
    header_recorder m_headers;
    // Requests are counted and then wait, for at most `maxHoldTime`.
    bool m_hold { false };
    std::uint32_t m_delayMs { 0 };
    // Numbers of the next answers that are dropped, or cut off in the middle of the body.
    std::uint32_t m_loseAnswers { 0 };
    std::uint32_t m_cutAnswers { 0 };
    // Status of all answers; 0 for 200.
    std::uint16_t m_failStatus { 0 };
};

} // namespace sagesaddle::testing
