#pragma once

#include "Loop/timer.h"
#include "Support/scripted_http.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace sagesaddle {

/// \brief Descriptions of what the stand-ins saw that the guarantees forbid.
using violation_list = std::vector<std::string>;

/// \brief A stand-in for an engine, or for an instance of a service without one: runs requests, carries out
/// orders and records violations of the guarantees.
class engine_stand_in {
public:
    struct settings {
        std::string id;
        std::string service { "desk" };
        /// Models that may be loaded at once, and adapters.
        std::size_t modelPlaces { 2 };
        std::size_t adapterPlaces { 2 };
        /// Events of each stream.
        int events { 5 };
        milliseconds eventPause { 15 };
        milliseconds modelLoad { 300 };
        /// Shortest time allowed between the orders of two lease holders.
        milliseconds handoverPause { 1000 };
        std::string zone { "z" };
        /// Time for which it is cold from its start.
        milliseconds coldTime { 0 };
    };

    engine_stand_in(event_loop& loop, settings value, violation_list& violations);

    /// \return the JSON of its entry in the store's list of upstreams.
    std::string listing() const;
    const std::string& id() const { return m_settings.id; }
    const std::string& zone() const { return m_settings.zone; }

    /// Loaded models and adapters, as `model` or `model/adapter`.
    std::set<std::string> held;
    bool isDraining { false };
    /// Requests a second that it takes from all gateways together, stated in each answer.
    std::optional<double> requestLimit;
    /// Until when its entry in the list says that it is cold.
    monotonic_time coldUntil;
    /// When each request arrived, with its id.
    std::vector<std::pair<monotonic_time, std::string>> arrivals;
    /// Shared prompt parts, as the header names them, that crash the engine when it begins an answer.
    std::set<std::string> crashingParts;
    /// Whole prompts, as the header holds them, that do so.
    std::set<std::string> crashingPrompts;
    /// When each crash happened.
    std::vector<monotonic_time> crashes;
    /// Time from a crash to the restart.
    milliseconds restartTime { 1000 };
    /// Called after a restart, since the entry in the list of upstreams has changed.
    std::function<void()> onRestarted;
    /// Lists another process from now on, which is not draining; one that drains never stops doing so.
    void replaceProcess()
    {
        isDraining = false;
        ++m_startedAt;
    }
    /// Crashes at once: all connections break, and none is accepted until the restart.
    void crash();
    /// \return whether a request has such a part or prompt.
    bool isCrashing(const http_head& head) const;
    /// When each such request arrived.
    std::vector<monotonic_time> crashingArrivals;
    /// Text in the place of the status of each answer to a report call or an order, where one is set.
    std::function<std::string()> reportStatus;
    std::function<std::string()> orderStatus;
    /// Number of next requests that run and whose connections are then cut without an answer.
    int cutAnswers { 0 };
    /// When each request, order and call for a report arrived.
    std::vector<monotonic_time> allCalls;
    /// Number of runs, by the request's id.
    std::map<std::string, int> runs;
    /// Time, team and tokens of each run.
    std::vector<std::tuple<monotonic_time, std::string, double>> spent;
    /// Number of accepted orders.
    std::uint64_t orders { 0 };
    /// Holder and fence of each order that arrived.
    std::vector<std::pair<std::string, std::uint64_t>> holders;
    /// Returns the team that sent a request; each run is checked against it where it is set.
    std::function<std::string(const std::string& requestId)> teamOf;
    scripted_upstream server;

private:
    struct stream_run {
        tcp_stream* stream;
        std::string id;
        int next;
        monotonic_time at;
    };

    void onCall(const scripted_upstream::request& call);
    void onOrder(const scripted_upstream::request& call);
    void run(const scripted_upstream::request& call);
    void decline(const scripted_upstream::request& call, int status);
    void reply(tcp_stream* stream, int status, const std::string& body,
        const std::function<std::string()>& statusText);
    /// Writes the head of an answer, or all of it, with the fields that each answer bears.
    void writeAnswer(tcp_stream* stream, std::string text) const;
    void poll();
    std::size_t adapters() const;

    settings m_settings;
    violation_list& m_violations;
    std::deque<stream_run> m_streams;
    /// Start of the process, in Unix milliseconds.
    std::int64_t m_startedAt { 1 };
    std::optional<monotonic_time> m_restartAt;
    bool m_isCrashDue { false };
    std::optional<std::pair<monotonic_time, std::string>> m_loading;
    monotonic_time m_lastOrderAt {};
    timer m_timer;
};

/// \return the data of an event in the stream of a request; it names both.
std::string eventData(const std::string& requestId, int event);

} // namespace sagesaddle
