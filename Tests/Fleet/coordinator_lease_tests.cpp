#include "Fleet/coordinator_lease.h"
#include "Support/test_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <vector>

using namespace sagesaddle;

namespace {

using testing::start;

lease_times testTimes()
{
    return { seconds(2), milliseconds(250), milliseconds(600), milliseconds(3500) };
}

coordinator_lease leaseOf(const std::string& endpoint, int run)
{
    return { endpoint + "#" + std::to_string(run), endpoint + "#", testTimes() };
}

bool isRead(const coordinator_lease::action& value)
{
    return std::holds_alternative<coordinator_lease::read>(value);
}

std::optional<std::uint64_t> appendAt(const coordinator_lease::action& value)
{
    const auto* append = std::get_if<coordinator_lease::append>(&value);
    return append == nullptr ? std::nullopt : std::optional(append->at);
}

/// Acquires a lease that nobody has held yet.
void acquireFirst(coordinator_lease& lease, monotonic_time now)
{
    REQUIRE(isRead(lease.nextAction(now, false)));
    lease.onRead({ "", 0, 0 }, now);
    REQUIRE(appendAt(lease.nextAction(now, false)) == 0);
    lease.onAppended(now, 1, now);
}

} // namespace

TEST_CASE("coordinator lease: the first holder may send orders at once")
{
    auto lease = leaseOf("a", 1);
    CHECK_FALSE(lease.holds(start));
    acquireFirst(lease, start);
    CHECK(lease.holds(start));
    CHECK(lease.maySendOrders(start));
    CHECK(lease.fence() == 1);
}

TEST_CASE("coordinator lease: unless it is renewed, it ends a margin before others may acquire it")
{
    auto lease = leaseOf("a", 1);
    acquireFirst(lease, start);
    CHECK(lease.holds(start + milliseconds(1749)));
    CHECK_FALSE(lease.holds(start + milliseconds(1750)));
    CHECK(appendAt(lease.nextAction(start + milliseconds(599), false)) == std::nullopt);
    CHECK(appendAt(lease.nextAction(start + milliseconds(600), false)) == 1);
    lease.onAppended(start + milliseconds(600), 2, start + milliseconds(900));
    CHECK(lease.holds(start + milliseconds(2349)));
    CHECK(lease.fence() == 1);
}

TEST_CASE(
    "coordinator lease: another's is acquired only after its whole time without a renewal, and orders wait")
{
    auto lease = leaseOf("b", 1);
    REQUIRE(isRead(lease.nextAction(start, false)));
    lease.onRead({ "a#1", 4, 7 }, start);
    CHECK(isRead(lease.nextAction(start + milliseconds(400), false)));
    lease.onRead({ "a#1", 4, 8 }, start + milliseconds(400));
    REQUIRE(isRead(lease.nextAction(start + seconds(2), false)));
    lease.onRead({ "a#1", 4, 8 }, start + seconds(2));
    const monotonic_time due = start + milliseconds(2400);
    REQUIRE(appendAt(lease.nextAction(due, false)) == 8);
    lease.onAppended(due, 9, due);
    CHECK(lease.holds(due));
    CHECK_FALSE(lease.maySendOrders(due + milliseconds(1700)));
    CHECK(lease.fence() == 9);
}

TEST_CASE("coordinator lease: the lease of an earlier process at the same endpoint is acquired at once")
{
    auto lease = leaseOf("a", 2);
    REQUIRE(isRead(lease.nextAction(start, false)));
    lease.onRead({ "a#1", 4, 7, true }, start);
    REQUIRE(appendAt(lease.nextAction(start + milliseconds(300), false)) == 7);
    lease.onAppended(start + milliseconds(300), 8, start + milliseconds(300));
    CHECK(lease.maySendOrders(start + milliseconds(300)));
    CHECK(lease.fence() == 8);
}

TEST_CASE("coordinator lease: a process waits while the holder is live, then acquires the lease it announced")
{
    auto lease = leaseOf("b", 1);
    lease.onHolderAnnounced({ "a#1", 4, 7 }, start);
    CHECK(lease.nextAction(start + seconds(5), true).index() == 0);
    lease.onHolderAnnounced({ "a#1", 4, 8 }, start + seconds(5));
    CHECK(isRead(lease.nextAction(start + seconds(6), false)));
    lease.onRead({ "a#1", 4, 8 }, start + seconds(6));
    CHECK(appendAt(lease.nextAction(start + seconds(7), false)) == 8);
}

TEST_CASE("coordinator lease: a rejected append means that another process was quicker")
{
    auto lease = leaseOf("a", 1);
    acquireFirst(lease, start);
    const monotonic_time later = start + milliseconds(600);
    REQUIRE(appendAt(lease.nextAction(later, false)) == 1);
    lease.onAppendRejected(later);
    CHECK_FALSE(lease.holds(later));
    CHECK(isRead(lease.nextAction(later, false)));
}

TEST_CASE("coordinator lease: an unanswered append neither renews the lease nor ends it")
{
    auto lease = leaseOf("a", 1);
    acquireFirst(lease, start);
    const monotonic_time later = start + milliseconds(600);
    REQUIRE(appendAt(lease.nextAction(later, false)) == 1);
    lease.onAppendUnanswered(later + milliseconds(500));
    CHECK(lease.holds(start + milliseconds(1749)));
    CHECK_FALSE(lease.holds(start + milliseconds(1750)));
    CHECK(isRead(lease.nextAction(later + seconds(1), false)));
}

TEST_CASE("coordinator lease: a holder that was suspended past the end of its lease no longer holds it")
{
    auto lease = leaseOf("a", 1);
    acquireFirst(lease, start);
    CHECK_FALSE(lease.holds(start + seconds(10)));
    CHECK_FALSE(lease.maySendOrders(start + seconds(10)));
}

TEST_CASE("coordinator lease: after a release another process acquires it at once, but its orders wait")
{
    auto first = leaseOf("a", 1);
    acquireFirst(first, start);
    first.resign();
    CHECK_FALSE(first.holds(start));
    const auto release = first.nextAction(start, false);
    REQUIRE(std::holds_alternative<coordinator_lease::append>(release));
    CHECK(std::get<coordinator_lease::append>(release).isRelease);
    first.onAppended(start, 2, start);
    CHECK(first.nextAction(start + seconds(9), false).index() == 0);

    auto second = leaseOf("b", 1);
    REQUIRE(isRead(second.nextAction(start, false)));
    second.onRead({ "", 4, 2 }, start);
    REQUIRE(appendAt(second.nextAction(start, false)) == 2);
    second.onAppended(start, 3, start);
    CHECK(second.holds(start));
    CHECK_FALSE(second.maySendOrders(start + seconds(1)));
}

TEST_CASE("coordinator lease: it never has two holders while appends are lost, late or rejected")
{
    struct delayed_append {
        monotonic_time at;
        std::size_t process;
        std::uint64_t offset;
    };
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::minstd_rand random(seed);
        std::vector<coordinator_lease> processes { leaseOf("a", 1), leaseOf("b", 1), leaseOf("c", 1) };
        std::vector<monotonic_time> frozenUntil(processes.size(), start);
        coordinator_lease_record stored { "", 0, 0 };
        std::vector<delayed_append> delayedAppends;
        std::vector<std::uint64_t> fences;
        const auto store = [&](std::size_t process, std::uint64_t offset) {
            if (stored.end != offset)
                return false;
            stored = { std::string(1, static_cast<char>('a' + process)) + "#1", 3, offset + 1 };
            return true;
        };
        for (int step = 0; step < 3000; ++step) {
            const monotonic_time now = start + milliseconds(10 * step);
            std::erase_if(delayedAppends, [&](const delayed_append& item) {
                return item.at <= now && (store(item.process, item.offset), true);
            });
            int holders = 0;
            for (std::size_t index = 0; index < processes.size(); ++index) {
                auto& process = processes[index];
                // A frozen process does nothing; whether it holds the lease is checked when it resumes.
                if (now < frozenUntil[index])
                    continue;
                holders += process.holds(now) ? 1 : 0;
                if (random() % 2000 == 0)
                    frozenUntil[index] = now + milliseconds(random() % 5000);
                const auto action = process.nextAction(now, false);
                const auto outcome = random() % 10;
                if (isRead(action)) {
                    if (outcome == 0)
                        process.onReadFailed(now);
                    else
                        process.onRead(stored, now);
                } else if (const auto at = appendAt(action)) {
                    if (outcome == 0) {
                        process.onAppendUnanswered(now);
                    } else if (outcome == 1) {
                        delayedAppends.push_back({ now + milliseconds(random() % 6000), index, *at });
                        process.onAppendUnanswered(now);
                    } else if (store(index, *at)) {
                        process.onAppended(now, stored.end, now);
                        if (fences.empty() || fences.back() != process.fence())
                            fences.push_back(process.fence());
                    } else {
                        process.onAppendRejected(now);
                    }
                }
            }
            REQUIRE(holders <= 1);
        }
        CHECK(std::is_sorted(fences.begin(), fences.end()));
        CHECK_FALSE(fences.empty());
    }
}

// Guards against orders under the token of an earlier term: a former holder that found out from a read that
// its acquiring append was carried out kept its old token.
TEST_CASE("coordinator lease: a term that begins with an unanswered append has a new token and its own pause")
{
    auto lease = leaseOf("a", 1);
    acquireFirst(lease, start);
    REQUIRE(lease.fence() == 1);
    // The store answers nothing while another process acquires the lease and loses it again.
    const monotonic_time cutAt = start + milliseconds(600);
    REQUIRE(appendAt(lease.nextAction(cutAt, false)) == 1);
    lease.onAppendUnanswered(cutAt + milliseconds(500));
    const monotonic_time back = start + seconds(6);
    REQUIRE(isRead(lease.nextAction(back, false)));
    lease.onRead({ "b#1", 2, 14, true }, back);
    CHECK_FALSE(lease.holds(back));
    const monotonic_time due = back + seconds(2);
    REQUIRE(appendAt(lease.nextAction(due, false)) == 14);
    lease.onAppendUnanswered(due + milliseconds(500));
    const monotonic_time found = due + seconds(1);
    REQUIRE(isRead(lease.nextAction(found, false)));
    lease.onRead({ "a#1", 2, 15, false }, found);
    CHECK_FALSE(lease.holds(found));
    const monotonic_time renewed = found + milliseconds(600);
    REQUIRE(appendAt(lease.nextAction(renewed, false)) == 15);
    lease.onAppended(renewed, 16, renewed);
    CHECK(lease.holds(renewed));
    CHECK(lease.fence() == 16);
    CHECK_FALSE(lease.maySendOrders(renewed + milliseconds(1700)));
}

// Guards against a lost answer or an outage of the store that stops orders although nobody else held the
// lease.
TEST_CASE("coordinator lease: a term goes on after renewals without an answer, carried out or not")
{
    for (const std::uint64_t carriedOut : { 0U, 1U }) {
        CAPTURE(carriedOut);
        auto lease = leaseOf("a", 1);
        acquireFirst(lease, start);
        const monotonic_time later = start + milliseconds(600);
        REQUIRE(appendAt(lease.nextAction(later, false)) == 1);
        lease.onAppendUnanswered(later + milliseconds(500));
        const monotonic_time back = start + seconds(5);
        CHECK_FALSE(lease.holds(back));
        REQUIRE(isRead(lease.nextAction(back, false)));
        lease.onRead({ "a#1", 0, 1 + carriedOut, true }, back);
        const monotonic_time renewed = back + milliseconds(600);
        REQUIRE(appendAt(lease.nextAction(renewed, false)) == 1 + carriedOut);
        lease.onAppended(renewed, 2 + carriedOut, renewed);
        CHECK(lease.fence() == 1);
        CHECK(lease.maySendOrders(renewed));
    }
}

// Guards against a restart of a new holder that skips the pause before its first order.
TEST_CASE("coordinator lease: a process that starts again within the pause of its predecessor waits, too")
{
    for (const bool isHandoverComplete : { false, true }) {
        CAPTURE(isHandoverComplete);
        auto lease = leaseOf("a", 2);
        REQUIRE(isRead(lease.nextAction(start, false)));
        lease.onRead({ "a#1", 4, 7, isHandoverComplete }, start);
        const monotonic_time due = start + milliseconds(300);
        const auto action = lease.nextAction(due, false);
        REQUIRE(appendAt(action) == 7);
        CHECK(std::get<coordinator_lease::append>(action).isHandoverComplete == isHandoverComplete);
        lease.onAppended(due, 8, due);
        CHECK(lease.maySendOrders(due) == isHandoverComplete);
        // The renewal after the pause says that it has passed.
        lease.onAppended(due + milliseconds(3400), 9, due + milliseconds(3400));
        const auto renewal = lease.nextAction(due + seconds(5), false);
        REQUIRE(std::holds_alternative<coordinator_lease::append>(renewal));
        CHECK(std::get<coordinator_lease::append>(renewal).isHandoverComplete);
    }
}

// Guards against a holder that takes its own late announcement for the newest record and loses the lease.
TEST_CASE("coordinator lease: a holder ignores its own announcements and older ones")
{
    for (const coordinator_lease_record& announced :
        { coordinator_lease_record { "a#1", 4, 1 }, coordinator_lease_record { "b#1", 4, 0 } }) {
        auto lease = leaseOf("a", 1);
        acquireFirst(lease, start);
        const monotonic_time later = start + milliseconds(600);
        REQUIRE(appendAt(lease.nextAction(later, false)) == 1);
        lease.onAppendUnanswered(later + milliseconds(200));
        lease.onHolderAnnounced(announced, later + milliseconds(210));
        CHECK(lease.knownHolder() == "a#1");
        CHECK(isRead(lease.nextAction(later + milliseconds(400), false)));
    }
}

TEST_CASE(
    "coordinator lease: orders bear rising tokens and keep apart while processes are cut off or restart")
{
    constexpr monotonic_duration leaseTime = milliseconds(3000);
    struct last_order {
        std::size_t process { 0 };
        std::uint64_t fence { 0 };
        monotonic_time at {};
    };
    unsigned handovers = 0;
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        int runs = 0;
        const auto startProcess = [&](std::size_t index) {
            return leaseOf(std::string(1, static_cast<char>('a' + index)), ++runs);
        };
        std::vector<coordinator_lease> processes { startProcess(0), startProcess(1), startProcess(2) };
        std::vector<std::string> names { "a#1", "b#2", "c#3" };
        std::vector<monotonic_time> cutUntil(processes.size(), start);
        coordinator_lease_record stored;
        std::optional<last_order> last;
        for (int step = 0; step < 6000; ++step) {
            const monotonic_time now = start + milliseconds(10 * step);
            for (std::size_t index = 0; index < processes.size(); ++index) {
                auto& process = processes[index];
                if (process.maySendOrders(now)) {
                    if (last && last->process != index) {
                        ++handovers;
                        REQUIRE(now - last->at >= leaseTime);
                    }
                    REQUIRE((!last || process.fence() >= last->fence));
                    REQUIRE((!last || last->process == index || process.fence() > last->fence));
                    last = last_order { index, process.fence(), now };
                }
                // Most faults strike the holder.
                const unsigned rarity = process.holds(now) ? 300 : 2000;
                if (random() % rarity == 0)
                    cutUntil[index] = now + milliseconds(random() % 6000);
                if (random() % (2 * rarity) == 0) {
                    process = startProcess(index);
                    names[index]
                        = std::string(1, static_cast<char>('a' + index)) + "#" + std::to_string(runs);
                }
                const auto action = process.nextAction(now, false);
                const bool isCut = now < cutUntil[index];
                const auto outcome = random() % 4;
                if (isRead(action)) {
                    if (isCut)
                        process.onReadFailed(now);
                    else
                        process.onRead(stored, now);
                } else if (const auto* append = std::get_if<coordinator_lease::append>(&action)) {
                    const bool isCarriedOut = !isCut && append->at == stored.end;
                    if (isCarriedOut)
                        stored = { names[index], 3, stored.end + 1, append->isHandoverComplete };
                    if (isCut || outcome == 0)
                        process.onAppendUnanswered(now);
                    else if (isCarriedOut)
                        process.onAppended(now, stored.end, now);
                    else
                        process.onAppendRejected(now);
                }
            }
        }
    }
    CHECK(handovers > 100);
}
