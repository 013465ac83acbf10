#pragma once

#include "Serve/http_client.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sagesaddle::testing {

/// \brief The content of a chat request that a test sends.
struct chat_call {
    std::string model { "shared" };
    std::string prompt { "oak saddle" };
    /// Length of the answer that is requested.
    std::uint32_t tokens { 4 };
    bool stream { false };
};

/// \brief Sends a request with the API key of a team.
/// \param team team whose key is added; empty for a request without a key
/// \return the complete answer. If it is incomplete, status 0 with the part of the body that arrived, or with
///         the error text where none did.
http_response send(http_request request, const std::string& team);

/// \brief Sends a chat request to an entry with the API key of a team.
http_response chat(const address& entry, const std::string& team, const chat_call& call);

/// \brief Sends a POST request for a plain service to an entry.
/// \param key idempotency key; empty for none
http_response callService(const address& entry, const std::string& team, const std::string& path,
    const std::string& key, const std::string& body = "{}");

/// \return the request that `chat` sends.
http_request chatRequest(const address& entry, const chat_call& call);

/// \return the request that `callService` sends.
http_request serviceRequest(
    const address& entry, const std::string& path, const std::string& key, const std::string& body = "{}");

/// \return the text with which the fake engine answers a chat request: the words of the prompt, repeated.
std::string expectedText(const chat_call& call);

/// \return the text of a plain or streamed chat answer; empty where its status is not 200 or the stream is
///         incomplete.
std::string textOf(const http_response& response);

/// \return a member of the answer's problem document (RFC 9457), or an empty text where it has none.
std::string problemMember(const http_response& response, const std::string& name);

/// \return the status of a GET request; 0 where there was no complete answer.
std::uint16_t statusOf(const address& server, const std::string& target);

/// \return the JSON answer to a GET request.
/// \throws nlohmann::json::parse_error where there was no complete answer or it is not JSON
nlohmann::json getJson(const address& server, const std::string& target);

/// \return the JSON answer to a GET request, or nothing where it could not be read. For polling loops, which
///         try again.
std::optional<nlohmann::json> tryGetJson(const address& server, const std::string& target);

/// \brief Sets faults that a fake then injects; faults that are not named keep their values.
/// \throws std::runtime_error where the fake does not confirm them
void setFaults(const address& fake, const nlohmann::json& faults);

} // namespace sagesaddle::testing
