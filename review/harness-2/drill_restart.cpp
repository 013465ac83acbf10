// The store returns in a drill from a copy that is some seconds old, in which a withdrawn key is still valid.
// A gateway that starts then takes the copy for the newest configuration, until the operator has written it
// again.
#include "stand_ins.h"

#include <csignal>

using namespace review;

namespace {

constexpr double revocationSeconds = 5;
// The operator writes again what was lost, as long after the return as the pages give the servers.
constexpr milliseconds rewriteDelay { 2000 };

} // namespace

int main(int count, char** values)
{
    record_file record(count > 1 ? values[1] : "record.txt");
    store platform;
    const auto answer = [](connection& to, const message& request) {
        sleepFor(milliseconds(30));
        answerWhole(to, request, "order booked " + request.get("Request-Id"));
    };
    back_end ledger1({ "ledger-1", "ledger", 6, {} }, record, answer);
    back_end ledger2({ "ledger-2", "ledger", 6, {} }, record, answer);
    heartbeats beats(platform, { &ledger1, &ledger2 });
    const std::string routes = routeText("/book/", "unsafe", "ledger", 3000, 300, 1, false);
    const std::string before = configText(3,
        { routes, plainServiceText("ledger"),
            teamText("atelier", { "key-1" }) + "," + teamText("dealers", { "key-2" }) });
    const std::string after = configText(7,
        { routes, plainServiceText("ledger"),
            teamText("atelier", { "key-1" }) + "," + teamText("dealers", {}) });
    platform.put("keyed.op", "config", before);
    gateway first("front-z-1", platform);
    gateway second("front-z-2", platform);
    for (auto* front : { &first, &second })
        front->start();
    for (auto* front : { &first, &second }) {
        if (!front->waitReady(milliseconds(10000)))
            return finish(record, false, false, "a gateway was not ready");
    }
    sleepFor(milliseconds(4000));

    int ranWithWithdrawnKey = 0;
    int refused = 0;
    const auto sendWithdrawn = [&](const gateway& front, bool isCounted) {
        const std::string id = nextRequestId("withdrawn");
        const auto caller = connection::open(front.callerPort());
        message got;
        if (caller && caller->send(requestText("POST", "/book/1", id, "key-2", 3000, "", "order")))
            caller->read(got, milliseconds(3500), false);
        const int runs = ledger1.runsOf(id) + ledger2.runsOf(id);
        record.write("client sent " + id + " with the withdrawn key to " + front.name() + " and got "
            + (got.start.empty() ? "nothing" : got.start) + "; runs: " + std::to_string(runs));
        if (isCounted && runs > 0)
            ++ranWithWithdrawnKey;
        if (got.status() >= 400)
            ++refused;
    };

    platform.saveCopy();
    record.write("the store's copy is made");
    sleepFor(milliseconds(500));
    platform.put("keyed.op", "config", after);
    const double withdrawnAt = secondsNow();
    record.write("the operator's version 7, without key-2, is acknowledged");
    sleepFor(milliseconds(3000));
    sendWithdrawn(first, false);
    sendWithdrawn(second, false);
    while (secondsNow() < withdrawnAt + revocationSeconds + 0.5)
        sleepFor(milliseconds(10));
    if (isTroubled()) {
        platform.setSilent(true);
        record.write("the store is away");
    }
    first.signal(SIGKILL);
    first.wait();
    record.write("front-z-1 was killed");
    sleepFor(milliseconds(500));
    if (isTroubled()) {
        platform.returnToCopy();
        record.write("the store is back, from the copy");
    }
    first.start();
    record.write("front-z-1 is started again");
    const auto rewriteAt = steady::now() + rewriteDelay;
    while (steady::now() < rewriteAt) {
        sendWithdrawn(first, true);
        sendWithdrawn(second, true);
        sleepFor(milliseconds(50));
    }
    if (isTroubled()) {
        platform.put("keyed.op", "config", after);
        record.write("the operator's version 7 is written again");
    }
    sleepFor(milliseconds(3000));
    sendWithdrawn(first, true);
    sendWithdrawn(second, true);
    return finish(record, refused > 0, ranWithWithdrawnKey > 0,
        std::to_string(ranWithWithdrawnKey)
            + " requests ran that were sent later than 5 s after their key's withdrawal was acknowledged");
}
