#include "Agree/log_client.h"

#include "Base/http_status.h"
#include "Base/scope_guard.h"
#include "Serve/http_client.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

using nlohmann::json;

std::string recordsPath(const std::string& stream)
{
    return "/v1/streams/" + stream + "/records";
}

// Any other unexpected status leaves open whether the log stored the records.
[[noreturn]] void throwForStatus(const std::string& what, const http_response& response)
{
    if (response.status == statusTooManyRequests)
        throw log_error(what + ": the log's limit of appends a second is exceeded; retry later",
            log_failure::Throttled, verdict::NotRun);
    if (response.status == 503)
        throw log_error(
            what + ": the log answered that it is unavailable", log_failure::Unreachable, verdict::NotRun);
    throw log_error(what + ": unexpected status " + std::to_string(response.status), log_failure::Malformed,
        verdict::MayHaveRun);
}

template <typename Parse>
auto parseResponse(const std::string& what, const http_response& response, Parse parse)
{
    try {
        return parse(json::parse(response.body));
    } catch (const json::exception& error) {
        throw log_error(
            what + ": malformed answer: " + error.what(), log_failure::Malformed, verdict::MayHaveRun);
    }
}

void checkBatch(const std::string& what, const log_batch& batch, std::uint64_t from)
{
    const bool countMatches = batch.next - batch.first == batch.records.size() && batch.next >= batch.first;
    if (batch.first != from || !countMatches || batch.end < batch.next)
        throw log_error(what + ": malformed answer: its offsets do not match the records",
            log_failure::Malformed, verdict::NotRun);
}

log_batch parseBatch(const json& answer)
{
    return { answer.at("first").get<std::uint64_t>(), answer.at("next").get<std::uint64_t>(),
        answer.at("end").get<std::uint64_t>(), answer.at("earliest").get<std::uint64_t>(),
        answer.at("records").get<std::vector<std::string>>() };
}

} // namespace

log_error::log_error(const std::string& what, log_failure failure, verdict ran, std::uint64_t earliestOffset)
    : std::runtime_error(what)
    , m_failure(failure)
    , m_verdict(ran)
    , m_earliestOffset(earliestOffset)
{
}

struct log_client::impl {
    address server;
    milliseconds timeout;
    std::atomic<bool> stopped { false };
    // Guards `idleClients`.
    std::mutex mutex;
    std::vector<std::unique_ptr<http_client>> idleClients;

    std::unique_ptr<http_client> takeClient()
    {
        const std::lock_guard lock(mutex);
        if (idleClients.empty())
            return std::make_unique<http_client>();
        std::unique_ptr<http_client> client = std::move(idleClients.back());
        idleClients.pop_back();
        return client;
    }

    http_response exchange(http_request request)
    {
        request.server = server;
        request.connectTimeout = timeout;
        http_response response;
        http_sink sink;
        sink.onHead = [&](std::uint16_t status, const auto&) { response.status = status; };
        sink.onData = [&](std::string_view bytes) { response.body.append(bytes); };
        sink.isCancelled = [this] { return stopped.load(); };
        std::unique_ptr<http_client> client = takeClient();
        client->stream(request, sink);
        const std::lock_guard lock(mutex);
        idleClients.push_back(std::move(client));
        return response;
    }

    http_response call(const std::string& what, http_request request)
    {
        if (stopped)
            throw log_error(what + ": the log client was stopped", log_failure::Unreachable, verdict::NotRun);
        try {
            return exchange(std::move(request));
        } catch (const http_error& error) {
            throw log_error(what + ": " + error.what(), log_failure::Unreachable, error.ran());
        }
    }
};

log_client::log_client(address server, milliseconds timeout)
    : m_impl(std::make_unique<impl>())
{
    m_impl->server = std::move(server);
    m_impl->timeout = timeout;
}

log_client::~log_client() = default;

void log_client::stop()
{
    m_impl->stopped = true;
}

log_range log_client::append(const std::string& stream, const std::vector<std::string>& records)
{
    const std::string what = "append to log stream " + stream + " at " + formatAddress(m_impl->server);
    http_request request;
    request.method = "POST";
    request.target = recordsPath(stream);
    request.headers = { { "Content-Type", "application/json" } };
    request.body = json { { "records", records } }.dump();
    request.timeout = m_impl->timeout;
    const http_response response = m_impl->call(what, std::move(request));
    if (response.status != statusOk)
        throwForStatus(what, response);
    const log_range range = parseResponse(what, response, [](const json& answer) {
        return log_range { answer.at("first").get<std::uint64_t>(), answer.at("next").get<std::uint64_t>() };
    });
    if (range.next < range.first || range.next - range.first != records.size())
        throw log_error(what + ": malformed answer: its offsets do not match the records",
            log_failure::Malformed, verdict::MayHaveRun);
    return range;
}

log_batch log_client::read(
    const std::string& stream, std::uint64_t from, std::uint32_t limit, milliseconds wait)
{
    const std::string what = "read of log stream " + stream + " at " + formatAddress(m_impl->server);
    http_request request;
    request.target = recordsPath(stream) + "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit)
        + "&wait_ms=" + std::to_string(wait.count());
    request.timeout = m_impl->timeout + wait;
    const http_response response = m_impl->call(what, std::move(request));
    if (response.status == statusNotFound)
        return { from, from, from, 0, {} };
    if (response.status == statusGone) {
        const auto earliest = parseResponse(
            what, response, [](const json& answer) { return answer.at("earliest").get<std::uint64_t>(); });
        throw log_error(what + ": records before offset " + std::to_string(earliest) + " have lapsed",
            log_failure::Lapsed, verdict::NotRun, earliest);
    }
    if (response.status != statusOk)
        throwForStatus(what, response);
    log_batch batch = parseResponse(what, response, parseBatch);
    checkBatch(what, batch, from);
    return batch;
}

} // namespace sagesaddle
