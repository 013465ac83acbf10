#pragma once

#include "Loop/timer.h"
#include "Support/scripted_http.h"

#include <map>
#include <random>

namespace sagesaddle {

/// \brief A small stand-in for the platform's store: keyed topics with one partition each, and faults.
class store_stand_in {
public:
    enum class behaviour {
        Sound,
        /// Accepts calls and answers none.
        Silent,
        /// Declines every call with 503.
        Busy,
        /// Closes the connection of every call.
        Resetting,
    };

    store_stand_in(event_loop& loop, unsigned seed);

    address where() const { return m_server.entry().endpoint; }
    /// Appends a record, as the operator or an upstream does; an empty value drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// \return the newest value of a key; empty if there is none.
    std::string newest(const std::string& topic, const std::string& key) const;
    /// Drops a key.
    void drop(const std::string& topic, const std::string& key) { put(topic, key, ""); }
    /// Drops the history; the newest record of each key can still be read.
    void compact();

    /// Keeps a copy of all topics, to return to later.
    void saveCopy() { m_copy = m_topics; }
    /// Loses everything since the last copy was saved, and begins a new era.
    void returnToCopy();

    /// Stated in each answer.
    int era { 0 };
    behaviour mode { behaviour::Sound };
    /// Text in the place of the status of every answer, where one is set.
    std::function<std::string()> statusText;
    /// Delay of every answer.
    milliseconds delay { 0 };
    /// Part of the appends, from 0 to 1, that are carried out and not answered.
    double lostAnswers { 0 };
    int calls { 0 };

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::uint64_t first { 0 };
        std::deque<record> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
        std::uint64_t end() const { return first + records.size(); }
    };
    struct waiting_read {
        tcp_stream* stream;
        std::string topic;
        std::uint64_t from;
        monotonic_time until;
    };

    void onCall(const scripted_upstream::request& call);
    void answer(tcp_stream* stream, int status, const std::string& body);
    void answerTail(tcp_stream* stream, const topic_log& log, std::uint64_t from);
    void onAppend(const scripted_upstream::request& call, const std::string& topic);
    void poll();

    event_loop& m_loop;
    std::map<std::string, topic_log> m_topics;
    std::map<std::string, topic_log> m_copy;
    std::vector<waiting_read> m_waiting;
    std::deque<std::tuple<monotonic_time, tcp_stream*, std::string>> m_delayed;
    std::minstd_rand m_random;
    timer m_timer;
    scripted_upstream m_server;
};

} // namespace sagesaddle
