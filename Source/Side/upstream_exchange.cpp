#include "Side/upstream_exchange.h"

#include "Base/http_status.h"
#include "Serve/http_client.h"
#include "Side/header_rules.h"
#include "Side/usage_reader.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sagesaddle {

namespace {

using header_list = std::vector<std::pair<std::string, std::string>>;

// Larger parts of an answer are split into several frames.
constexpr std::size_t maxDataFrameBytes = 256 * 1024;
constexpr std::uint16_t minErrorStatus = 400;
constexpr const char* reasonDeadline = "deadline";

// Thrown to stop an exchange whose answer cannot be passed on or must not be.
class exchange_stopped : public std::runtime_error {
public:
    exchange_stopped(verdict ran, std::string reason, const std::string& detail)
        : std::runtime_error(detail)
        , m_verdict(ran)
        , m_reason(std::move(reason))
    {
    }

    verdict ran() const { return m_verdict; }
    const std::string& reason() const { return m_reason; }

private:
    verdict m_verdict;
    std::string m_reason;
};

// Returns the value of the header, or an empty string. The name is in lower case.
std::string findHeader(const header_list& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [&](const auto& field) { return field.first == name; });
    return found == headers.end() ? std::string() : found->second;
}

// Passes the answer to one request on to the entry in frames and counts them.
class answer_relay {
public:
    answer_relay(const request_message& request, upstream_kind kind, const exchange_hooks& hooks)
        : m_request(request)
        , m_kind(kind)
        , m_hooks(hooks)
    {
    }

    void onHead(std::uint16_t status, const header_list& headers)
    {
        if (m_kind == upstream_kind::Engine && status == statusNotFound) {
            throw exchange_stopped(verdict::NotRun, "model_not_loaded",
                "the engine does not hold the model \"" + m_request.model + "\"");
        }
        if (!hasDelimitedBody(m_request.method, status, headers)) {
            throw exchange_stopped(verdict::MayHaveRun, "answer_broken",
                "the upstream's answer has neither a length nor a terminator");
        }
        m_outcome.status = status;
        m_usage = usage_reader(findHeader(headers, "content-type"));
        send(answer_head { m_request.id, status, callerHeaders(headers) });
    }

    void onData(std::string_view bytes)
    {
        m_usage.add(bytes);
        while (!bytes.empty()) {
            const std::string_view piece = bytes.substr(0, maxDataFrameBytes);
            send(answer_data { m_request.id, m_outcome.frames, std::string(piece) });
            ++m_outcome.frames;
            m_outcome.bytes += piece.size();
            bytes.remove_prefix(piece.size());
        }
    }

    exchange_outcome finish()
    {
        if (m_kind == upstream_kind::Engine && m_usage.isEventStream() && !m_usage.isTerminated()) {
            throw exchange_stopped(
                verdict::MayHaveRun, "answer_broken", "the engine's stream ended without its last event");
        }
        m_outcome.tokensUsed = m_usage.tokensUsed();
        m_outcome.ran = verdict::Answered;
        return m_outcome;
    }

private:
    void send(const message& value)
    {
        if (!m_hooks.send(value))
            throw exchange_stopped(verdict::MayHaveRun, "entry_gone", "the entry cannot be reached");
    }

    const request_message& m_request;
    upstream_kind m_kind;
    const exchange_hooks& m_hooks;
    usage_reader m_usage { "" };
    exchange_outcome m_outcome;
};

http_request makeHttpRequest(const exchange_parameters& parameters, const request_message& request)
{
    http_request result;
    result.method = request.method;
    result.server = parameters.target;
    result.target = request.path;
    result.headers = upstreamHeaders(request, parameters.span);
    result.body = request.body;
    result.idempotent = request.idempotent;
    const auto remaining = std::chrono::duration_cast<milliseconds>(parameters.deadline - monotonicNow());
    result.timeout = std::max(remaining, milliseconds(1));
    result.connectTimeout = std::min(result.connectTimeout, result.timeout);
    return result;
}

std::string reasonOf(const http_error& error, monotonic_time deadline, const exchange_hooks& hooks)
{
    if (hooks.isCancelled())
        return "cancelled";
    if (monotonicNow() >= deadline)
        return reasonDeadline;
    return error.ran() == verdict::NotRun ? "upstream_unreachable" : "upstream_broken";
}

} // namespace

exchange_outcome unansweredOutcome(verdict ran, std::string reason, std::string detail)
{
    exchange_outcome outcome;
    outcome.ran = ran;
    outcome.reason = std::move(reason);
    outcome.detail = std::move(detail);
    return outcome;
}

bool isServiceTimeSample(const exchange_outcome& outcome)
{
    if (outcome.ran == verdict::Answered)
        return outcome.status < minErrorStatus;
    return outcome.ran == verdict::MayHaveRun && outcome.reason == reasonDeadline;
}

exchange_outcome runExchange(http_client& client, const exchange_parameters& parameters,
    const request_message& request, const exchange_hooks& hooks)
{
    if (hooks.isCancelled())
        return unansweredOutcome(verdict::NotRun, "cancelled", "the caller left before the request was sent");
    if (monotonicNow() >= parameters.deadline)
        return unansweredOutcome(verdict::NotRun, reasonDeadline, "no time was left to send the request");
    answer_relay relay(request, parameters.kind, hooks);
    http_sink sink;
    sink.onHead = [&](std::uint16_t status, const header_list& headers) { relay.onHead(status, headers); };
    sink.onData = [&](std::string_view bytes) { relay.onData(bytes); };
    sink.isCancelled = hooks.isCancelled;
    try {
        client.stream(makeHttpRequest(parameters, request), sink);
        return relay.finish();
    } catch (const exchange_stopped& stopped) {
        return unansweredOutcome(stopped.ran(), stopped.reason(), stopped.what());
    } catch (const http_error& error) {
        return unansweredOutcome(error.ran(), reasonOf(error, parameters.deadline, hooks), error.what());
    } catch (const std::exception& error) {
        return unansweredOutcome(verdict::MayHaveRun, "upstream_broken", error.what());
    }
}

} // namespace sagesaddle
