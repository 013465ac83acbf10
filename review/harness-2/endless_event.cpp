// A server in trouble answers resumable streams with a sound head and an event that never ends. The gateway
// keeps all of it, until its machine's memory is used up.
#include "stand_ins.h"

#include <csignal>

using namespace review;

namespace {

constexpr double memoryMegabytes = 260;
constexpr int streamClients = 112;
constexpr int plainClients = 18;
constexpr double scriptSeconds = 60;
// The machines' links carry 1,000 Mbit/s; the server in trouble sends less.
constexpr double troubledBytesPerSecond = 100e6;

/// Shares the link of the server in trouble among its connections.
class link_rate {
public:
    void spend(std::size_t bytes)
    {
        std::unique_lock lock(m_mutex);
        const auto now = steady::now();
        m_freeAt = std::max(m_freeAt, now)
            + std::chrono::duration_cast<steady::duration>(
                std::chrono::duration<double>(static_cast<double>(bytes) / troubledBytesPerSecond));
        const auto until = m_freeAt;
        lock.unlock();
        std::this_thread::sleep_until(until);
    }

private:
    std::mutex m_mutex;
    steady::time_point m_freeAt {};
};

void answerStream(connection& to, const message& request)
{
    to.send(
        answerHead(request, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (int event = 1; event <= 60; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: tokens\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        if (!to.send(size + text + "\r\n"))
            return;
        sleepFor(milliseconds(30));
    }
    to.send("0\r\n\r\n");
}

void answerWithoutEnd(connection& to, const message& request, link_rate& rate)
{
    to.send(answerHead(request, 200, "Content-Type: text/event-stream\r\n\r\ndata: "));
    const std::string bytes(65536, 'x');
    do
        rate.spend(bytes.size());
    while (to.send(bytes));
    to.shutdown();
}

} // namespace

int main(int count, char** values)
{
    record_file record(count > 1 ? values[1] : "record.txt");
    link_rate rate;
    store platform;
    back_end troubled(
        { "engine-1", "desk", 64, { "m0" } }, record, [&](connection& to, const message& request) {
            if (isTroubled())
                answerWithoutEnd(to, request, rate);
            else
                answerStream(to, request);
        });
    back_end sound({ "engine-2", "desk", 64, { "m0" } }, record, answerStream);
    const auto answerOrder = [](connection& to, const message& request) {
        sleepFor(milliseconds(200));
        answerWhole(to, request, "order booked " + request.get("Request-Id"));
    };
    back_end ledger1({ "ledger-1", "ledger", 6, {} }, record, answerOrder);
    back_end ledger2({ "ledger-2", "ledger", 6, {} }, record, answerOrder);
    back_end ledger3({ "ledger-3", "ledger", 6, {} }, record, answerOrder);
    heartbeats beats(platform, { &troubled, &sound, &ledger1, &ledger2, &ledger3 });
    platform.put("keyed.op", "config",
        configText(1,
            { routeText("/batch/", "streaming", "desk", 30000, 10000, 2, true) + ","
                    + routeText("/book/", "unsafe", "ledger", 3000, 300, 1, false),
                engineServiceText("desk", { "m0" }) + "," + plainServiceText("ledger"),
                teamText("atelier", { "key-1" }) }));
    gateway front("front-z-1", platform.port(), memoryMegabytes);
    front.start();
    if (!front.waitReady(milliseconds(10000)))
        return finish(record, false, false, "the gateway was not ready");
    sleepFor(milliseconds(3000));
    steady_clients clients(record, front.callerPort(), plainClients, "/book/1", "key-1");
    sleepFor(milliseconds(3000));

    std::atomic<bool> isStopping { false };
    std::vector<std::thread> streams;
    for (int number = 0; number < streamClients; ++number) {
        streams.emplace_back([&] {
            while (!isStopping) {
                const auto caller = connection::open(front.callerPort());
                if (!caller) {
                    sleepFor(milliseconds(200));
                    continue;
                }
                const std::string id = nextRequestId("stream");
                record.write("client sends " + id + " /batch/1");
                caller->send(requestText("POST", "/batch/1", id, "key-1", 30000,
                    "Model: m0\r\nToken-Counts: 1460,172\r\nPrompt-Prefix: 5c1e07a2:210,91bd3f06:140,"
                        + std::to_string(number + 1) + ":1110\r\n",
                    "prompt"));
                message answer;
                const auto until = steady::now() + milliseconds(30000);
                bool isWhole = false;
                std::string head;
                while (!isStopping && !isWhole && !caller->isEnded() && steady::now() < until) {
                    const std::string bytes = caller->receive(milliseconds(100));
                    if (head.empty())
                        head = bytes.substr(0, bytes.find("\r\n"));
                    isWhole = bytes.ends_with("0\r\n\r\n")
                        || (!head.empty() && !head.starts_with("HTTP/1.1 200"));
                }
                record.write("client got for " + id + ": " + head + (isWhole ? ", whole" : ", not whole"));
                if (isWhole)
                    sleepFor(milliseconds(500));
            }
        });
    }
    const double end = secondsNow() + (isTroubled() ? scriptSeconds : 20);
    double highest = 0;
    bool isKilled = false;
    double shownAt = 0;
    while (secondsNow() < end && !isKilled) {
        sleepFor(milliseconds(10));
        highest = std::max(highest, front.residentMegabytes());
        if (secondsNow() - shownAt > 0.5) {
            shownAt = secondsNow();
            record.write("front-z-1 occupies " + std::to_string(front.residentMegabytes()) + " MB");
        }
        if (highest > memoryMegabytes) {
            // A process that exceeds the memory of its machine is killed.
            front.signal(SIGKILL);
            front.wait();
            isKilled = true;
            record.write("front-z-1 occupied " + std::to_string(highest)
                + " MB, more than its machine has, and was killed by the platform");
        } else if (front.hasEnded()) {
            isKilled = true;
            record.write("front-z-1 ended by itself");
        }
    }
    sleepFor(milliseconds(500));
    isStopping = true;
    clients.stop();
    for (auto& thread : streams)
        thread.join();
    int passedOn = 0;
    for (const auto& id : clients.cut()) {
        if (ledger1.runsOf(id) + ledger2.runsOf(id) + ledger3.runsOf(id) == 0)
            continue;
        ++passedOn;
        record.write("lost: " + id
            + " ran at a sound server, and its kept connection was closed without an "
              "answer");
    }
    return finish(record, clients.answered() > 0, passedOn > 3,
        "highest memory " + std::to_string(static_cast<int>(highest)) + " MB of 260; "
            + std::to_string(passedOn)
            + " requests from kept connections, passed on to sound servers, ended without an answer (at most "
              "3 may); "
            + std::to_string(clients.answered()) + " were answered");
}
