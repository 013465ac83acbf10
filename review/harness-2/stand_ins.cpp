#include "stand_ins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

const steady::time_point scriptStart = steady::now();
constexpr milliseconds heartbeat { 1200 };
constexpr milliseconds idleTimeout { 30000 };
// The store answers in 4 ms.
constexpr milliseconds storeDelay { 4 };

sockaddr_in loopback(int port)
{
    sockaddr_in value {};
    value.sin_family = AF_INET;
    value.sin_port = htons(static_cast<std::uint16_t>(port));
    value.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return value;
}

int portOf(int socket)
{
    sockaddr_in value {};
    socklen_t size = sizeof(value);
    getsockname(socket, reinterpret_cast<sockaddr*>(&value), &size);
    return ntohs(value.sin_port);
}

int listenSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int isOn = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &isOn, sizeof(isOn));
    sockaddr_in value = loopback(0);
    bind(socket, reinterpret_cast<sockaddr*>(&value), sizeof(value));
    listen(socket, 256);
    return socket;
}

// A port that nobody listens at, below those that the kernel gives to connections and to listeners without
// one.
int freePort()
{
    static std::minstd_rand random { std::random_device {}() };
    while (true) {
        const int port = std::uniform_int_distribution<int>(12000, 31000)(random);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in value = loopback(port);
        const bool isFree = bind(socket, reinterpret_cast<sockaddr*>(&value), sizeof(value)) == 0;
        ::close(socket);
        if (isFree)
            return port;
    }
}

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(),
            [](char a, char b) { return std::tolower(a) == std::tolower(b); });
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int index = bytes - 1; index >= 0; --index)
        text += static_cast<char>((value >> (8 * index)) & 0xffU);
    return text;
}

std::string base64(const std::string& text)
{
    static constexpr std::string_view digits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = (group << 8U)
                | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            encoded += at + index <= text.size() ? digits[(group >> (18 - 6 * index)) & 63U] : '=';
    }
    return encoded;
}

std::string parameter(const std::string& target, const std::string& name)
{
    for (const char* before : { "?", "&" }) {
        const std::size_t at = target.find(before + name + "=");
        if (at == std::string::npos)
            continue;
        const std::size_t from = at + name.size() + 2;
        return target.substr(from, target.find('&', from) - from);
    }
    return {};
}

std::string httpAnswer(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string jsonText(const std::string& text)
{
    return "\"" + text + "\"";
}

} // namespace

double secondsNow()
{
    return std::chrono::duration<double>(steady::now() - scriptStart).count();
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool isTroubled()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

record_file::record_file(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    std::signal(SIGPIPE, SIG_IGN);
    if (m_file == nullptr) {
        std::fprintf(stderr, "cannot write %s\n", path.c_str());
        std::exit(2);
    }
}

record_file::~record_file()
{
    std::fclose(m_file);
}

void record_file::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f %s\n", secondsNow(), line.c_str());
    std::fflush(m_file);
}

std::string message::get(std::string_view name) const
{
    for (const auto& [key, value] : fields) {
        if (equalsIgnoringCase(key, name))
            return value;
    }
    return {};
}

bool message::has(std::string_view name) const
{
    return std::any_of(
        fields.begin(), fields.end(), [&](const auto& item) { return equalsIgnoringCase(item.first, name); });
}

std::string message::target() const
{
    const std::size_t from = start.find(' ') + 1;
    return start.substr(from, start.find(' ', from) - from);
}

int message::status() const
{
    return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
}

connection::~connection()
{
    ::close(m_socket);
}

std::unique_ptr<connection> connection::open(int port, bool smallWindow)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto made = std::make_unique<connection>(socket);
    if (smallWindow) {
        const int segment = 1460;
        const int buffer = 8192;
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    }
    sockaddr_in value = loopback(port);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&value), sizeof(value)) != 0) {
        pollfd wanted { socket, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        if (errno != EINPROGRESS || poll(&wanted, 1, 1000) != 1
            || getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return nullptr;
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const int isOn = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    return made;
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void connection::shutdown()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

std::string connection::receive(milliseconds timeout, std::size_t most)
{
    pollfd wanted { m_socket, POLLIN, 0 };
    if (m_isEnded || poll(&wanted, 1, static_cast<int>(std::max<std::int64_t>(timeout.count(), 0))) != 1)
        return {};
    std::string bytes(most, '\0');
    const ssize_t got = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    m_isEnded = got <= 0;
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    return bytes;
}

bool connection::fill(steady::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now());
    const std::string bytes = receive(left);
    m_buffer += bytes;
    return !bytes.empty();
}

bool connection::read(message& out, milliseconds timeout, bool isRequest)
{
    const auto until = steady::now() + timeout;
    out = {};
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return false;
    }
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(": ");
        if (out.start.empty())
            out.start = line;
        else if (colon != std::string::npos)
            out.fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    if (out.has("Content-Length")) {
        const std::size_t size = std::stoul(out.get("Content-Length"));
        while (m_buffer.size() < size) {
            if (!fill(until)) {
                out.body = std::exchange(m_buffer, {});
                return false;
            }
        }
        out.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    if (out.get("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const std::size_t size = std::stoul(m_buffer.substr(0, lineEnd), nullptr, 16);
            while (m_buffer.size() < lineEnd + 2 + size + 2) {
                if (!fill(until))
                    return false;
            }
            out.body += m_buffer.substr(lineEnd + 2, size);
            m_buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    if (isRequest)
        return true;
    while (fill(until)) { }
    out.body = std::exchange(m_buffer, {});
    return m_isEnded;
}

struct server::worker {
    explicit worker(int socket)
        : stream(socket)
    {
    }
    connection stream;
    std::atomic<bool> isDone { false };
    std::thread thread;
};

server::server(on_connection handler)
    : m_handler(std::move(handler))
    , m_socket(listenSocket())
    , m_port(portOf(m_socket))
    , m_acceptor([this] { accept(); })
{
}

void server::stop()
{
    m_isStopping = true;
    ::shutdown(m_socket, SHUT_RDWR);
    if (m_acceptor.joinable())
        m_acceptor.join();
    cutAll();
}

server::~server()
{
    stop();
    ::close(m_socket);
    for (const auto& item : m_workers)
        item->thread.join();
}

void server::cutAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& item : m_workers)
        item->stream.shutdown();
}

void server::accept()
{
    while (!m_isStopping) {
        const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int isOn = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_workers, [](const auto& item) {
            if (!item->isDone)
                return false;
            item->thread.join();
            return true;
        });
        m_workers.push_back(std::make_unique<worker>(socket));
        worker& added = *m_workers.back();
        added.thread = std::thread([this, &added] {
            m_handler(added.stream);
            added.stream.shutdown();
            added.isDone = true;
        });
    }
}

store::store()
    : m_server([this](connection& from) { serve(from); })
{
}

void store::append(const std::string& topic, const std::string& key, const std::string& value)
{
    log& target = m_topics[topic];
    if (value.empty())
        target.newest.erase(key);
    else
        target.newest[key] = { target.records.size(), value };
    target.records.emplace_back(key, value);
    m_changed.notify_all();
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    append(topic, key, value);
}

std::string store::newest(const std::string& topic, const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_topics[topic].newest.find(key);
    return found == m_topics[topic].newest.end() ? std::string() : found->second.second;
}

void store::saveCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_topics;
}

void store::returnToCopy()
{
    {
        const std::lock_guard lock(m_mutex);
        m_topics = m_copy;
        ++m_era;
    }
    m_server.cutAll();
    m_isSilent = false;
}

void store::serve(connection& from)
{
    message call;
    while (from.read(call, idleTimeout, true)) {
        while (m_isSilent) {
            if (from.receive(milliseconds(20)).empty() && from.isEnded())
                return;
        }
        const int era = m_era;
        const std::string text = answer(call);
        sleepFor(storeDelay);
        if (m_isSilent || m_era != era)
            return;
        if (!from.send(text))
            return;
    }
}

std::string store::answer(const message& call)
{
    const std::string target = call.target();
    const std::string topic = parameter(target, "topic");
    const std::string era = "Store-Era: " + std::to_string(m_era) + "\r\n";
    std::unique_lock lock(m_mutex);
    log& read = m_topics[topic];
    const auto end = [&] { return std::to_string(read.records.size()); };
    if (target.find("/log-append") != std::string::npos) {
        const std::string at = parameter(target, "at");
        if (!at.empty() && at != end())
            return httpAnswer(412, era, "{\"end\":" + end() + "}");
        const std::string offset = end();
        const auto keySize = static_cast<unsigned char>(call.body.at(4));
        append(topic, call.body.substr(5, keySize), call.body.substr(5 + keySize));
        return httpAnswer(200, era, "{\"offset\":" + offset + ",\"end\":" + end() + "}");
    }
    if (target.find("/log-newest") != std::string::npos) {
        std::string items;
        for (const auto& [key, newest] : read.newest)
            items += std::string(items.empty() ? "" : ",") + "{\"key\":" + jsonText(key) + ",\"value\":"
                + jsonText(base64(newest.second)) + ",\"offset\":" + std::to_string(newest.first) + "}";
        return httpAnswer(200, era, "{\"items\":[" + items + "],\"more-pages\":false,\"end\":" + end() + "}");
    }
    if (target.find("/log-read") == std::string::npos)
        return httpAnswer(404, era, "");
    const std::uint64_t from = std::stoull(parameter(target, "from"));
    const std::string wait = parameter(target, "wait-ms");
    if (from > read.records.size())
        return httpAnswer(410, era, "{\"first\":0}");
    if (!wait.empty())
        m_changed.wait_for(lock, milliseconds(std::stoi(wait)),
            [&] { return m_topics[topic].records.size() > from || m_isSilent; });
    const log& now = m_topics[topic];
    std::string body = bigEndian(now.records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t offset = from; offset < now.records.size(); ++offset) {
        const auto& [key, value] = now.records[offset];
        body += bigEndian(1 + key.size() + value.size(), 4) + bigEndian(key.size(), 1) + key + value;
    }
    return httpAnswer(200, era, body);
}

back_end::back_end(settings value, record_file& record, on_request handler)
    : m_settings(std::move(value))
    , m_record(record)
    , m_handler(std::move(handler))
    , m_startedAt(
          std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())
    , m_server([this](connection& from) { serve(from); })
{
}

std::string back_end::entry()
{
    std::string models;
    const std::lock_guard lock(m_mutex);
    for (const auto& name : m_settings.models) {
        std::string adapters;
        for (const auto& item : m_adapters) {
            if (item.starts_with(name + "/"))
                adapters += (adapters.empty() ? "" : ",") + jsonText(item.substr(name.size() + 1));
        }
        models += std::string(models.empty() ? "" : ",") + "{\"name\":" + jsonText(name)
            + ",\"version\":1,\"adapters\":[" + adapters + "]}";
    }
    return "{\"service\":" + jsonText(m_settings.service)
        + ",\"address\":" + jsonText(address(m_server.port()))
        + ",\"zone\":\"z\",\"version\":1,\"slots\":" + std::to_string(m_settings.slots)
        + ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"both\",\"models\":[" + models
        + "],\"sequence\":" + std::to_string(m_orders) + ",\"born\":" + std::to_string(m_startedAt) + "}";
}

int back_end::runsOf(const std::string& requestId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(requestId);
    return found == m_runs.end() ? 0 : found->second;
}

void back_end::serve(connection& from)
{
    message call;
    while (from.read(call, idleTimeout, true)) {
        const std::string target = call.target();
        if (target == "/sagesaddle/report") {
            std::string report = entry();
            report.pop_back();
            report += ",\"busy\":false,\"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":130000,"
                      "\"handles\":0}";
            if (!from.send(httpAnswer(200, "Content-Type: application/json\r\n", report)))
                return;
            continue;
        }
        const std::string id = call.get("Request-Id");
        if (call.get("Expect-Instance") != m_settings.id) {
            from.send(httpAnswer(421, "Request-Id: " + id + "\r\nNot-Run: 1\r\n", ""));
            continue;
        }
        if (target == "/sagesaddle/order") {
            // No script needs other models than those that are loaded: orders are refused as out of order.
            from.send(httpAnswer(409, "", ""));
            continue;
        }
        if (!m_settings.models.empty()
            && std::find(m_settings.models.begin(), m_settings.models.end(), call.get("Model"))
                == m_settings.models.end()) {
            from.send(httpAnswer(421, "Request-Id: " + id + "\r\nNot-Run: 1\r\n", ""));
            continue;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[id];
        }
        m_record.write(m_settings.id + " runs " + id + " for " + call.get("Tenant"));
        m_handler(from, call);
    }
}

std::string answerHead(const message& request, int status, const std::string& moreFields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + request.get("Request-Id")
        + "\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + moreFields;
}

bool answerWhole(connection& to, const message& request, const std::string& body)
{
    return to.send(
        answerHead(request, 200, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body);
}

heartbeats::heartbeats(store& platform, std::vector<back_end*> servers)
    : m_platform(platform)
    , m_servers(std::move(servers))
{
    const auto writeAll = [this] {
        const std::lock_guard lock(m_mutex);
        for (auto* item : m_servers)
            m_platform.put("keyed.servers", item->description().id, item->entry());
    };
    writeAll();
    m_thread = std::thread([this, writeAll] {
        auto due = steady::now() + heartbeat;
        while (!m_isStopping) {
            sleepFor(milliseconds(20));
            if (steady::now() < due)
                continue;
            due += heartbeat;
            writeAll();
        }
    });
}

void heartbeats::remove(back_end& server)
{
    const std::lock_guard lock(m_mutex);
    std::erase(m_servers, &server);
    m_platform.put("keyed.servers", server.description().id, "");
}

heartbeats::~heartbeats()
{
    m_isStopping = true;
    m_thread.join();
}

cuttable_path::cuttable_path(int targetPort)
    : m_targetPort(targetPort)
    , m_server([this](connection& from) { forward(from); })
{
}

void cuttable_path::forward(connection& from)
{
    const auto to = connection::open(m_targetPort);
    if (!to)
        return;
    while (!from.isEnded() && !to->isEnded()) {
        if (m_isCut) {
            sleepFor(milliseconds(10));
            continue;
        }
        pollfd wanted[] { { from.socket(), POLLIN, 0 }, { to->socket(), POLLIN, 0 } };
        if (poll(wanted, 2, 10) <= 0 || m_isCut)
            continue;
        if (wanted[0].revents != 0 && !to->send(from.receive(milliseconds(0))))
            return;
        if (wanted[1].revents != 0 && !from.send(to->receive(milliseconds(0))))
            return;
    }
}

gateway::gateway(std::string name, int storePort, double memoryMegabytes)
    : m_name(std::move(name))
    , m_callerPort(freePort())
    , m_readinessPort(freePort())
    , m_peerPort(freePort())
{
    char folder[] = "/tmp/review-2-XXXXXX";
    if (mkdtemp(folder) == nullptr)
        std::exit(2);
    m_settingsFile = std::string(folder) + "/boot.conf";
    const int metrics = freePort();
    std::ofstream(m_settingsFile)
        << "[process]\nname = \"" << m_name << "\"\nzone = \"z\"\n\n[listen]\ncallers = \""
        << address(m_callerPort) << "\"\nreadiness = \"" << address(m_readinessPort) << "\"\npeers = \""
        << address(m_peerPort) << "\"\nmetrics = \"" << address(metrics) << "\"\n\n[store]\naddress = \""
        << address(storePort)
        << "\"\n\n[bounds]\ngrace_s = 8\nrevoke_ms = 5000\nlease_ms = 3000\nretry_ratio = 0.2\n"
           "retry_slack = 52\n\n[limits]\ncores = 0.19\nlink_mbps = 1000\ndescriptors = 4200\nmemory_mb = "
        << memoryMegabytes
        << "\n\n[deployment]\nparts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
           "\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\",\"platform\"]\n";
}

gateway::~gateway()
{
    if (m_process > 0 && !hasEnded()) {
        signal(SIGKILL);
        wait();
    }
    std::filesystem::remove_all(std::filesystem::path(m_settingsFile).parent_path());
}

void gateway::start()
{
    const std::string variable = "SAGESADDLE_NODE_FILE=" + m_settingsFile;
    const std::string log = std::filesystem::path(m_settingsFile).parent_path() / "log";
    const char* path = std::getenv("PATH");
    const std::string pathVariable = std::string("PATH=") + (path == nullptr ? "" : path);
    m_process = fork();
    if (m_process != 0)
        return;
    // The gateway ends with the script, also where that is ended by force.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    const char* const arguments[] { "target/bin/sagesaddle-gateway", nullptr };
    const char* const environment[] { variable.c_str(), pathVariable.c_str(), "LANG=C", nullptr };
    execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
    _exit(127);
}

void gateway::signal(int number) const
{
    if (m_process > 0)
        ::kill(m_process, number);
}

void gateway::wait()
{
    if (m_process > 0)
        ::waitpid(m_process, nullptr, 0);
    m_process = -1;
}

bool gateway::hasEnded()
{
    if (m_process <= 0)
        return true;
    if (::waitpid(m_process, nullptr, WNOHANG) == 0)
        return false;
    m_process = -1;
    return true;
}

bool gateway::isReady() const
{
    const auto probe = connection::open(m_readinessPort);
    message answer;
    return probe && probe->send("GET /sagesaddle/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        && probe->read(answer, milliseconds(1000), false) && answer.status() == 200;
}

bool gateway::waitReady(milliseconds timeout) const
{
    const auto until = steady::now() + timeout;
    while (steady::now() < until) {
        if (isReady())
            return true;
        sleepFor(milliseconds(100));
    }
    return false;
}

bool gateway::holdsLease(store& platform) const
{
    return platform.newest("keyed.lease", "duty").starts_with(address(m_peerPort) + "#");
}

double gateway::residentMegabytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

std::string routeText(const std::string& prefix, const std::string& type, const std::string& service,
    int timeoutMs, int objectiveMs, int retries, bool isResumable)
{
    return "{\"name\":" + jsonText(prefix) + ",\"hostname\":\"h.example\",\"path-prefix\":" + jsonText(prefix)
        + ",\"route-type\":" + jsonText(type) + ",\"service\":" + jsonText(service) + ",\"timeout-ms\":"
        + std::to_string(timeoutMs) + ",\"target-latency-ms\":" + std::to_string(objectiveMs)
        + ",\"priority\":1,\"max-attempts\":" + std::to_string(retries)
        + (isResumable ? ",\"resumable\":true" : "")
        + (type == "streaming" ? ",\"gap-aim-ms\":300,\"sticky\":true" : "") + "}";
}

std::string engineServiceText(const std::string& name, const std::vector<std::string>& models)
{
    std::string list;
    for (const auto& model : models)
        list += std::string(list.empty() ? "" : ",") + "{\"name\":" + jsonText(model)
            + ",\"weights-mb\":65100,\"load-time-s\":9,\"adapters\":0,\"adapter-mb\":12}";
    return "{\"name\":" + jsonText(name)
        + ",\"max-connections\":360,\"engine\":{\"slots\":64,\"kv-capacity\":147444,\"weights-mb\":230000,"
          "\"adapter-slots\":8,\"loads-per-s\":1.4,\"models\":["
        + list + "]}}";
}

std::string plainServiceText(const std::string& name)
{
    return "{\"name\":" + jsonText(name) + ",\"max-connections\":96}";
}

std::string teamText(const std::string& name, const std::vector<std::string>& keys)
{
    std::string list;
    for (const auto& key : keys)
        list += (list.empty() ? "" : ",") + jsonText(key);
    return "{\"name\":" + jsonText(name) + ",\"api-keys\":[" + list
        + "],\"unit\":\"tokens\",\"plain-tokens\":10,\"rate-per-s\":0,\"burst\":0}";
}

std::string configText(int version, const config_text& parts)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + parts.routes + "],\"services\":["
        + parts.services + "],\"tenants\":[" + parts.teams
        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
          "\"idle-timeout-ms\":15000}}";
}

std::string nextRequestId(const std::string& prefix)
{
    static std::atomic<int> count { 0 };
    return prefix + "-" + std::to_string(++count);
}

std::string requestText(const std::string& method, const std::string& target, const std::string& id,
    const std::string& key, int deadlineMs, const std::string& moreFields, const std::string& body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id + "\r\nKey: " + key
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + moreFields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

steady_clients::steady_clients(record_file& record, int port, int count, std::string target, std::string key)
    : m_record(record)
    , m_port(port)
    , m_target(std::move(target))
    , m_key(std::move(key))
{
    for (int number = 0; number < count; ++number)
        m_threads.emplace_back([this, number] { run(number); });
}

steady_clients::~steady_clients()
{
    stop();
}

void steady_clients::stop()
{
    m_isStopping = true;
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

std::vector<std::string> steady_clients::cut()
{
    const std::lock_guard lock(m_mutex);
    return m_cut;
}

void steady_clients::run(int number)
{
    std::unique_ptr<connection> kept;
    int earlier = 0;
    while (!m_isStopping) {
        if (!kept) {
            kept = connection::open(m_port);
            earlier = 0;
        }
        if (!kept) {
            sleepFor(milliseconds(200));
            continue;
        }
        const std::string id = nextRequestId("client" + std::to_string(number));
        message answer;
        m_record.write("client sends " + id + " " + m_target);
        const bool isAnswered = kept->send(requestText("POST", m_target, id, m_key, 3000, "", "order"))
            && kept->read(answer, milliseconds(3500), false);
        m_record.write("client got for " + id + ": "
            + (isAnswered ? std::to_string(answer.status())
                          : std::string(kept->isEnded() ? "closed connection" : "nothing")));
        if (isAnswered && answer.status() == 200)
            ++m_answered;
        if (!isAnswered && kept->isEnded() && earlier > 0) {
            const std::lock_guard lock(m_mutex);
            m_cut.push_back(id);
        }
        ++earlier;
        if (!isAnswered || answer.get("Connection") == "close")
            kept.reset();
    }
}

int finish(record_file& record, bool couldRun, bool isBroken, const std::string& text)
{
    const std::string result = !couldRun ? "could not run"
        : isBroken                       ? "the rule was broken"
                                         : "the rule held";
    record.write("result: " + result + ": " + text);
    std::printf("%s: %s\n", result.c_str(), text.c_str());
    return !couldRun ? 2 : isBroken ? 1 : 0;
}

} // namespace review
