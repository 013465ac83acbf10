#pragma once

#include "Loop/timer.h"
#include "Support/scripted_http.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace sagesaddle {

/// \brief What the stand-ins saw that a promise forbids.
using violation_list = std::vector<std::string>;

/// \brief A stand-in for an engine or a plain service: runs requests, takes orders and watches the promises.
class engine_stand_in {
public:
    struct settings {
        std::string id;
        std::string service { "desk" };
        /// Models that it may hold at once, and adapters.
        std::size_t modelPlaces { 2 };
        std::size_t adapterPlaces { 2 };
        int events { 5 };
        milliseconds eventPause { 15 };
        milliseconds modelLoad { 300 };
        /// Least time between the orders of two holders.
        milliseconds lease { 1000 };
    };

    engine_stand_in(event_loop& loop, settings value, violation_list& violations);

    /// \return its entry in the store's list.
    std::string listing() const;
    const std::string& id() const { return m_settings.id; }

    std::set<std::string> held;
    bool isDraining { false };
    /// Cuts the next answers after they ran.
    int cutAnswers { 0 };
    /// Runs of each request's id.
    std::map<std::string, int> runs;
    /// Tokens run for each team, with the time.
    std::vector<std::tuple<monotonic_time, std::string, double>> spent;
    std::uint64_t orders { 0 };
    std::vector<std::pair<std::string, std::uint64_t>> holders;
    /// Keys' owners, to see that the team is right.
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
    void reply(tcp_stream* stream, int status, const std::string& body);
    void look();
    std::size_t adapters() const;

    settings m_settings;
    violation_list& m_violations;
    std::deque<stream_run> m_streams;
    std::optional<std::pair<monotonic_time, std::string>> m_loading;
    monotonic_time m_lastOrderAt {};
    timer m_timer;
};

/// \return the data of an event of a request's stream; tells whose stream it is.
std::string eventData(const std::string& requestId, int event);

} // namespace sagesaddle
