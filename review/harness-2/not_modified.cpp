// Two tenants on kept connections, one of them with conditional requests that the server answers 304, while the
// server sends some of its answers a second time, late.
#include "small_platform.h"

using namespace small_platform;

namespace {

constexpr int rounds = 8;
// Of the answers to member-a, one in this many comes a second time: under 5 in 100 of all answers.
constexpr int answersForOneCopy = 20;
constexpr std::size_t bodyBytes = 800;

std::string bodyFor(const std::string& tenant)
{
    std::string text = "stock and prices of " + tenant + ", not for others; ";
    while (text.size() < bodyBytes)
        text += text;
    return text.substr(0, bodyBytes);
}

/// Answers requests; a second copy follows the next answer on the same connection.
void serveLedger(recorder& record, std::atomic<int>& answered, std::atomic<int>& copies, int socket)
{
    std::string rest;
    std::string lateCopy;
    request call;
    while (readRequest(socket, rest, call)) {
        const std::string tenant = call.fields["tenant"];
        const bool isConditional = call.fields.contains("if-none-match");
        // Without a change, a server may state the length that the body would have.
        std::string text = std::string("HTTP/1.1 ") + (isConditional ? "304 Not Modified" : "200 OK")
            + "\r\nRequest-Id: " + call.fields["request-id"] + "\r\nServer-Stamp: s-" + tenant
            + "\r\nETag: \"7\"\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
        if (!isConditional)
            text += bodyFor(tenant);
        record.line("server: runs %s of %s, answers %s%s", call.fields["request-id"].c_str(), tenant.c_str(),
            isConditional ? "304" : "200", lateCopy.empty() ? "" : ", and sends the answer before it once more");
        const bool isCopied = hasTrouble() && tenant == "member-a" && ++answered % answersForOneCopy == 0;
        copies += lateCopy.empty() ? 0 : 1;
        if (!sendAll(socket, text + lateCopy))
            return;
        lateCopy = isCopied ? text : std::string();
    }
}

/// A caller that keeps its connection; a new one replaces one that has ended.
class caller {
public:
    caller(int port, std::string key)
        : m_port(port)
        , m_key(std::move(key))
    {
    }

    ~caller() { ::close(m_socket); }

    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Sends a request, reads its answer and all that follows within a short time.
    /// \return the answer's status; 0 without one
    int call(const std::string& id, const std::string& fields, std::string& body, std::string& excess)
    {
        if (m_socket < 0)
            m_socket = connectTo(m_port);
        body.clear();
        excess.clear();
        if (m_socket < 0
            || !sendAll(m_socket,
                "GET /stock/" + id + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nKey: " + m_key
                    + "\r\nDeadline-Ms: 3000\r\n" + fields + "\r\n"))
            return 0;
        std::string text;
        std::size_t end = 0;
        while ((end = text.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(text, 5))
                return 0;
        }
        const int status = std::stoi(text.substr(9, 3));
        const std::size_t stated = text.find("Content-Length: ");
        std::size_t length = stated < end ? std::stoul(text.substr(stated + 16)) : 0;
        // An answer with this status has no body, whatever length it states.
        length = status == 304 ? 0 : length;
        while (text.size() < end + 4 + length) {
            if (!receive(text, 5))
                return 0;
        }
        body = text.substr(end + 4, length);
        if (status == 304)
            receive(text, 0.2);
        excess = text.substr(end + 4 + length);
        return status;
    }

private:
    bool receive(std::string& text, double seconds)
    {
        const timeval limit { static_cast<time_t>(seconds), static_cast<suseconds_t>(seconds * 1e6) % 1000000 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        char buffer[16384];
        const ssize_t size = ::recv(m_socket, buffer, sizeof(buffer), 0);
        if (size > 0) {
            text.append(buffer, static_cast<std::size_t>(size));
            return true;
        }
        if (size == 0) {
            ::close(m_socket);
            m_socket = -1;
        }
        return false;
    }

    int m_port;
    std::string m_key;
    int m_socket { -1 };
};

} // namespace

int main(int count, char** values)
{
    if (count != 3)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    recorder record(values[2]);
    store platform;
    std::atomic<int> answered { 0 };
    std::atomic<int> copies { 0 };
    const server ledger([&](int socket) { serveLedger(record, answered, copies, socket); });
    platform.put("keyed.op", "config",
        "{\"version\":1,\"routes\":[{\"name\":\"stock\",\"hostname\":\"h\",\"path-prefix\":\"/stock/\","
        "\"route-type\":\"safe\",\"timeout-ms\":1200,\"target-latency-ms\":150,\"priority\":1,\"service\":"
        "\"ledger\",\"max-attempts\":2}],\"services\":[{\"name\":\"ledger\",\"max-connections\":96}],"
        "\"tenants\":[{\"name\":\"member-a\",\"api-keys\":[\"key-a\"],\"rate-per-s\":0},"
        "{\"name\":\"member-b\",\"api-keys\":[\"key-b\"],\"rate-per-s\":0}]}");
    platform.put("keyed.servers", "i-1", serverEntry("ledger", ledger.port));
    const gateway front(platform.port(), values[1]);
    if (!front.waitReady()) {
        record.line("the gateway is not ready");
        return 2;
    }
    caller memberA(front.callers, "key-a");
    caller memberB(front.callers, "key-b");
    int broken = 0;
    int servedToA = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string body;
        std::string excess;
        for (int index = 0; index < answersForOneCopy; ++index) {
            const std::string id = "a" + std::to_string(round) + "-" + std::to_string(index);
            const int status = memberA.call(id, "", body, excess);
            servedToA += status == 200 ? 1 : 0;
            record.line("member-a: %s got %d, %zu bytes", id.c_str(), status, body.size());
            if (status == 200 && body != bodyFor("member-a")) {
                ++broken;
                record.line("broken: %s has a body that is not the server's", id.c_str());
            }
        }
        const std::string id = "b" + std::to_string(round);
        const int status = memberB.call(id, "If-None-Match: \"7\"\r\n", body, excess);
        record.line("member-b: %s got %d and %zu bytes behind it", id.c_str(), status, excess.size());
        if (!excess.empty()) {
            ++broken;
            record.line("broken: %zu bytes that are no answer to member-b follow its 304: %s", excess.size(),
                excess.find("stock and prices of member-a") == std::string::npos
                    ? "no answer at all"
                    : "they hold the answer to another request, of member-a");
        }
        // Time until a server that was taken for silent is used again.
        sleepFor(1);
    }
    record.line("%d answers of 200 to member-a, %d second copies sent, %d times broken", servedToA, copies.load(), broken);
    if (servedToA == 0)
        return 2;
    return broken > 0 ? 1 : 0;
}
