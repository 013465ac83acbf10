// A small deployment for cases of the review: the platform's store, and a gateway as a separate process, all on
// loopback addresses. Blocking sockets and a thread for each connection; nothing of the product is linked.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace small_platform {

using steady = std::chrono::steady_clock;

inline double now()
{
    static const auto begin = steady::now();
    return std::chrono::duration<double>(steady::now() - begin).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Writes record.txt; each line begins with the time in seconds.
class recorder {
public:
    explicit recorder(const char* path)
        : m_file(std::fopen(path, "w"))
    {
        if (m_file == nullptr)
            std::exit(2);
    }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f  ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

/// \return a listening socket on a free port of 127.0.0.1, and the port.
inline std::pair<int, int> listenAnywhere()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(where);
    if (socket < 0 || ::bind(socket, reinterpret_cast<sockaddr*>(&where), size) != 0
        || ::listen(socket, 128) != 0 || ::getsockname(socket, reinterpret_cast<sockaddr*>(&where), &size) != 0)
        std::exit(2);
    return { socket, ntohs(where.sin_port) };
}

inline int freePort()
{
    const auto [socket, port] = listenAnywhere();
    ::close(socket);
    return port;
}

/// \return a connection; -1 if it is refused.
inline int connectTo(int port, const std::function<void(int)>& prepare = {})
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (prepare)
        prepare(socket);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(socket, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0)
        return socket;
    ::close(socket);
    return -1;
}

inline bool sendAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

struct request {
    std::string method;
    std::string target;
    /// Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;
};

/// Reads one request whose body has a length.
/// \param rest bytes that were received before and not used
inline bool readRequest(int socket, std::string& rest, request& out)
{
    std::size_t end = 0;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        char buffer[16384];
        const ssize_t size = ::recv(socket, buffer, sizeof(buffer), 0);
        if (size <= 0)
            return false;
        rest.append(buffer, static_cast<std::size_t>(size));
    }
    out = {};
    const std::size_t methodEnd = rest.find(' ');
    const std::size_t targetEnd = rest.find(' ', methodEnd + 1);
    out.method = rest.substr(0, methodEnd);
    out.target = rest.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    for (std::size_t at = rest.find("\r\n") + 2; at < end;) {
        const std::size_t lineEnd = rest.find("\r\n", at);
        const std::size_t colon = rest.find(':', at);
        std::string name = rest.substr(at, colon - at);
        for (char& letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        const std::size_t value = rest.find_first_not_of(" \t", colon + 1);
        out.fields[name] = rest.substr(value, lineEnd - value);
        at = lineEnd + 2;
    }
    const std::size_t length = out.fields.contains("content-length") ? std::stoul(out.fields["content-length"]) : 0;
    rest.erase(0, end + 4);
    while (rest.size() < length) {
        char buffer[16384];
        const ssize_t size = ::recv(socket, buffer, sizeof(buffer), 0);
        if (size <= 0)
            return false;
        rest.append(buffer, static_cast<std::size_t>(size));
    }
    out.body = rest.substr(0, length);
    rest.erase(0, length);
    return true;
}

/// Accepts connections and hands each to a thread of its own. Lives as long as the process.
class server {
public:
    explicit server(std::function<void(int)> serve)
    {
        const auto [socket, boundPort] = listenAnywhere();
        port = boundPort;
        std::thread([socket = socket, serve = std::move(serve)] {
            while (true) {
                const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    continue;
                const int isOn = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
                std::thread([accepted, serve] {
                    serve(accepted);
                    ::close(accepted);
                }).detach();
            }
        }).detach();
    }

    int port { 0 };
};

inline std::string base64(const std::string& bytes)
{
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text += at + index > bytes.size() ? '=' : letters[group >> (18 - 6 * index) & 63U];
    }
    return text;
}

/// The platform's store: keyed topics with one partition each.
class store {
public:
    store()
        : m_server([this](int socket) { serve(socket); })
    {
    }

    int port() const { return m_server.port; }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        m_topics[topic].emplace_back(key, value);
        m_grown.notify_all();
    }

private:
    static std::string number(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int index = bytes - 1; index >= 0; --index)
            text += static_cast<char>(value >> (8 * index) & 0xffU);
        return text;
    }

    void serve(int socket)
    {
        std::string rest;
        request call;
        while (readRequest(socket, rest, call)) {
            int status = 200;
            const std::string body = answer(call, status);
            if (!sendAll(socket,
                    "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size())
                        + "\r\n\r\n" + body))
                return;
        }
    }

    std::string answer(const request& call, int& status)
    {
        std::map<std::string, std::string> query;
        const std::size_t mark = std::min(call.target.find('?'), call.target.size());
        for (std::size_t at = mark + 1; at < call.target.size();) {
            const std::size_t end = std::min(call.target.find('&', at), call.target.size());
            const std::size_t equals = call.target.find('=', at);
            query[call.target.substr(at, equals - at)] = call.target.substr(equals + 1, end - equals - 1);
            at = end + 1;
        }
        const std::string path = call.target.substr(0, mark);
        std::unique_lock lock(m_mutex);
        auto& records = m_topics[query["topic"]];
        const auto ends = [&] { return "\"end\":" + std::to_string(records.size()); };
        if (path == "/sagesaddle/log-newest") {
            std::map<std::string, std::size_t> newest;
            for (std::size_t offset = 0; offset < records.size(); ++offset)
                newest[records[offset].first] = offset;
            std::string items;
            for (const auto& [key, offset] : newest) {
                if (!records[offset].second.empty())
                    items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                        + base64(records[offset].second) + "\",\"offset\":" + std::to_string(offset) + "}";
            }
            return "{\"items\":[" + items + "],\"more-pages\":false," + ends() + "}";
        }
        if (path == "/sagesaddle/log-read") {
            const std::size_t from = std::stoul(query["from"]);
            const int waitMs = query.contains("wait-ms") ? std::stoi(query["wait-ms"]) : 0;
            m_grown.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return records.size() > from; });
            std::string text = number(records.size(), 8) + number(0, 8);
            for (std::size_t offset = from; offset < records.size(); ++offset) {
                const auto& [key, value] = records[offset];
                const std::string record = static_cast<char>(key.size()) + key + value;
                text += number(record.size(), 4) + record;
            }
            return text;
        }
        if (path == "/sagesaddle/log-append" && call.body.size() > 5) {
            if (query.contains("at") && std::stoul(query["at"]) != records.size()) {
                status = 412;
                return "{" + ends() + "}";
            }
            const auto keySize = static_cast<unsigned char>(call.body[4]);
            records.emplace_back(call.body.substr(5, keySize), call.body.substr(5 + keySize));
            m_grown.notify_all();
            return "{\"offset\":" + std::to_string(records.size() - 1) + "," + ends() + "}";
        }
        status = 404;
        return "{}";
    }

    std::mutex m_mutex;
    std::condition_variable m_grown;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> m_topics;
    server m_server;
};

/// A gateway, started with the command of the deploy file.
class gateway {
public:
    gateway(int storePort, const std::string& folder)
        : callers(freePort())
        , readiness(freePort())
    {
        const std::string settings = folder + "/gateway.toml";
        std::FILE* const file = std::fopen(settings.c_str(), "w");
        if (file == nullptr)
            std::exit(2);
        std::fprintf(file,
            "[process]\nname = \"front-z-1\"\nzone = \"z\"\n[listen]\ncallers = \"127.0.0.1:%d\"\nreadiness = "
            "\"127.0.0.1:%d\"\npeers = \"127.0.0.1:%d\"\n[store]\naddress = \"127.0.0.1:%d\"\n[bounds]\ngrace_s = "
            "8\nrevoke_ms = 5000\nlease_ms = 3000\nretry_ratio = 0.2\nretry_slack = 100\n[limits]\ncores = "
            "0.5\nlink_mbps = 200\ndescriptors = 10250\nmemory_mb = 512\n",
            callers, readiness, freePort(), storePort);
        std::fclose(file);
        const std::string log = folder + "/gateway.log";
        pid = ::fork();
        if (pid == 0) {
            const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("SAGESADDLE_NODE_FILE", settings.c_str(), 1);
            ::execl("target/bin/sagesaddle-gateway", "target/bin/sagesaddle-gateway", nullptr);
            ::_exit(127);
        }
        if (pid < 0)
            std::exit(2);
    }

    ~gateway()
    {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    bool waitReady() const
    {
        for (const double end = now() + 20; now() < end; sleepFor(0.05)) {
            const int socket = connectTo(readiness);
            if (socket < 0)
                continue;
            char buffer[512] {};
            const bool isReady = sendAll(socket, "GET /sagesaddle/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                && ::recv(socket, buffer, sizeof(buffer) - 1, 0) > 0 && std::strstr(buffer, " 200 ") != nullptr;
            ::close(socket);
            if (isReady)
                return true;
        }
        return false;
    }

    int callers;
    int readiness;
    pid_t pid { -1 };
};

/// \return an entry of a server in the store's list.
inline std::string serverEntry(const std::string& service, int port)
{
    return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port)
        + "\",\"zone\":\"z\",\"version\":\"1\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,"
          "\"sequence\":0,\"born\":1700000000000}";
}

/// \return whether the run has its disruption: TROUBLE is not 0.
inline bool hasTrouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace small_platform
