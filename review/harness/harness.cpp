#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

const auto programStart = std::chrono::steady_clock::now();
constexpr const char* leaseTopic = "keyed.lease";
constexpr const char* serverTopic = "keyed.servers";
constexpr std::int64_t heartbeatMs = 1200;
constexpr int adapterCount = 74;
constexpr std::int64_t requestIntervalMs = 100;
constexpr int requestTimeoutMs = 3000;
constexpr int callerThreads = 16;
constexpr int readyTimeoutMs = 20000;
constexpr std::int64_t thawSlackMs = 300;

std::mutex healedMutex;
std::map<std::string, std::int64_t> healedAt;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
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
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = (group << 8U)
                | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            encoded += index <= text.size() - at ? digits[(group >> (18 - 6 * index)) & 63U] : '=';
    }
    return encoded;
}

std::string answerText(int status, const std::string& body, const std::string& fields = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int openListener(int& port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = 0;
    socklen_t size = sizeof(where);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0
        || listen(descriptor, 256) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr*>(&where), &size) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    port = ntohs(where.sin_port);
    return descriptor;
}

void setNoDelay(int descriptor)
{
    const int isOn = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - programStart)
        .count();
}

void sleepMs(std::int64_t duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void noteHealed(const std::string& gateway)
{
    const std::lock_guard lock(healedMutex);
    healedAt[gateway] = nowMs();
}

bool isWithinThawSlack(const std::string& gateway)
{
    const std::lock_guard lock(healedMutex);
    const auto found = healedAt.find(gateway);
    return found != healedAt.end() && nowMs() - found->second <= thawSlackMs;
}

recorder::recorder(const std::string& file)
    : m_file(file)
{
    std::ofstream(m_file, std::ios::trunc);
}

void recorder::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ", static_cast<double>(nowMs()) / 1000);
    std::ofstream(m_file, std::ios::app) << time << line << "\n";
}

std::string http_request::get(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string http_request::parameter(const std::string& name) const
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

connection::~connection()
{
    close(m_descriptor);
}

bool connection::read(http_request& request)
{
    request = {};
    while (true) {
        const std::size_t headEnd = m_buffer.find("\r\n\r\n");
        if (headEnd != std::string::npos) {
            std::istringstream head(m_buffer.substr(0, headEnd));
            std::string line;
            std::getline(head, line);
            std::istringstream first(line);
            first >> request.method >> request.target;
            request.fields.clear();
            while (std::getline(head, line)) {
                const std::size_t colon = line.find(':');
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                if (!value.empty() && value.back() == '\r')
                    value.pop_back();
                request.fields[lower(line.substr(0, colon))] = value;
            }
            const std::string length = request.get("content-length");
            const std::size_t bodySize = length.empty() ? 0 : std::stoul(length);
            if (m_buffer.size() >= headEnd + 4 + bodySize) {
                request.body = m_buffer.substr(headEnd + 4, bodySize);
                m_buffer.erase(0, headEnd + 4 + bodySize);
                return true;
            }
        }
        char bytes[16384];
        const ssize_t size = recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (size <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(size));
    }
}

bool connection::write(const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool connection::isClosed() const
{
    char next = 0;
    const ssize_t size = recv(m_descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::shutDown()
{
    shutdown(m_descriptor, SHUT_RDWR);
}

server::server(on_request handler)
    : m_handler(std::move(handler))
{
    m_listener = openListener(m_port);
    m_acceptor = std::thread([this] { serve(); });
}

server::~server()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& item : m_connections) {
            if (const auto open = item.lock())
                open->shutDown();
        }
    }
    for (auto& worker : m_workers)
        worker.join();
}

void server::cutAll()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& item : m_connections) {
        if (const auto open = item.lock())
            open->shutDown();
    }
}

std::string server::where() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void server::serve()
{
    while (!m_isStopping) {
        const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        setNoDelay(accepted);
        const auto added = std::make_shared<connection>(accepted);
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(added);
        m_workers.emplace_back([this, held = added]() mutable {
            http_request request;
            while (!m_isStopping && held->read(request))
                m_handler(*held, request);
            held.reset();
        });
    }
}

store::store(recorder& record, int gateways)
    : m_record(record)
    , m_isCutOff(static_cast<std::size_t>(gateways), false)
{
    for (int number = 0; number < gateways; ++number)
        m_doors.push_back(std::make_unique<server>(
            [this, number](connection& from, const http_request& call) { onCall(number, from, call); }));
}

store::~store()
{
    m_isStopping = true;
    m_changed.notify_all();
    m_doors.clear();
}

void store::append(topic_log& log, const std::string& key, const std::string& value)
{
    if (value.empty())
        log.newest.erase(key);
    else
        log.newest[key] = log.records.size();
    log.records.push_back({ key, value });
    m_changed.notify_all();
}

std::string store::answerOf(int status, const std::string& body) const
{
    return answerText(status, body, "Store-Era: " + std::to_string(m_era) + "\r\n");
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    if (!m_isAway)
        append(m_topics[topic], key, value);
}

void store::setCutOff(int gateway, bool isCutOff)
{
    const std::lock_guard lock(m_mutex);
    m_isCutOff[static_cast<std::size_t>(gateway)] = isCutOff;
    if (!isCutOff)
        noteHealed("g" + std::to_string(gateway + 1));
    m_record.write("g" + std::to_string(gateway + 1)
        + (isCutOff ? " is cut off from the store" : " reaches the store again"));
}

void store::setAway(bool isAway)
{
    const std::lock_guard lock(m_mutex);
    m_isAway = isAway;
    m_record.write(isAway ? "the store is away" : "the store is back");
}

void store::saveCopy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_topics;
}

void store::returnToCopy()
{
    const std::lock_guard lock(m_mutex);
    m_topics = m_copy;
    ++m_era;
    m_record.write("the store has returned from its older copy, era " + std::to_string(m_era));
    m_changed.notify_all();
}

std::string store::newestLease()
{
    const std::lock_guard lock(m_mutex);
    const auto& log = m_topics[leaseTopic];
    return log.records.empty() ? std::string() : log.records.back().value;
}

int store::lastAppender()
{
    const std::lock_guard lock(m_mutex);
    return m_lastAppender;
}

std::int64_t store::lastAppendAt()
{
    const std::lock_guard lock(m_mutex);
    return m_lastAppendAt;
}

void store::holdSilent(connection& from) const
{
    while (!m_isStopping && !from.isClosed())
        sleepMs(20);
    from.shutDown();
}

void store::onCall(int gateway, connection& from, const http_request& call)
{
    {
        std::unique_lock lock(m_mutex);
        if (isCutOffLocked(gateway)) {
            lock.unlock();
            holdSilent(from);
            return;
        }
    }
    if (call.target.find("log-append") != std::string::npos) {
        onAppend(gateway, from, call);
        return;
    }
    if (call.target.find("log-read") != std::string::npos) {
        onTail(gateway, from, call);
        return;
    }
    std::string items;
    std::size_t end = 0;
    {
        const std::lock_guard lock(m_mutex);
        const auto& log = m_topics[call.parameter("topic")];
        end = log.records.size();
        for (const auto& [key, offset] : log.newest)
            items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")"
                + base64(log.records[offset].value) + R"(","offset":)" + std::to_string(offset) + "}";
    }
    from.write(answerOf(
        200, R"({"items":[)" + items + R"(],"more-pages":false,"end":)" + std::to_string(end) + "}"));
}

void store::onAppend(int gateway, connection& from, const http_request& call)
{
    const call_fate fate = appendFate ? appendFate(gateway) : call_fate::Sound;
    const std::string name = "g" + std::to_string(gateway + 1);
    std::string reply;
    {
        const std::lock_guard lock(m_mutex);
        auto& log = m_topics[call.parameter("topic")];
        const std::string at = call.parameter("at");
        if (!at.empty() && std::stoul(at) != log.records.size()) {
            reply = answerOf(412, R"({"end":)" + std::to_string(log.records.size()) + "}");
            m_record.write(name + " appends to the lease at " + at + ": 412");
        } else {
            const auto keySize = static_cast<unsigned char>(call.body.at(4));
            append(log, call.body.substr(5, keySize), call.body.substr(5U + keySize));
            reply = answerOf(200,
                R"({"offset":)" + std::to_string(log.records.size() - 1) + R"(,"end":)"
                    + std::to_string(log.records.size()) + "}");
            m_lastAppender = gateway;
            m_lastAppendAt = nowMs();
            m_record.write(name + " appends to the lease at " + at + ": '" + log.records.back().value
                + "', end " + std::to_string(log.records.size())
                + (fate == call_fate::AnswerLost ? ", carried out, its answer is lost" : ""));
        }
    }
    if (fate == call_fate::AnswerLost) {
        holdSilent(from);
        return;
    }
    sleepMs(4);
    from.write(reply);
}

void store::onTail(int gateway, connection& from, const http_request& call)
{
    const std::size_t first = std::stoul(call.parameter("from"));
    const std::string wait = call.parameter("wait-ms");
    std::string body;
    {
        std::unique_lock lock(m_mutex);
        auto& log = m_topics[call.parameter("topic")];
        m_changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait)),
            [&] { return m_isStopping || m_isAway || log.records.size() != first; });
        if (isCutOffLocked(gateway)) {
            lock.unlock();
            holdSilent(from);
            return;
        }
        if (first > log.records.size()) {
            const std::string reply = answerOf(410, R"({"first":0})");
            lock.unlock();
            from.write(reply);
            return;
        }
        body = bigEndian(log.records.size(), 8) + bigEndian(0, 8);
        for (std::size_t offset = first; offset < log.records.size(); ++offset) {
            const auto& item = log.records[offset];
            body += bigEndian(1 + item.key.size() + item.value.size(), 4) + bigEndian(item.key.size(), 1)
                + item.key + item.value;
        }
    }
    from.write(answerOf(200, body));
}

engine::engine(recorder& record, settings value)
    : m_record(record)
    , m_settings(std::move(value))
    , m_startedAt(std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
                      .count())
    , m_server([this](connection& from, const http_request& call) { onCall(from, call); })
{
}

std::string engine::listingLocked() const
{
    std::string models;
    for (const auto& model : m_settings.models) {
        std::string adapters;
        for (const auto& adapter : m_adapters) {
            if (adapter.starts_with(model + "/"))
                adapters += (adapters.empty() ? "\"" : ",\"") + adapter.substr(model.size() + 1) + "\"";
        }
        models += (models.empty() ? "" : ",") + std::string(R"({"name":")") + model
            + R"(","version":1,"adapters":[)" + adapters + "]}";
    }
    return R"({"service":")" + m_settings.service + R"(","address":")" + m_server.where()
        + R"(","zone":"z","version":1,"slots":64,"state":"ready","cold-remaining-ms":0,"stage":"both","busy":false,)"
          R"("queued":0,"running":0,"kv-used":0,"kv-total":147444,"handles":0,"models":[)"
        + models + R"(],"sequence":)" + std::to_string(m_accepted) + R"(,"born":)"
        + std::to_string(m_startedAt) + "}";
}

std::string engine::listing()
{
    const std::lock_guard lock(m_mutex);
    return listingLocked();
}

std::vector<received_order> engine::orders()
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

std::vector<std::string> engine::violations()
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::map<std::string, int> engine::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::map<std::string, std::int64_t> engine::runTimes()
{
    const std::lock_guard lock(m_mutex);
    return m_runTimes;
}

void engine::exit()
{
    m_hasExited = true;
    m_record.write(m_settings.id + " exits");
    m_server.cutAll();
}

int engine::acceptOrder(const http_request& call)
{
    const std::string expected = jsonValue(call.body, "expected");
    if (!expected.empty() && std::stoull(expected) != m_accepted)
        return 409;
    const std::string model = jsonValue(call.body, "model");
    const std::string adapter = jsonValue(call.body, "adapter");
    // Models stay as they are: only adapters are ordered in these cases.
    if (adapter.empty())
        return 400;
    const std::string name = model + "/" + adapter;
    ++m_accepted;
    if (jsonValue(call.body, "operation") == "unload") {
        m_adapters.erase(name);
        return 200;
    }
    m_adapters.insert(name);
    return 202;
}

void engine::onCall(connection& from, const http_request& call)
{
    if (m_hasExited) {
        from.shutDown();
        return;
    }
    if (call.target.find("/sagesaddle/report") != std::string::npos) {
        from.write(answerText(200, listing()));
        return;
    }
    if (call.get("expect-instance") != m_settings.id) {
        from.write(answerText(421, "", "Request-Id: " + call.get("request-id") + "\r\nNot-Run: 1\r\n"));
        return;
    }
    if (call.target.find("/sagesaddle/order") != std::string::npos) {
        const std::lock_guard lock(m_mutex);
        received_order order { nowMs(), jsonValue(call.body, "holder"),
            std::stoull(jsonValue(call.body, "fencing-token")), acceptOrder(call) };
        m_record.write(m_settings.id + " gets an order of " + order.holder + ", fence "
            + std::to_string(order.fence) + ": " + jsonValue(call.body, "operation") + " "
            + jsonValue(call.body, "model") + "/" + jsonValue(call.body, "adapter") + ", answered "
            + std::to_string(order.status));
        if (isWithinThawSlack(order.holder)) {
            from.write(answerText(order.status, ""));
            return;
        }
        const bool isOtherThanLast = !m_orders.empty() && m_orders.back().holder != order.holder;
        for (const auto& earlier : m_orders) {
            const bool isOther = earlier.holder != order.holder;
            std::string broken;
            if (order.fence < earlier.fence)
                broken = "a lower fencing token after a higher one";
            else if (isOther && order.fence == earlier.fence)
                broken = "two holders with one fencing token";
            else if (!isOther && isOtherThanLast && order.at - earlier.at < m_settings.leaseMs)
                broken = "holders take turns within lease-ms";
            if (broken.empty())
                continue;
            broken = "ONE is broken at " + m_settings.id + ": " + broken + ": " + earlier.holder
                + " with fence " + std::to_string(earlier.fence) + ", then " + order.holder + " with fence "
                + std::to_string(order.fence);
            m_violations.push_back(broken);
            m_record.write(broken);
            break;
        }
        m_orders.push_back(order);
        from.write(answerText(order.status, ""));
        return;
    }
    const std::string id = call.get("request-id");
    bool isLoaded = false;
    {
        const std::lock_guard lock(m_mutex);
        const std::string wanted = call.get("model");
        isLoaded = m_adapters.contains(wanted) || m_settings.models.contains(wanted);
        if (isLoaded) {
            ++m_runs[id];
            m_runTimes.emplace(id, nowMs());
        }
    }
    if (!isLoaded) {
        from.write(answerText(421, "", "Request-Id: " + id + "\r\nNot-Run: 1\r\n"));
        return;
    }
    const int interval = m_spoilInterval;
    const bool isSpoiled = interval > 0 && m_answers++ % interval == 0;
    if (isSpoiled)
        m_record.write(m_settings.id + " spoils its answer to " + id + ": it begins with 'HTTP/1.1 2 0 OK'");
    from.write(std::string(isSpoiled ? "HTTP/1.1 2 0 OK" : "HTTP/1.1 200 OK") + "\r\nRequest-Id: " + id
        + "\r\nServer-Stamp: s\r\n" + (m_isLeaving ? "Server-Leaving: 1\r\n" : "")
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int number = 1; number <= m_settings.streamEvents; ++number) {
        if (number > 1)
            sleepMs(m_settings.eventPauseMs);
        const std::string event = "id: " + std::to_string(number) + "\ndata: answer to " + id + "\n\n";
        std::ostringstream size;
        size << std::hex << event.size();
        if (m_hasExited || !from.write(size.str() + "\r\n" + event + "\r\n")) {
            m_record.write("the run of " + id + " at " + m_settings.id + " is broken off");
            return;
        }
    }
    from.write("0\r\n\r\n");
}

std::string jsonValue(const std::string& text, const std::string& key)
{
    const std::string name = "\"" + key + "\":";
    std::size_t at = text.find(name);
    if (at == std::string::npos)
        return {};
    at += name.size();
    if (text[at] == '"')
        return text.substr(at + 1, text.find('"', at + 1) - at - 1);
    return text.substr(at, text.find_first_of(",}", at) - at);
}

int freePort()
{
    int port = 0;
    close(openListener(port));
    return port;
}

int sendRequest(int port, const std::string& text, int timeoutMs, std::string* answer)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where {};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    std::string received;
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0) {
        send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        const std::int64_t end = nowMs() + timeoutMs;
        while (nowMs() < end) {
            pollfd waiting { descriptor, POLLIN, 0 };
            if (poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(1, end - nowMs()))) <= 0)
                break;
            char bytes[16384];
            const ssize_t size = recv(descriptor, bytes, sizeof(bytes), 0);
            if (size <= 0)
                break;
            received.append(bytes, static_cast<std::size_t>(size));
        }
    }
    close(descriptor);
    if (answer != nullptr)
        *answer = received;
    return received.starts_with("HTTP/1.1 ") ? std::atoi(received.c_str() + 9) : 0;
}

gateway::gateway(recorder& record, const std::string& folder, int number, const std::string& storeAddress)
    : m_record(record)
    , m_name("g" + std::to_string(number + 1))
    , m_settings(folder + "/" + m_name + ".toml")
    , m_output(folder + "/" + m_name + ".log")
    , m_callers(freePort())
    , m_readiness(freePort())
{
    const std::string local = "127.0.0.1:";
    std::ofstream(m_settings)
        << "[process]\nname = \"" << m_name << "\"\nzone = \"z\"\n[listen]\ncallers = \"" << local
        << m_callers << "\"\nreadiness = \"" << local << m_readiness << "\"\npeers = \"" << local
        << freePort() << "\"\n[store]\naddress = \"" << storeAddress
        << "\"\n[bounds]\ngrace_s = 8\nrevoke_ms = 5000\nlease_ms = 3000\nretry_ratio = 0.2\n"
           "retry_slack = 52\n[limits]\ncores = 0.19\nlink_mbps = 1000.0\ndescriptors = 4200\n";
}

gateway::~gateway()
{
    kill();
}

void gateway::start()
{
    const pid_t parent = getpid();
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(2);
        const int output = open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        setenv("SAGESADDLE_NODE_FILE", m_settings.c_str(), 1);
        execl("target/bin/sagesaddle-gateway", "target/bin/sagesaddle-gateway", nullptr);
        _exit(2);
    }
    m_record.write(m_name + " is started");
}

void gateway::kill()
{
    if (m_process < 0)
        return;
    ::kill(m_process, SIGCONT);
    ::kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = -1;
    m_record.write(m_name + " is killed");
}

void gateway::signal(int number)
{
    if (m_process > 0)
        ::kill(m_process, number);
    m_record.write(m_name + " gets signal " + std::to_string(number));
}

bool gateway::isRunning()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = -1;
    return m_process > 0;
}

bool gateway::isReady() const
{
    return sendRequest(
               m_readiness, "GET /sagesaddle/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 500)
        == 200;
}

small_deployment::small_deployment(int gatewayCount, int streamEvents, std::int64_t eventPauseMs)
    : record([] {
        const char* file = std::getenv("RECORD");
        return std::string(file == nullptr ? "record.txt" : file);
    }())
    , folder([] {
        const char* parent = std::getenv("TMPDIR");
        std::string name = std::string(parent == nullptr ? "/tmp" : parent) + "/review.XXXXXX";
        if (mkdtemp(name.data()) == nullptr)
            std::exit(2);
        return name;
    }())
    , platformStore(record, gatewayCount)
{
    for (int number = 0; number < 4; ++number) {
        engine::settings value;
        value.id = "e" + std::to_string(number + 1);
        value.service = "desk";
        value.models = { "m1" };
        value.adapterSlots = 8;
        value.streamEvents = streamEvents;
        value.eventPauseMs = eventPauseMs;
        engines.push_back(std::make_unique<engine>(record, value));
    }
    for (int number = 0; number < gatewayCount; ++number)
        gateways.push_back(
            std::make_unique<gateway>(record, folder, number, platformStore.addressFor(number)));
}

small_deployment::~small_deployment()
{
    m_isStopping = true;
    for (auto& thread : m_threads)
        thread.join();
    gateways.clear();
    if (std::getenv("KEEP") == nullptr) {
        for (const char* suffix : { ".toml", ".log" }) {
            for (int number = 1; number <= 9; ++number)
                unlink((folder + "/g" + std::to_string(number) + suffix).c_str());
        }
        rmdir(folder.c_str());
    }
}

void small_deployment::configure(int version, bool hasSecondKey)
{
    platformStore.put("keyed.op", "config",
        R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r1","hostname":"h","path-prefix":"/s/","route-type":"streaming",)"
              R"("service":"desk","timeout-ms":15000,"target-latency-ms":600,"gap-aim-ms":300,"priority":1,)"
              R"("max-attempts":1}],"services":[{"name":"desk","max-connections":360,"engine":{"slots":64,)"
              R"("kv-capacity":147444,"weights-mb":230000,"adapter-slots":8,"loads-per-s":1.4,"models":[{"name":"m1",)"
              R"("weights-mb":65100,"load-time-s":9,"adapters":)"
            + std::to_string(adapterCount)
            + R"(,"adapter-mb":66}]}}],"tenants":[{"name":"t1","api-keys":["key-1"],"unit":"tokens",)"
              R"("plain-tokens":200,"rate-per-s":100000,"burst":100000},{"name":"t2","unit":"tokens","plain-tokens":200,)"
              R"("api-keys":[)"
            + (hasSecondKey ? R"("key-2")" : "") + "]}]}");
}

bool small_deployment::start()
{
    signal(SIGPIPE, SIG_IGN);
    configure(7, true);
    for (const auto& item : engines)
        platformStore.put(serverTopic, item->id(), item->listing());
    m_threads.emplace_back([this] {
        for (std::int64_t next = nowMs() + heartbeatMs; !m_isStopping; sleepMs(20)) {
            if (nowMs() < next)
                continue;
            next += heartbeatMs;
            for (const auto& item : engines) {
                if (!item->hasLeft())
                    platformStore.put(serverTopic, item->id(), item->listing());
            }
        }
    });
    for (const auto& item : gateways) {
        item->start();
        const std::int64_t end = nowMs() + readyTimeoutMs;
        while (!item->isReady()) {
            if (nowMs() > end)
                return false;
            sleepMs(50);
        }
        record.write(item->name() + " is ready");
    }
    static std::atomic<std::int64_t> counter { 0 };
    const std::int64_t begun = nowMs();
    for (int thread = 0; thread < callerThreads; ++thread)
        m_threads.emplace_back([this, begun] {
            while (!m_isStopping) {
                const std::int64_t number = counter++;
                const std::int64_t wait = begun + number * requestIntervalMs - nowMs();
                if (wait > 0)
                    sleepMs(wait);
                if (!m_isStopping)
                    callOnce(number);
            }
        });
    return true;
}

void small_deployment::callOnce(std::int64_t number)
{
    const std::string id = "r" + std::to_string(number);
    const std::string adapter = "a" + std::to_string(number % adapterCount + 1);
    const auto& target = *gateways[static_cast<std::size_t>(number) % gateways.size()];
    const int status = sendRequest(target.callerPort(),
        "POST /s/x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nModel: m1/" + adapter
            + "\r\nToken-Counts: 500,80\r\nPrompt-Prefix: 5c1e07a2:350," + std::to_string(1000 + number)
            + ":150\r\nDeadline-Ms: 3000\r\nKey: key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
        requestTimeoutMs);
    ++m_sent;
    m_answered += status == 200 ? 1 : 0;
    record.write(
        "request " + id + " for m1/" + adapter + " to " + target.name() + ": " + std::to_string(status));
}

int small_deployment::finish(std::size_t brokenElsewhere)
{
    m_isStopping = true;
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    for (const auto& item : gateways)
        item->kill();
    std::size_t violations = brokenElsewhere;
    std::map<std::string, int> holders;
    std::map<std::string, int> runs;
    for (const auto& item : engines) {
        violations += item->violations().size();
        for (const auto& order : item->orders())
            ++holders[order.holder];
        for (const auto& [id, count] : item->runs())
            runs[id] += count;
    }
    for (const auto& [id, count] : runs) {
        if (count > 1) {
            record.write("TWICE is broken: " + id + " ran " + std::to_string(count) + " times");
            ++violations;
        }
    }
    std::string summary = "sent " + std::to_string(m_sent) + ", answered with success "
        + std::to_string(m_answered) + ", orders";
    for (const auto& [name, count] : holders)
        summary += " " + name + ":" + std::to_string(count);
    record.write(summary + ", broken " + std::to_string(violations));
    if (m_answered < 20 || holders.empty()) {
        record.write("the deployment did not serve: the case could not run");
        return 2;
    }
    return violations > 0 ? 1 : 0;
}

} // namespace review
