// Two tenants on kept connections: one asks in plain requests, the other now and then in a conditional one
// that the servers answer 304. One of two servers sends some of its answers once more, late, behind the next
// answer on the same connection.
#include "stand_ins.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <utility>

using namespace review;

namespace {

constexpr int rounds = 5;
constexpr int requestsPerRound = 21;
// One plain answer of this many of the faulty server comes twice: under 5 in 100 of its answers.
constexpr int answersForOneCopy = 21;
constexpr std::size_t bodyBytes = 800;
constexpr int deadlineMs = 3000;
// Time in which what follows a 304 arrives.
constexpr milliseconds silence { 300 };
// Time until a server that counted as silent is used as before.
constexpr milliseconds roundPause { 1000 };

std::string bodyFor(const std::string& tenant)
{
    std::string text;
    while (text.size() < bodyBytes)
        text += "stock and prices of " + tenant + ", for nobody else; ";
    return text.substr(0, bodyBytes);
}

/// \return the caller's port, by which a connection is told from an earlier one at the same address.
int peerPort(const connection& from)
{
    sockaddr_in peer {};
    socklen_t size = sizeof(peer);
    getpeername(from.socket(), reinterpret_cast<sockaddr*>(&peer), &size);
    return ntohs(peer.sin_port);
}

/// \brief Answers requests; a faulty one sends some answers once more, each behind the next on its
/// connection.
class ledger_answers {
public:
    ledger_answers(record_file& record, std::string id, bool isFaulty)
        : m_record(record)
        , m_id(std::move(id))
        , m_isFaulty(isFaulty)
    {
    }

    void answer(connection& to, const message& request)
    {
        const std::string tenant = request.get("Tenant");
        const bool isConditional = request.has("If-None-Match");
        // An answer 304 has no body; it may state the length that the body would have.
        const std::string text
            = answerHead(request, isConditional ? 304 : 200,
                  "ETag: \"7\"\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n")
            + (isConditional ? std::string() : bodyFor(tenant));
        const std::lock_guard lock(m_mutex);
        const std::string copy = std::exchange(m_lateCopies[peerPort(to)], {});
        ++m_answers;
        if (m_isFaulty && !isConditional && ++m_plainAnswers % answersForOneCopy == 0)
            m_lateCopies[peerPort(to)] = text;
        to.send(text + copy);
        m_copies += copy.empty() ? 0 : 1;
        m_record.write(m_id + " answers " + request.get("Request-Id") + (isConditional ? " 304" : " 200")
            + (copy.empty() ? "" : ", and sends the answer before it once more"));
    }

    /// \return the numbers of answers and of second copies.
    std::pair<int, int> counts()
    {
        const std::lock_guard lock(m_mutex);
        return { m_answers, m_copies };
    }

private:
    record_file& m_record;
    std::string m_id;
    bool m_isFaulty;
    std::mutex m_mutex;
    /// By the caller's port of the connection.
    std::map<int, std::string> m_lateCopies;
    int m_answers { 0 };
    int m_plainAnswers { 0 };
    int m_copies { 0 };
};

struct answer_text {
    int status { 0 };
    std::string body;
    /// What came behind the answer, before the next request was sent.
    std::string excess;
};

/// Sends a request on a kept connection and reads all that comes.
answer_text ask(connection& kept, const std::string& id, const std::string& key, const std::string& fields)
{
    kept.send(requestText("GET", "/stock/" + id, id, key, deadlineMs, fields, ""));
    answer_text result;
    std::string text;
    const auto until = steady::now() + milliseconds(deadlineMs + 500);
    std::size_t whole = std::string::npos;
    std::size_t head = std::string::npos;
    while (steady::now() < until && text.size() < whole && !kept.isEnded()) {
        text += kept.receive(milliseconds(100));
        head = text.find("\r\n\r\n");
        if (head == std::string::npos)
            continue;
        result.status = std::stoi(text.substr(9, 3));
        const std::size_t stated = text.find("Content-Length: ");
        // An answer with this status has no body, whatever length it states.
        whole = head + 4 + (result.status == 304 || stated > head ? 0 : std::stoul(text.substr(stated + 16)));
    }
    if (text.size() < whole || whole == std::string::npos)
        return {};
    if (result.status == 304)
        text += kept.receive(silence);
    result.body = text.substr(head + 4, whole - head - 4);
    result.excess = text.substr(whole);
    return result;
}

} // namespace

int main(int count, char** values)
{
    record_file record(count > 1 ? values[1] : "record.txt");
    store platform;
    ledger_answers faulty(record, "ledger-1", isTroubled());
    ledger_answers sound(record, "ledger-2", false);
    back_end server1({ "ledger-1", "ledger", 6, {} }, record,
        [&](connection& to, const message& request) { faulty.answer(to, request); });
    back_end server2({ "ledger-2", "ledger", 6, {} }, record,
        [&](connection& to, const message& request) { sound.answer(to, request); });
    heartbeats beats(platform, { &server1, &server2 });
    platform.put("keyed.op", "config",
        configText(1,
            { routeText("/stock/", "safe", "ledger", 1000, 150, 2, false), plainServiceText("ledger"),
                teamText("member-a", { "key-a" }) + "," + teamText("member-b", { "key-b" }) }));
    gateway front("front-z-1", platform.port());
    front.start();
    if (!front.waitReady(milliseconds(10000)))
        return finish(record, false, false, "the gateway was not ready");
    sleepFor(milliseconds(4000));
    const auto memberA = connection::open(front.callerPort());
    const auto memberB = connection::open(front.callerPort());
    if (!memberA || !memberB)
        return finish(record, false, false, "the gateway accepts no connection");
    int served = 0;
    int broken = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int index = 0; index < requestsPerRound; ++index) {
            const std::string id = nextRequestId("a");
            const answer_text got = ask(*memberA, id, "key-a", "");
            served += got.status == 200 ? 1 : 0;
            record.write("member-a got for " + id + ": " + std::to_string(got.status));
            if (got.status != 200 || (got.body == bodyFor("member-a") && got.excess.empty()))
                continue;
            ++broken;
            record.write("broken: member-a got other bytes than the server's answer to " + id);
        }
        const std::string id = nextRequestId("b");
        const answer_text got = ask(*memberB, id, "key-b", "If-None-Match: \"7\"\r\n");
        record.write("member-b got for " + id + ": " + std::to_string(got.status) + ", and "
            + std::to_string(got.excess.size()) + " bytes behind it");
        if (!got.excess.empty()) {
            ++broken;
            const bool isForeign = got.excess.find("stock and prices of member-a") != std::string::npos;
            record.write(std::string("broken: the bytes behind the 304 are no answer to member-b")
                + (isForeign ? ", they hold the answer to a request of member-a: " : ": ")
                + got.excess.substr(0, 60) + "...");
        }
        if (memberA->isEnded() || memberB->isEnded())
            return finish(record, broken > 0, broken > 0, "a kept connection was closed");
        sleepFor(roundPause);
    }
    const auto [answers, copies] = faulty.counts();
    return finish(record, served > 0, broken > 0,
        std::to_string(broken) + " times a caller got bytes that are no answer to it; ledger-1 sent "
            + std::to_string(copies) + " of its " + std::to_string(answers)
            + " answers twice, ledger-2 none of " + std::to_string(sound.counts().first) + "; "
            + std::to_string(served) + " requests of member-a were served");
}
