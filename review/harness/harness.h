#pragma once

// Small stand-ins for the platform's store, engines and callers, and the gateways as separate processes, all
// on loopback and the real clock. One thread serves one connection.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// \return milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t duration);

/// \brief Lines of record.txt, each with its time.
class recorder {
public:
    explicit recorder(const std::string& file);
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::string m_file;
};

struct http_request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields;
    std::string body;
    /// \return the value of a field, named in lower case; empty if it is missing.
    std::string get(const std::string& name) const;
    /// \return the value of a parameter of the query; empty if it is missing.
    std::string parameter(const std::string& name) const;
};

/// \brief A connection that a server has accepted.
class connection {
public:
    explicit connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// \return whether a whole request was read; false at the end of the connection.
    bool read(http_request& request);
    bool write(const std::string& text);
    /// \return whether the peer closed the connection.
    bool isClosed() const;
    void shutDown();

private:
    int m_descriptor;
    std::string m_buffer;
};

/// \brief An HTTP server; each connection has a thread of its own.
class server {
public:
    using on_request = std::function<void(connection&, const http_request&)>;
    explicit server(on_request handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::string where() const;
    /// Breaks all open connections.
    void cutAll();

private:
    void serve();

    on_request m_handler;
    int m_listener { -1 };
    int m_port { 0 };
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<std::weak_ptr<connection>> m_connections;
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
};

/// \brief What the store does with a call.
enum class call_fate {
    /// Carried out and answered.
    Sound,
    /// Carried out, and the connection returns nothing further.
    AnswerLost,
    /// Neither carried out nor answered, as behind a partition.
    CutOff,
};

/// \brief The platform's store: a log with topics of one partition each. Each gateway reaches it at an
/// address of its own, so that it can be cut off alone.
class store {
public:
    store(recorder& record, int gateways);
    ~store();

    std::string addressFor(int gateway) const
    {
        return m_doors.at(static_cast<std::size_t>(gateway))->where();
    }
    /// Appends a record, as the operator or a server does.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Cuts a gateway off from the store, or ends that.
    void setCutOff(int gateway, bool isCutOff);
    /// Makes the store silent for everybody, or ends that; what the operator or a server writes meanwhile is
    /// lost.
    void setAway(bool isAway);
    /// Keeps a copy of all topics.
    void saveCopy();
    /// Loses everything since the copy was saved, and begins a new era.
    void returnToCopy();

    /// Decides about each append of a record that names `gateway` as the caller; set before traffic.
    std::function<call_fate(int gateway)> appendFate;
    /// \return the value of the newest lease record, empty without one.
    std::string newestLease();
    /// \return the gateway whose append to the lease was carried out last; -1 without one.
    int lastAppender();
    /// \return when that was.
    std::int64_t lastAppendAt();

private:
    struct record_entry {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::vector<record_entry> records;
        std::map<std::string, std::size_t> newest;
    };

    bool isCutOffLocked(int gateway) const
    {
        return m_isAway || m_isCutOff[static_cast<std::size_t>(gateway)];
    }
    void append(topic_log& log, const std::string& key, const std::string& value);
    std::string answerOf(int status, const std::string& body) const;
    void onCall(int gateway, connection& from, const http_request& call);
    void onAppend(int gateway, connection& from, const http_request& call);
    void onTail(int gateway, connection& from, const http_request& call);
    /// Holds a connection on which nothing further is returned until its peer closes it.
    void holdSilent(connection& from) const;

    recorder& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, topic_log> m_topics;
    std::map<std::string, topic_log> m_copy;
    int m_era { 0 };
    bool m_isAway { false };
    std::vector<bool> m_isCutOff;
    int m_lastAppender { -1 };
    std::int64_t m_lastAppendAt { 0 };
    std::atomic<bool> m_isStopping { false };
    std::vector<std::unique_ptr<server>> m_doors;
};

/// Notes that a link of a gateway has healed.
void noteHealed(const std::string& gateway);
/// \return whether a link of the gateway healed within thaw-slack-ms, so that its orders don't count yet.
bool isWithinThawSlack(const std::string& gateway);

/// \brief An order as an engine received it.
struct received_order {
    std::int64_t at { 0 };
    std::string holder;
    std::uint64_t fence { 0 };
    int status { 0 };
};

/// \brief A model server with adapters, which checks the rule ONE on the orders that it gets.
class engine {
public:
    struct settings {
        std::string id;
        std::string service;
        std::set<std::string> models;
        std::size_t adapterSlots { 24 };
        std::int64_t leaseMs { 3000 };
        int streamEvents { 1 };
        std::int64_t eventPauseMs { 0 };
    };
    engine(recorder& record, settings value);

    /// Spoils one answer of so many from now on: a digit of its status is overwritten. 0 ends that.
    void spoilAnswers(int interval) { m_spoilInterval = interval; }
    /// Says in all answers from now on that the server is leaving.
    void leave() { m_isLeaving = true; }
    /// Ends as a process does: all connections break.
    void exit();
    bool hasLeft() const { return m_isLeaving; }
    /// \return when each request began to run, by its id.
    std::map<std::string, std::int64_t> runTimes();

    std::string listing();
    const std::string& id() const { return m_settings.id; }
    std::vector<received_order> orders();
    /// \return descriptions of the orders that break the rule ONE.
    std::vector<std::string> violations();
    /// \return how often a request ran, by its id.
    std::map<std::string, int> runs();

private:
    void onCall(connection& from, const http_request& call);
    int acceptOrder(const http_request& call);
    std::string listingLocked() const;

    recorder& m_record;
    settings m_settings;
    std::mutex m_mutex;
    std::set<std::string> m_adapters;
    std::uint64_t m_accepted { 0 };
    std::int64_t m_startedAt;
    std::vector<received_order> m_orders;
    std::vector<std::string> m_violations;
    std::map<std::string, int> m_runs;
    std::map<std::string, std::int64_t> m_runTimes;
    std::atomic<bool> m_isLeaving { false };
    std::atomic<int> m_spoilInterval { 0 };
    std::atomic<int> m_answers { 0 };
    std::atomic<bool> m_hasExited { false };
    server m_server;
};

/// \brief A gateway process, started with the command of the deploy file.
class gateway {
public:
    gateway(recorder& record, const std::string& folder, int number, const std::string& storeAddress);
    ~gateway();

    void start();
    /// Sends SIGKILL and waits for the end.
    void kill();
    void signal(int number);
    bool isRunning();
    int callerPort() const { return m_callers; }
    const std::string& name() const { return m_name; }
    /// \return whether the readiness address answers 200.
    bool isReady() const;

private:
    recorder& m_record;
    std::string m_name;
    std::string m_settings;
    std::string m_output;
    int m_callers;
    int m_readiness;
    pid_t m_process { -1 };
};

/// \return the status of the answer; 0 without one.
int sendRequest(int port, const std::string& text, int timeoutMs, std::string* answer = nullptr);
/// \return a port of the loopback address that is free.
int freePort();
/// \return the value of a text or number in a flat JSON object.
std::string jsonValue(const std::string& text, const std::string& key);

/// \brief Whether TROUBLE is not 0.
bool hasTrouble();

/// \brief The configuration, an engine and gateways, with callers that ask for one adapter after another.
class small_deployment {
public:
    explicit small_deployment(int gatewayCount, int streamEvents = 1, std::int64_t eventPauseMs = 0);
    ~small_deployment();

    /// Starts the gateways one after another, so that the first one holds the lease, and then the callers.
    /// \return whether all are ready
    bool start();
    /// Writes a configuration.
    /// \param hasSecondKey whether `key-2` is a key of the team `t2`, which has no limit
    void configure(int version, bool hasSecondKey);
    /// Ends callers and gateways, and writes what was found.
    /// \param brokenElsewhere number of broken rules that the case itself found
    /// \return the exit code of the case
    int finish(std::size_t brokenElsewhere = 0);

    recorder record;
    std::string folder;
    store platformStore;
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<gateway>> gateways;

private:
    void callOnce(std::int64_t number);

    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_sent { 0 };
    std::vector<std::thread> m_threads;
};

} // namespace review
