// A caller names another model and adapter, which do not exist, in each of its requests. Each is refused, but
// the gateway that coordinates keeps every name, until its machine's memory is used up.
#include "stand_ins.h"

#include <csignal>

using namespace review;

namespace {

constexpr double memoryMegabytes = 260;
constexpr int plainClients = 12;
constexpr int badClients = 6;
// Over all connections; the small site's callers send about 100 requests a second together.
constexpr int badRequestsPerSecond = 300;
// With these the head stays within the 16,384 bytes that the configuration allows.
constexpr std::size_t nameBytes = 7800;
constexpr double scriptSeconds = 80;

std::string uniqueName(const std::string& id)
{
    return id + std::string(nameBytes - id.size(), 'm');
}

void callWithNewNames(record_file& record, int port, std::atomic<bool>& isStopping, std::atomic<int>& sent)
{
    std::unique_ptr<connection> kept;
    auto due = steady::now();
    while (!isStopping) {
        std::this_thread::sleep_until(due);
        due = std::max(due, steady::now() - milliseconds(500))
            + std::chrono::microseconds(1000000 * badClients / badRequestsPerSecond);
        if (!kept)
            kept = connection::open(port);
        if (!kept) {
            sleepFor(milliseconds(200));
            continue;
        }
        const std::string id = nextRequestId("names");
        const std::string name
            = isTroubled() ? uniqueName(id + "-a") + "/" + uniqueName(id + "-b") : std::string("m0");
        message answer;
        if (!kept->send(requestText("POST", "/brief/1", id, "key-2", 10000,
                "Model: " + name + "\r\nToken-Counts: 491,70\r\n", "prompt"))
            || !kept->read(answer, milliseconds(3000), false)) {
            kept.reset();
            continue;
        }
        if (++sent % 500 == 1)
            record.write("client sent " + id + " with a model name of " + std::to_string(name.size())
                + " bytes and got " + answer.start + " " + answer.body.substr(0, 80));
    }
}

} // namespace

int main(int count, char** values)
{
    record_file record(count > 1 ? values[1] : "record.txt");
    store platform;
    back_end engine({ "engine-1", "desk", 64, { "m0" } }, record,
        [](connection& to, const message& request) { answerWhole(to, request, "id: 1\ndata: brief\n\n"); });
    const auto answerOrder = [](connection& to, const message& request) {
        sleepFor(milliseconds(100));
        answerWhole(to, request, "order booked " + request.get("Request-Id"));
    };
    back_end ledger1({ "ledger-1", "ledger", 6, {} }, record, answerOrder);
    back_end ledger2({ "ledger-2", "ledger", 6, {} }, record, answerOrder);
    heartbeats beats(platform, { &engine, &ledger1, &ledger2 });
    platform.put("keyed.op", "config",
        configText(1,
            { routeText("/brief/", "streaming", "desk", 10000, 500, 1, false) + ","
                    + routeText("/book/", "unsafe", "ledger", 3000, 300, 1, false),
                engineServiceText("desk", { "m0" }) + "," + plainServiceText("ledger"),
                teamText("atelier", { "key-1" }) + "," + teamText("dealers", { "key-2" }) }));
    gateway first("front-z-1", platform.port(), memoryMegabytes);
    gateway second("front-z-2", platform.port(), memoryMegabytes);
    const std::vector<gateway*> fronts { &first, &second };
    for (auto* front : fronts)
        front->start();
    for (auto* front : fronts) {
        if (!front->waitReady(milliseconds(10000)))
            return finish(record, false, false, "a gateway was not ready");
    }
    sleepFor(milliseconds(3000));
    std::vector<std::unique_ptr<steady_clients>> clients;
    for (auto* front : fronts)
        clients.push_back(std::make_unique<steady_clients>(
            record, front->callerPort(), plainClients / 2, "/book/1", "key-1"));
    sleepFor(milliseconds(3000));
    std::atomic<bool> isStopping { false };
    std::atomic<int> sent { 0 };
    std::vector<std::thread> callers;
    for (int number = 0; number < badClients; ++number)
        callers.emplace_back(
            [&, number] { callWithNewNames(record, fronts[number % 2]->callerPort(), isStopping, sent); });
    const double end = secondsNow() + (isTroubled() ? scriptSeconds : 20);
    double highest = 0;
    double shownAt = 0;
    int killed = 0;
    std::vector<double> restartAt(fronts.size(), 0);
    while (secondsNow() < end && killed < 2) {
        sleepFor(milliseconds(10));
        const bool isShown = secondsNow() - shownAt > 1;
        if (isShown)
            shownAt = secondsNow();
        for (std::size_t index = 0; index < fronts.size(); ++index) {
            gateway& front = *fronts[index];
            if (restartAt[index] > 0) {
                if (secondsNow() > restartAt[index]) {
                    restartAt[index] = 0;
                    front.start();
                }
                continue;
            }
            const double used = front.residentMegabytes();
            highest = std::max(highest, used);
            if (isShown)
                record.write(front.name() + " occupies " + std::to_string(used) + " MB");
            const bool isOver = used > memoryMegabytes;
            if (!isOver && !front.hasEnded())
                continue;
            // A process that exceeds the memory of its machine is killed, and started again shortly after.
            front.signal(SIGKILL);
            front.wait();
            ++killed;
            restartAt[index] = secondsNow() + 0.5;
            record.write(front.name() + " occupied " + std::to_string(used) + " MB"
                + (isOver ? ", more than its machine has, and was killed by the platform"
                          : " and ended by itself"));
        }
    }
    sleepFor(milliseconds(500));
    isStopping = true;
    for (auto& caller : callers)
        caller.join();
    // The rule counts for each machine.
    int mostOfOne = 0;
    int answered = 0;
    for (auto& item : clients) {
        item->stop();
        answered += item->answered();
        int passedOn = 0;
        for (const auto& id : item->cut()) {
            if (ledger1.runsOf(id) + ledger2.runsOf(id) == 0)
                continue;
            ++passedOn;
            mostOfOne = std::max(mostOfOne, passedOn);
            record.write("lost: " + id
                + " ran at a sound server, and its kept connection was closed without an answer");
        }
    }
    return finish(record, answered > 0 && sent > 0, mostOfOne > 3,
        std::to_string(sent) + " requests of the caller that names models; highest memory "
            + std::to_string(static_cast<int>(highest)) + " MB of 260; gateways killed for it: "
            + std::to_string(killed) + "; at the worse one " + std::to_string(mostOfOne)
            + " requests from kept connections, passed on to sound servers, ended without an answer (at most "
              "3 may); "
            + std::to_string(answered) + " were answered");
}
