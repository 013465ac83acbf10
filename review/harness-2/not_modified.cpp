// Two tenants on kept connections: one asks in plain requests, the other now and then in a conditional one
// that the server answers 304. The server sends some of its answers once more, late, behind the next answer.
#include "stand_ins.h"

#include <utility>

using namespace review;

namespace {

constexpr int rounds = 8;
// One answer of this many to the first tenant comes twice: under 5 in 100 of all answers.
constexpr int answersForOneCopy = 20;
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

/// \brief Answers requests, and sends the chosen answers once more, each behind the next one on its
/// connection.
class repeating_ledger {
public:
    explicit repeating_ledger(record_file& record)
        : m_record(record)
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
        const std::string copy = std::exchange(m_lateCopies[&to], {});
        if (isTroubled() && !isConditional && ++m_answers % answersForOneCopy == 0)
            m_lateCopies[&to] = text;
        to.send(text + copy);
        m_copies += copy.empty() ? 0 : 1;
        m_record.write("ledger-1 answers " + request.get("Request-Id") + (isConditional ? " 304" : " 200")
            + (copy.empty() ? "" : ", and sends the answer before it once more"));
    }

    int copies()
    {
        const std::lock_guard lock(m_mutex);
        return m_copies;
    }

private:
    record_file& m_record;
    std::mutex m_mutex;
    std::map<const connection*, std::string> m_lateCopies;
    int m_answers { 0 };
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
    repeating_ledger ledger(record);
    back_end server({ "ledger-1", "ledger", 6, {} }, record,
        [&](connection& to, const message& request) { ledger.answer(to, request); });
    heartbeats beats(platform, { &server });
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
        for (int index = 0; index < answersForOneCopy; ++index) {
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
    return finish(record, served > 0, broken > 0,
        std::to_string(broken) + " times a caller got bytes that are no answer to it, "
            + std::to_string(ledger.copies()) + " answers of "
            + std::to_string(rounds * (answersForOneCopy + 1)) + " were sent twice, " + std::to_string(served)
            + " requests of member-a were served");
}
