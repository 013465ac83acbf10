#pragma once

#include "Serve/http_client.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sagesaddle::testing {

/// \brief A chat request of a test.
struct chat_call {
    std::string model { "shared" };
    std::string prompt { "oak saddle" };
    std::uint32_t tokens { 4 };
    bool stream { false };
};

/// Sends a request with the key of a team.
/// \return the answer; where it is not whole, status 0 with what came of its body, or the error where nothing
/// did
http_response send(http_request request, const std::string& team);

http_response chat(const address& entry, const std::string& team, const chat_call& call);

/// Calls a plain service.
/// \param key idempotency key; empty for none
http_response callService(const address& entry, const std::string& team, const std::string& path,
    const std::string& key, const std::string& body = "{}");

/// \return the request that `chat` sends.
http_request chatRequest(const address& entry, const chat_call& call);

/// \return the request that `callService` sends.
http_request serviceRequest(
    const address& entry, const std::string& path, const std::string& key, const std::string& body = "{}");

/// \return the text that the stand-in engine answers to a call.
std::string expectedText(const chat_call& call);

/// \return the text of a plain or streamed answer; empty where it is not whole.
std::string textOf(const http_response& response);

/// \return a member of a problem document, or an empty text.
std::string problemMember(const http_response& response, const std::string& name);

/// \return the status of a GET, 0 where there was no answer.
std::uint16_t statusOf(const address& server, const std::string& target);

/// \return the JSON answer to a GET.
nlohmann::json getJson(const address& server, const std::string& target);

/// \return the page, or nothing where it could not be read this time; for waits, which ask again.
std::optional<nlohmann::json> tryGetJson(const address& server, const std::string& target);

/// Sets switches of a stand-in.
void setFaults(const address& fake, const nlohmann::json& switches);

} // namespace sagesaddle::testing
