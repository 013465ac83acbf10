#pragma once

#include "Entry/dispatcher.h"
#include "Entry/entry_settings.h"
#include "Entry/exchange.h"
#include "Entry/overload_monitor.h"
#include "Entry/request_handler.h"
#include "Record/json_text.h"
#include "Serve/http_client.h"
#include "Support/free_port.h"
#include "Watch/metric_registry.h"
#include "Watch/span_exporter.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief The callers' listener of an entry with real request handling; functions of the test stand in for
/// the side processes.
class edge_fixture {
public:
    using side_function
        = std::function<void(exchange_table&, const std::string& upstream, const request_message&)>;

    static constexpr std::uint32_t workers = 8;

    explicit edge_fixture(side_function sideFunction, request_limits limits = {})
        : m_sideFunction(std::move(sideFunction))
    {
        settings.limits = limits;
        settings.callerListenAddress = freeAddress();
        settings.bodyTimeout = milliseconds(500);
        setState([](fleet_state&) {});
        for (const char* name : { "one", "two", "ledger" })
            requestDispatcher.onLink(name, true);
        handler = std::make_unique<request_handler>(settings, services());
        server = std::make_unique<http_server>(http_server::options { .listen = settings.callerListenAddress,
                                                   .workers = workers,
                                                   .requestTimeout = milliseconds(500) },
            [this](http_call& call) { handler->handle(call); });
    }

    /// Applies a new state: the fixture's records with a change.
    void setState(const std::function<void(fleet_state&)>& change)
    {
        fleet_state next;
        next.teams["blue"] = { .name = "blue" };
        const std::string hash = sha256Hex("secret");
        next.keys[hash] = { .id = "k", .team = "blue", .secretSha256 = hash };
        next.models["m"] = { .name = "m", .memoryMb = 1 };
        for (const char* name : { "one", "two" }) {
            next.upstreams[name] = { .name = name, .region = "r", .zone = "z", .memoryMb = 10, .slots = 8 };
            next.placements[{ "m", name }] = { .model = "m", .upstream = name };
        }
        next.upstreams["ledger"] = { .name = "ledger",
            .kind = upstream_kind::Service,
            .region = "r",
            .zone = "z",
            .service = "ledger",
            .slots = 8 };
        next.routes["/orders"] = { .pathPrefix = "/orders", .service = "ledger" };
        next.routes["/open"]
            = { .pathPrefix = "/open", .service = "ledger", .open = true, .idempotent = true };
        change(next);
        const std::lock_guard lock(m_mutex);
        m_state = std::make_shared<const fleet_state>(std::move(next));
        requestDispatcher.update(m_state);
    }

    void setFresh(bool fresh) { m_fresh = fresh; }

    /// Sends bytes on a connection of its own and reads until the server closes it.
    std::string sendRaw(const std::string& bytes, bool halfClose = false) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect(
            { asio::ip::make_address(settings.callerListenAddress.ip), settings.callerListenAddress.port });
        std::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        if (halfClose)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    /// Sends one request with the team's API key.
    std::string call(const std::string& head, const std::string& body = {}) const
    {
        return sendRaw(head
            + "\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer secret\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::string chat(const std::string& rest = "") const
    {
        return call("POST /v1/chat/completions HTTP/1.1",
            R"({"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hi"}])" + rest + "}");
    }

    std::vector<request_message> sent() const
    {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }

private:
    request_handler::services services()
    {
        return { [this] {
                    const std::lock_guard lock(m_mutex);
                    return m_state;
                },
            [this](monotonic_time) { return freshness { .isFresh = m_fresh, .isLogUnreachable = false }; },
            [](const std::string&, double tokens, monotonic_time) {
                return tokens > 1e6 ? rate_decision { false, "request_over_burst", 0 }
                                    : rate_decision { true, "", 0 };
            },
            [] { return true; }, [] { return false; }, requestDispatcher, metrics, spans, decisions,
            overloadMonitor };
    }

    bool deliver(const std::string& upstream, const message& value)
    {
        const auto* request = std::get_if<request_message>(&value);
        if (!request)
            return true;
        {
            const std::lock_guard lock(m_mutex);
            m_sent.push_back(*request);
        }
        m_sideFunction(exchanges, upstream, *request);
        return true;
    }

    side_function m_sideFunction;
    mutable std::mutex m_mutex;
    fleet_state_ptr m_state;
    std::vector<request_message> m_sent;
    std::atomic<bool> m_fresh { true };

public:
    entry_settings settings;
    metric_registry metrics;
    span_exporter spans { span_exporter::options {} };
    decision_log decisions { 100 };
    overload_monitor overloadMonitor { milliseconds(1000) };
    exchange_table exchanges;
    dispatcher requestDispatcher { { .region = "r", .zone = "z", .retryReserve = 10 }, exchanges,
        [this](const std::string& upstream, const message& value) { return deliver(upstream, value); },
        metrics, spans };
    std::unique_ptr<request_handler> handler;
    std::unique_ptr<http_server> server;
};

/// Sends a complete answer with one data frame.
inline void sendCompleteAnswer(exchange_table& exchanges, const std::string& upstream,
    const request_message& request, const std::string& body, const std::string& type = "application/json")
{
    exchanges.deliver(upstream, request.id, answer_head { request.id, 200, { { "Content-Type", type } } });
    exchanges.deliver(upstream, request.id, answer_data { request.id, 0, body });
    exchanges.deliver(upstream, request.id, answer_end { request.id, 1, body.size(), 0, {} });
}

} // namespace sagesaddle::testing
