#include "Support/calls.h"

#include "Support/fleet_records.h"

#include <sstream>
#include <stdexcept>
#include <vector>

namespace sagesaddle::testing {

namespace {

constexpr milliseconds requestTimeout { 30000 };
constexpr std::string_view dataPrefix = "data: ";

std::vector<std::string> eventsOf(const std::string& body)
{
    std::vector<std::string> events;
    std::istringstream stream(body);
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with(dataPrefix))
            events.push_back(line.substr(dataPrefix.size()));
    }
    return events;
}

std::string streamedText(const std::string& body)
{
    const std::vector<std::string> events = eventsOf(body);
    if (events.empty() || events.back() != "[DONE]")
        return {};
    std::string text;
    for (std::size_t i = 0; i + 1 < events.size(); ++i) {
        const auto document = nlohmann::json::parse(events[i]);
        for (const auto& choice : document.value("choices", nlohmann::json::array()))
            text += choice.at("delta").value("content", "");
    }
    return text;
}

} // namespace

http_response send(http_request request, const std::string& team)
{
    if (!team.empty())
        request.headers.emplace_back("Authorization", "Bearer " + secretOf(team));
    http_response response;
    http_sink sink;
    sink.onHead = [&](std::uint16_t status, const auto& headers) {
        response.status = status;
        response.headers = headers;
    };
    sink.onData = [&](std::string_view bytes) { response.body.append(bytes); };
    try {
        http_client().stream(request, sink);
    } catch (const http_error& error) {
        response.status = 0;
        if (response.body.empty())
            response.body = error.what();
    }
    return response;
}

http_request chatRequest(const address& entry, const chat_call& call)
{
    http_request request;
    request.method = "POST";
    request.server = entry;
    request.target = "/v1/chat/completions";
    request.timeout = requestTimeout;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = nlohmann::json {
        { "model", call.model }, { "max_tokens", call.tokens }, { "stream", call.stream },
        { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", call.prompt } } }) }
    }.dump();
    return request;
}

http_response chat(const address& entry, const std::string& team, const chat_call& call)
{
    return send(chatRequest(entry, call), team);
}

http_request serviceRequest(
    const address& entry, const std::string& path, const std::string& key, const std::string& body)
{
    http_request request;
    request.method = "POST";
    request.server = entry;
    request.target = path;
    request.timeout = requestTimeout;
    request.headers = { { "Content-Type", "application/json" } };
    if (!key.empty())
        request.headers.emplace_back("Idempotency-Key", key);
    request.body = body;
    return request;
}

http_response callService(const address& entry, const std::string& team, const std::string& path,
    const std::string& key, const std::string& body)
{
    return send(serviceRequest(entry, path, key, body), team);
}

std::string expectedText(const chat_call& call)
{
    std::istringstream stream(call.prompt);
    const std::vector<std::string> words { std::istream_iterator<std::string>(stream), {} };
    std::string text;
    for (std::uint32_t i = 0; i < call.tokens; ++i)
        text += (i == 0 ? "" : " ") + words[i % words.size()];
    return text;
}

std::string textOf(const http_response& response)
{
    if (response.status != 200)
        return {};
    if (response.header("content-type").starts_with("text/event-stream"))
        return streamedText(response.body);
    return nlohmann::json::parse(response.body).at("choices").at(0).at("message").at("content");
}

std::string problemMember(const http_response& response, const std::string& name)
{
    const auto document = nlohmann::json::parse(response.body, nullptr, false);
    return document.is_object() ? document.value(name, "") : "";
}

std::uint16_t statusOf(const address& server, const std::string& target)
{
    http_request request;
    request.server = server;
    request.target = target;
    return send(request, "").status;
}

nlohmann::json getJson(const address& server, const std::string& target)
{
    http_request request;
    request.server = server;
    request.target = target;
    return nlohmann::json::parse(send(request, "").body);
}

std::optional<nlohmann::json> tryGetJson(const address& server, const std::string& target)
{
    try {
        return getJson(server, target);
    } catch (const nlohmann::json::parse_error&) {
        // A process that is busy or was just resumed may not answer within the request's timeout.
        return std::nullopt;
    }
}

void setFaults(const address& fake, const nlohmann::json& faults)
{
    http_request request;
    request.method = "POST";
    request.server = fake;
    request.target = "/admin/faults";
    request.body = faults.dump();
    if (send(request, "").status != 200)
        throw std::runtime_error(
            "the fake at " + formatAddress(fake) + " did not confirm the faults set for it");
}

} // namespace sagesaddle::testing
