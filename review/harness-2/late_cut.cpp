// Callers that read slowly, and a gateway that is told to stop (SIGTERM) while their requests run.
#include "small_platform.h"

using namespace small_platform;

namespace {

// A caller takes its answer at this pace, from the first byte on; it never stops reading.
constexpr double bytesPerSecond = 200000;
constexpr int deadlineMs = 15000;
// Sizes of the answers, in bytes: 3 to 9 s at that pace.
constexpr int firstSize = 600000;
constexpr int sizeStep = 50000;
constexpr int callerCount = 25;
// Time that the server works on a request.
constexpr double workSeconds = 0.3;

struct outcome {
    std::string head;
    std::size_t bodyBytes { 0 };
    std::size_t statedBytes { 0 };
    bool isChunked { false };
    bool isComplete { false };
    bool isClosed { false };
    double endedAt { 0 };
};

/// Counts the bytes of a chunked body.
class chunk_counter {
public:
    void feed(const std::string& bytes)
    {
        for (const char byte : bytes) {
            if (m_left > 0) {
                --m_left;
                ++total;
            } else if (byte == '\n') {
                if (!m_line.empty()) {
                    m_left = std::strtoul(m_line.c_str(), nullptr, 16);
                    isComplete = m_left == 0;
                }
                m_line.clear();
            } else if (byte != '\r') {
                m_line += byte;
            }
        }
    }

    std::size_t total { 0 };
    bool isComplete { false };

private:
    std::size_t m_left { 0 };
    std::string m_line;
};

void serveLedger(recorder& record, int socket)
{
    std::string rest;
    request call;
    while (readRequest(socket, rest, call)) {
        const std::string id = call.fields["request-id"];
        record.line("server: runs %s %s", id.c_str(), call.target.c_str());
        sleepFor(workSeconds);
        const std::size_t size = std::stoul(call.target.substr(call.target.rfind('/') + 1));
        if (!sendAll(socket,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\nContent-Length: "
                    + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x')))
            return;
        record.line("server: has answered %s, %zu bytes", id.c_str(), size);
    }
}

void runCaller(recorder& record, const gateway& front, int number, outcome& out)
{
    const int size = firstSize + number * sizeStep;
    const std::string id = "r" + std::to_string(number);
    const int socket = connectTo(front.callers, [](int made) {
        // Like a caller on an Ethernet, which has no segments of 64 KB.
        const int segment = 1460;
        const int window = 32768;
        ::setsockopt(made, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        ::setsockopt(made, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    });
    if (socket < 0)
        std::exit(2);
    const timeval limit { 4, 0 };
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sendAll(socket,
        "POST /deposit/" + std::to_string(size) + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
            + std::to_string(deadlineMs) + "\r\nContent-Length: 4\r\n\r\nbody");
    record.line("caller: sent %s, whole", id.c_str());
    std::size_t received = 0;
    double begin = 0;
    chunk_counter chunks;
    while (!out.isComplete) {
        char buffer[4096];
        const ssize_t bytes = ::recv(socket, buffer, sizeof(buffer), 0);
        if (bytes <= 0) {
            out.isClosed = true;
            break;
        }
        if (begin == 0)
            begin = now();
        received += static_cast<std::size_t>(bytes);
        std::string text(buffer, static_cast<std::size_t>(bytes));
        if (out.head.find("\r\n\r\n") == std::string::npos) {
            out.head += text;
            const std::size_t end = out.head.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            text = out.head.substr(end + 4);
            out.head.resize(end + 4);
            out.isChunked = out.head.find("chunked") != std::string::npos;
            const std::size_t stated = out.head.find("Content-Length: ");
            out.statedBytes = out.isChunked ? 0 : std::stoul(out.head.substr(stated + 16));
        }
        if (out.isChunked) {
            chunks.feed(text);
            out.bodyBytes = chunks.total;
            out.isComplete = chunks.isComplete;
        } else {
            out.bodyBytes += text.size();
            out.isComplete = out.bodyBytes >= out.statedBytes;
        }
        const double due = begin + static_cast<double>(received) / bytesPerSecond;
        if (due > now())
            sleepFor(due - now());
    }
    out.endedAt = now();
    ::close(socket);
    record.line("caller: %s %s, %.9s..., %zu of %d bytes of the body%s", id.c_str(),
        out.isComplete ? "has a complete answer" : "got an INCOMPLETE answer", out.head.c_str(), out.bodyBytes, size,
        out.isClosed ? ", the connection has ended" : "");
}

} // namespace

int main(int count, char** values)
{
    if (count != 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    recorder record(values[2]);
    store platform;
    const server ledger([&](int socket) { serveLedger(record, socket); });
    platform.put("keyed.op", "config",
        "{\"version\":1,\"routes\":[{\"name\":\"deposit\",\"hostname\":\"h\",\"path-prefix\":\"/deposit/\","
        "\"route-type\":\"unsafe\",\"timeout-ms\":15000,\"target-latency-ms\":500,\"priority\":1,\"service\":"
        "\"ledger\",\"max-attempts\":1}],\"services\":[{\"name\":\"ledger\",\"max-connections\":240}],"
        "\"tenants\":[],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        "\"header-timeout-ms\":5000,\"idle-timeout-ms\":30000}}");
    platform.put("keyed.servers", "i-1", serverEntry("ledger", ledger.port));
    const gateway front(platform.port(), values[1]);
    if (!front.waitReady()) {
        record.line("the gateway is not ready");
        return 2;
    }
    std::vector<outcome> outcomes(callerCount);
    std::vector<std::thread> callers;
    for (int number = 0; number < callerCount; ++number)
        callers.emplace_back([&, number] { runCaller(record, front, number, outcomes[number]); });
    sleepFor(0.15);
    const double stoppedAt = now();
    if (hasTrouble()) {
        ::kill(front.pid, SIGTERM);
        record.line("SIGTERM to the gateway; grace 8 s");
    }
    for (auto& caller : callers)
        caller.join();
    int incomplete = 0;
    for (const auto& item : outcomes) {
        if (item.isComplete)
            continue;
        ++incomplete;
        record.line("broken: an answer of the server ended after %zu bytes, noticed %.1f s after SIGTERM",
            item.bodyBytes, item.endedAt - stoppedAt);
    }
    record.line("%d of %d answers incomplete", incomplete, callerCount);
    return incomplete > 0 ? 1 : 0;
}
