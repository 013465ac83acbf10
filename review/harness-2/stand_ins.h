// Stand-ins for the clients, the servers and the platform, and real gateways as child processes, all on
// loopback. Each connection has a thread of its own, so that the scripts read in the order of events.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// \return seconds since the start of the script.
double secondsNow();
void sleepFor(milliseconds time);
/// \return whether the environment asks for the disruption: TROUBLE is not 0.
bool isTroubled();

/// \brief Writes record.txt: what was sent, answered and run.
class record_file {
public:
    explicit record_file(const std::string& path);
    ~record_file();
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

/// \brief A request or an answer.
struct message {
    /// Request line or status line.
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string get(std::string_view name) const;
    bool has(std::string_view name) const;
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const;
    int status() const;
};

/// \brief A connected socket with blocking calls; reads end at a deadline.
class connection {
public:
    explicit connection(int socket)
        : m_socket(socket)
    {
    }
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// \param smallWindow whether the socket has the segment size of Ethernet and a small receive buffer
    /// \return nothing if the connection was not accepted within a second.
    static std::unique_ptr<connection> open(int port, bool smallWindow = false);

    bool send(std::string_view bytes);
    /// \return what arrived until the time; empty at its end, or at the end of the connection.
    std::string receive(milliseconds timeout, std::size_t most = 65536);
    bool isEnded() const { return m_isEnded; }
    /// Reads a message with a length, in chunks, or until the end of the connection.
    /// \return whether it is complete
    bool read(message& out, milliseconds timeout, bool isRequest);
    int socket() const { return m_socket; }
    void shutdown();

private:
    bool fill(steady::time_point until);

    int m_socket;
    std::string m_buffer;
    bool m_isEnded { false };
};

/// \brief Accepts connections and serves each in a thread.
class server {
public:
    using on_connection = std::function<void(connection&)>;

    explicit server(on_connection handler);
    ~server();
    int port() const { return m_port; }
    /// Ends all connections that are open now.
    void cutAll();
    /// Accepts no connection any more, and ends those that are open.
    void stop();

private:
    struct worker;

    void accept();

    on_connection m_handler;
    int m_socket;
    int m_port;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::thread m_acceptor;
};

/// \brief The platform's store: keyed topics with one partition each.
class store {
public:
    store();

    int port() const { return m_server.port(); }
    /// Appends a record, as the operator or a server does; an empty value drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// \return the name of the program that holds the system's lease, as it wrote it.
    std::string newest(const std::string& topic, const std::string& key);
    /// Keeps a copy of all topics.
    void saveCopy();
    /// Accepts calls and answers none.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    /// Is back with the copy, in a new era.
    void returnToCopy();

private:
    struct log {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    void serve(connection& from);
    std::string answer(const message& call);
    void append(const std::string& topic, const std::string& key, const std::string& value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, log> m_topics;
    std::map<std::string, log> m_copy;
    std::atomic<bool> m_isSilent { false };
    std::atomic<int> m_era { 0 };
    server m_server;
};

/// \brief A server of a service: an engine if it has models.
class back_end {
public:
    struct settings {
        std::string id;
        std::string service;
        int slots { 6 };
        std::vector<std::string> models;
    };
    /// Answers a request that the server runs.
    using on_request = std::function<void(connection&, const message&)>;

    back_end(settings value, record_file& record, on_request handler);

    /// \return the JSON of its entry in the platform's list.
    std::string entry();
    const settings& description() const { return m_settings; }
    /// \return the number of runs of a request.
    int runsOf(const std::string& requestId);
    /// Ends the server, and what it runs.
    void exit() { m_server.stop(); }

private:
    void serve(connection& from);

    settings m_settings;
    record_file& m_record;
    on_request m_handler;
    std::int64_t m_startedAt;
    std::atomic<std::uint64_t> m_orders { 0 };
    std::mutex m_mutex;
    std::set<std::string> m_adapters;
    std::map<std::string, int> m_runs;
    server m_server;
};

/// \return the head of a server's answer, with its signature.
std::string answerHead(const message& request, int status, const std::string& moreFields);
/// Answers with a length.
bool answerWhole(connection& to, const message& request, const std::string& body);

/// \brief Writes the entries of servers to the store every heartbeat.
class heartbeats {
public:
    heartbeats(store& platform, std::vector<back_end*> servers);
    ~heartbeats();
    /// Removes the entry of a server, which writes none any more.
    void remove(back_end& server);

private:
    store& m_platform;
    std::mutex m_mutex;
    std::vector<back_end*> m_servers;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// \brief Forwards connections to a port, and cuts the path silently: no byte passes, no connection ends.
class cuttable_path {
public:
    explicit cuttable_path(int targetPort);

    int port() const { return m_server.port(); }
    void setCut(bool isCut) { m_isCut = isCut; }

private:
    void forward(connection& from);

    int m_targetPort;
    std::atomic<bool> m_isCut { false };
    server m_server;
};

/// \brief A gateway, started as the deploy file says.
class gateway {
public:
    /// \param storePort where it reaches the platform's store
    /// \param memoryMegabytes memory of its machine
    gateway(std::string name, int storePort, double memoryMegabytes = 260);
    ~gateway();

    void start();
    void signal(int number) const;
    /// Waits until it has ended, which SIGTERM or SIGKILL must have asked for.
    void wait();
    /// \return whether the process has ended.
    bool hasEnded();
    bool isReady() const;
    bool waitReady(milliseconds timeout) const;
    /// \return memory that the process occupies, in MB.
    double residentMegabytes() const;
    int callerPort() const { return m_callerPort; }
    /// \return whether the store's newest lease names this gateway as its holder.
    bool holdsLease(store& platform) const;
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    int m_callerPort;
    int m_readinessPort;
    int m_peerPort;
    std::string m_settingsFile;
    pid_t m_process { -1 };
};

/// \brief Routes and teams of a configuration.
struct config_text {
    std::string routes;
    std::string services;
    std::string teams;
};

/// \param retries greatest number of servers for a request
std::string routeText(const std::string& prefix, const std::string& type, const std::string& service,
    int timeoutMs, int objectiveMs, int retries, bool isResumable);
std::string engineServiceText(const std::string& name, const std::vector<std::string>& models);
std::string plainServiceText(const std::string& name);
std::string teamText(const std::string& name, const std::vector<std::string>& keys);
std::string configText(int version, const config_text& parts);

/// \return an id that no other request has.
std::string nextRequestId(const std::string& prefix);
std::string requestText(const std::string& method, const std::string& target, const std::string& id,
    const std::string& key, int deadlineMs, const std::string& moreFields, const std::string& body);

/// \brief Clients that each send one request after another on a kept connection, to a plain service.
class steady_clients {
public:
    steady_clients(record_file& record, int port, int count, std::string target, std::string key);
    ~steady_clients();

    /// Ends the clients after their current requests.
    void stop();
    int answered() const { return m_answered; }
    /// \return ids of requests whose kept connection ended without an answer.
    std::vector<std::string> cut();

private:
    void run(int number);

    record_file& m_record;
    int m_port;
    std::string m_target;
    std::string m_key;
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_answered { 0 };
    std::mutex m_mutex;
    std::vector<std::string> m_cut;
    std::vector<std::thread> m_threads;
};

/// Ends the script: writes the result to the record.
int finish(record_file& record, bool couldRun, bool isBroken, const std::string& text);

} // namespace review
