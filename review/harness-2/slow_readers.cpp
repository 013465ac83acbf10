// A gateway gets SIGTERM while a server works on requests whose callers read slowly. It closes each
// connection one second after it has the answer, whether or not the caller has read it.
#include "stand_ins.h"

#include <csignal>

using namespace review;

namespace {

constexpr int callers = 6;
// How much of an answer is left when its end arrives depends on its size and the kernel's buffers.
constexpr std::size_t smallestAnswer = 400000;
constexpr std::size_t sizeStep = 50000;
// Read in steps of 50 ms; an answer takes 4 to 6 s.
constexpr std::size_t bytesPerStep = 6000;
constexpr milliseconds step { 50 };
constexpr milliseconds serverWork { 500 };
constexpr milliseconds grace { 8000 };

struct outcome {
    std::string id;
    bool isWhole { false };
    bool isClosed { false };
    std::size_t bytes { 0 };
    double end { 0 };
};

/// Sends a request on a kept connection and reads its answer slowly.
outcome readSlowly(record_file& record, connection& kept, const std::string& id, std::size_t answerBytes)
{
    outcome result { id };
    const std::string target = "/record/" + std::to_string(answerBytes);
    record.write("client sends " + id + " " + target + " on its kept connection");
    kept.send(requestText("POST", target, id, "key-1", 10000, "", "order"));
    std::string text;
    const auto until = steady::now() + milliseconds(10000);
    while (steady::now() < until && !result.isWhole && !kept.isEnded()) {
        const std::string bytes = kept.receive(milliseconds(200), bytesPerStep);
        text += bytes;
        const std::size_t head = text.find("\r\n\r\n");
        result.isWhole = head != std::string::npos
            && (text.size() - head - 4 >= answerBytes || !text.starts_with("HTTP/1.1 200"));
        if (!bytes.empty())
            sleepFor(step);
    }
    result.isClosed = kept.isEnded();
    result.bytes = text.size();
    result.end = secondsNow();
    record.write("client got for " + id + ": " + text.substr(0, text.find("\r\n")) + ", "
        + std::to_string(text.size()) + " bytes with the head, body of " + std::to_string(answerBytes)
        + (result.isWhole         ? ", whole"
                : result.isClosed ? ", then the connection was closed"
                                  : ", no more"));
    return result;
}

} // namespace

int main(int count, char** values)
{
    record_file record(count > 1 ? values[1] : "record.txt");
    store platform;
    const auto answer = [](connection& to, const message& request) {
        const std::size_t size = std::stoul(request.target().substr(8));
        if (size >= smallestAnswer)
            sleepFor(serverWork);
        answerWhole(to, request, std::string(size, 'r'));
    };
    back_end ledger1({ "ledger-1", "ledger", 6, {} }, record, answer);
    back_end ledger2({ "ledger-2", "ledger", 6, {} }, record, answer);
    heartbeats beats(platform, { &ledger1, &ledger2 });
    platform.put("keyed.op", "config",
        configText(1,
            { routeText("/record/", "unsafe", "ledger", 10000, 2000, 1, false), plainServiceText("ledger"),
                teamText("atelier", { "key-1" }) }));
    gateway front("front-z-1", platform.port());
    front.start();
    if (!front.waitReady(milliseconds(10000)))
        return finish(record, false, false, "the gateway was not ready");
    sleepFor(milliseconds(4000));
    std::vector<std::unique_ptr<connection>> kept;
    for (int number = 0; number < callers; ++number) {
        kept.push_back(connection::open(front.callerPort(), true));
        message first;
        if (!kept.back()
            || !kept.back()->send(
                requestText("POST", "/record/100", nextRequestId("small"), "key-1", 10000, "", "order"))
            || !kept.back()->read(first, milliseconds(3000), false) || first.status() != 200)
            return finish(record, false, false, "a first request was not answered");
    }
    std::vector<outcome> outcomes(callers);
    std::vector<std::thread> threads;
    for (int number = 0; number < callers; ++number)
        threads.emplace_back([&, number] {
            const auto index = static_cast<std::size_t>(number);
            outcomes[index]
                = readSlowly(record, *kept[index], nextRequestId("large"), smallestAnswer + index * sizeStep);
        });
    sleepFor(milliseconds(200));
    const double stoppedAt = secondsNow();
    if (isTroubled()) {
        record.write("front-z-1 gets SIGTERM");
        front.signal(SIGTERM);
    }
    for (auto& thread : threads)
        thread.join();
    if (isTroubled()) {
        while (!front.hasEnded() && secondsNow() < stoppedAt + std::chrono::duration<double>(grace).count())
            sleepFor(milliseconds(20));
        record.write(
            front.hasEnded() ? "front-z-1 has ended" : "front-z-1 still runs after its grace and is killed");
    }
    int lost = 0;
    for (const auto& item : outcomes) {
        const bool wasPassedOn = ledger1.runsOf(item.id) + ledger2.runsOf(item.id) > 0;
        const bool isCounted = item.end < stoppedAt + 7;
        if (item.isWhole || !item.isClosed || !wasPassedOn || !isCounted)
            continue;
        ++lost;
        record.write("lost: " + item.id
            + " ran at a sound server, and its connection ended without the whole " + "answer "
            + std::to_string(item.end - stoppedAt) + " s after the SIGTERM");
    }
    return finish(record, true, lost > 0,
        std::to_string(lost) + " of " + std::to_string(callers)
            + " requests were passed on to a sound server and ended without a complete answer");
}
