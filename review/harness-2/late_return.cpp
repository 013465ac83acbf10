// A gateway that was cut off from the store hears of its return only when it loses its coordinator, many
// seconds later, and then puts off the removal of a server that has left.
#include "stand_ins.h"

#include <csignal>

using namespace review;

namespace {

constexpr milliseconds cutTime { 5000 };
// Longer than contact-ms, 3 s: all machines are in touch again.
constexpr milliseconds calmTime { 7000 };
constexpr double drainSeconds = 2;
// How long the server goes on serving after its entry was removed.
constexpr double servesFor = 4.5;
// A stream lasts 4 s.
constexpr int events = 130;
constexpr milliseconds eventPause { 30 };

struct stream_outcome {
    std::string id;
    double sentAt { 0 };
    bool isWhole { false };
    bool isEnded { false };
};

void requestStream(record_file& record, const gateway& front, stream_outcome& result)
{
    const auto caller = connection::open(front.callerPort());
    if (!caller)
        return;
    result.sentAt = secondsNow();
    record.write("client sends " + result.id + " /brief/1 to " + front.name());
    caller->send(requestText(
        "POST", "/brief/1", result.id, "key-1", 10000, "Model: m0\r\nToken-Counts: 491,160\r\n", "prompt"));
    message answer;
    result.isWhole = caller->read(answer, milliseconds(10000), false);
    result.isEnded = caller->isEnded();
    record.write("client got for " + result.id + ": " + answer.start + ", "
        + (result.isWhole ? "whole" : "broken off"));
}

} // namespace

int main(int count, char** values)
{
    record_file record(count > 1 ? values[1] : "record.txt");
    store platform;
    std::atomic<bool> isLeaving { false };
    const auto answerStream = [&](bool mayLeave) {
        return [&, mayLeave](connection& to, const message& request) {
            const bool says = mayLeave && isLeaving;
            to.send(answerHead(request, 200,
                std::string(says ? "Server-Leaving: 1\r\n" : "")
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int event = 1; event <= events; ++event) {
                const std::string text = "id: " + std::to_string(event) + "\ndata: tokens\n\n";
                char size[16];
                std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
                if (!to.send(size + text + "\r\n"))
                    return;
                sleepFor(eventPause);
            }
            to.send("0\r\n\r\n");
        };
    };
    back_end leaving({ "engine-1", "desk", 64, { "m0" } }, record, answerStream(true));
    back_end other({ "engine-2", "desk", 64, { "m0" } }, record, answerStream(false));
    heartbeats beats(platform, { &leaving, &other });
    platform.put("keyed.op", "config",
        configText(1,
            { routeText("/brief/", "streaming", "desk", 10000, 500, 1, false),
                engineServiceText("desk", { "m0" }), teamText("atelier", { "key-1" }) }));
    cuttable_path firstPath(platform.port());
    cuttable_path secondPath(platform.port());
    gateway first("front-z-1", firstPath.port());
    gateway second("front-z-2", secondPath.port());
    first.start();
    second.start();
    if (!first.waitReady(milliseconds(10000)) || !second.waitReady(milliseconds(10000)))
        return finish(record, false, false, "a gateway was not ready");
    sleepFor(milliseconds(4000));

    const bool isFirst = first.holdsLease(platform);
    gateway& leader = isFirst ? first : second;
    gateway& follower = isFirst ? second : first;
    cuttable_path& leaderPath = isFirst ? firstPath : secondPath;
    cuttable_path& followerPath = isFirst ? secondPath : firstPath;
    if (!leader.holdsLease(platform))
        return finish(record, false, false, "no gateway coordinates");
    if (isTroubled()) {
        record.write(leader.name() + " is cut off from the store");
        leaderPath.setCut(true);
    }
    sleepFor(cutTime);
    leaderPath.setCut(false);
    record.write("no gateway is cut off from the store");
    sleepFor(calmTime);
    if (isTroubled() && !follower.holdsLease(platform))
        return finish(record, false, false, "the other gateway did not take over");

    if (isTroubled()) {
        record.write(follower.name() + ", which coordinates now, is cut off from the store");
        followerPath.setCut(true);
    }
    const double cutAt = secondsNow();
    sleepFor(milliseconds(200));
    isLeaving = true;
    beats.remove(leaving);
    const double removedAt = secondsNow();
    record.write("the store has removed the entry of engine-1");
    std::vector<stream_outcome> outcomes(8);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < outcomes.size(); ++index) {
        outcomes[index].id = nextRequestId("stream");
        threads.emplace_back([&, index] {
            const double at = removedAt + drainSeconds + 0.05 + 0.15 * static_cast<double>(index);
            sleepFor(milliseconds(static_cast<int>((at - secondsNow()) * 1000)));
            requestStream(record, leader, outcomes[index]);
        });
    }
    while (secondsNow() < removedAt + servesFor)
        sleepFor(milliseconds(10));
    leaving.exit();
    record.write("engine-1 has ended");
    while (secondsNow() < cutAt + std::chrono::duration<double>(cutTime).count())
        sleepFor(milliseconds(10));
    followerPath.setCut(false);
    record.write("no gateway is cut off from the store");
    for (auto& thread : threads)
        thread.join();
    int late = 0;
    int lost = 0;
    for (const auto& item : outcomes) {
        if (leaving.runsOf(item.id) == 0 || item.sentAt < removedAt + drainSeconds)
            continue;
        ++late;
        lost += item.isWhole ? 0 : 1;
        record.write(item.id + ", sent " + std::to_string(item.sentAt - removedAt)
            + " s after the removal, reached engine-1 from " + leader.name() + ", which was in touch"
            + (item.isWhole ? "" : ", and was broken off by its end"));
    }
    return finish(record, true, late > 0,
        std::to_string(late) + " streams reached a server later than 2 s after its removal; "
            + std::to_string(lost) + " of them were broken off by its end");
}
