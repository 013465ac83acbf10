#include "Gateway/store_follower.h"

#include "Base/http_status.h"
#include "Base/overloaded.h"
#include "Fleet/fleet_pace.h"
#include "config_reader.h"
#include "upstream_reader.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sagesaddle {

namespace {

// Longest wait of a read for news of the configuration; its answer is the evidence that keys rest on.
constexpr milliseconds configWait { 1000 };
// The same where others rest on this gateway's evidence.
constexpr milliseconds configWaitForOthers { 400 };
// Time beyond the wait within which an answer comes, also from a slow store.
constexpr milliseconds answerTimeout { 1000 };
// Pause between looks at the list of upstreams; a leaving one must be known within two seconds.
constexpr milliseconds listPause { 500 };
// Pause between looks at whether another gateway still reads the store for this one.
constexpr milliseconds toldPause { 200 };
// Pause after a call that was not answered or declined.
constexpr milliseconds failurePause { 200 };
// How much longer gateways wait after such a call while they hear a coordinator, which reads for all.
constexpr int heardFactor = 2;
// Pause between looks at the lease; it does most looks without a call.
constexpr milliseconds leasePause { 50 };
// How much longer than the expected successor other gateways wait before they take the lease.
constexpr milliseconds deference { 400 };
// Time after the store's return within which live upstreams are listed again.
constexpr milliseconds returnGrace { 2300 };
// Time without any answer after which the store counts as away.
constexpr milliseconds awayAfter { 1500 };

// Time in which the store answers a call for the lease; a renewal must leave time for another.
constexpr milliseconds leaseTimeout { 600 };

} // namespace

store_follower::store_follower(event_loop& loop, const address& store, std::string self, std::string place,
    lease_times times, decision_lines& lines, follower_hooks hooks)
    : m_loop(loop)
    , m_store(loop, store)
    , m_self(std::move(self))
    , m_lease(m_self, std::move(place), times)
    , m_isReluctant(times.reluctance > monotonic_span::zero())
    , m_lines(lines)
    , m_hooks(std::move(hooks))
    , m_upstreams(returnGrace)
    , m_operatorTimer(loop, [this] { readTable(m_operator); })
    , m_serversTimer(loop,
          [this] {
              if (m_upstreams.removeDue(monotonicNow()))
                  tellUpstreams();
              readTable(m_servers);
          })
    , m_leaseTimer(loop, [this] { workOnLease(); })
{
}

void store_follower::start()
{
    m_answeredAt = monotonicNow();
    readTable(m_operator);
    readTable(m_servers);
    workOnLease();
}

void store_follower::again(table_reading& reading, milliseconds delay)
{
    reading.isBusy = false;
    (&reading == &m_operator ? m_operatorTimer : m_serversTimer).start(delay);
}

void store_follower::onAnswered()
{
    const monotonic_time now = monotonicNow();
    m_answeredAt = now;
    if (!m_isAway)
        return;
    m_isAway = false;
    m_upstreams.onStoreReturned(now);
    m_lines.write(log_level::Warning, "store_back", {}, now);
}

void store_follower::onLost(std::string_view call)
{
    const monotonic_time now = monotonicNow();
    if (m_isAway || now - m_answeredAt < awayAfter)
        return;
    m_isAway = true;
    m_lines.write(log_level::Warning, "store_away",
        { { "call", call }, { "seconds", secondsBetween(m_answeredAt, now) } }, now);
}

milliseconds store_follower::pauseAfterFailure() const
{
    if (m_lease.holds(suspendedNow()))
        return failurePause;
    // A store that turns the whole fleet away is not asked by all at the pace of one.
    const milliseconds pause = std::max(failurePause, paceOf(m_lease.record().gateways).leaseReadPause);
    return m_hooks.hearsHolder() ? pause * heardFactor : pause;
}

void store_follower::readTable(table_reading& reading)
{
    if (m_hooks.hasRecentRemoteProof()) {
        // The list changes all the time: it is read whole once nobody tells it any more.
        if (&reading == &m_servers)
            reading.next.reset();
        if (&reading == &m_servers || m_configVersion > 0) {
            again(reading, toldPause);
            return;
        }
    }
    readNow(reading);
}

void store_follower::readNow(table_reading& reading)
{
    reading.isBusy = true;
    if (reading.next) {
        readTail(reading);
        return;
    }
    reading.pages.clear();
    reading.listingEnd = 0;
    readPage(reading, {});
}

void store_follower::readPage(table_reading& reading, const std::string& after)
{
    const monotonic_time sentAt = suspendedNow();
    m_store.call(platform::writeNewestCall(m_store.peer(), reading.table, after), answerTimeout,
        [this, &reading, sentAt](const std::optional<http_answer>& answer) {
            if (!answer || answer->status != statusOk) {
                onLost("newest");
                again(reading, pauseAfterFailure());
                return;
            }
            onAnswered();
            try {
                onPage(reading, platform::readNewest(answer->body), sentAt);
            } catch (const std::invalid_argument& error) {
                m_lines.write(
                    log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                again(reading, pauseAfterFailure());
            }
        });
}

void store_follower::onPage(table_reading& reading, const platform::table_page& page, monotonic_time sentAt)
{
    // Pages are no snapshot: only what was there when the first was made is complete.
    if (reading.pages.empty())
        reading.listingEnd = page.end;
    reading.pages.insert(reading.pages.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        readPage(reading, page.records.back().key);
        return;
    }
    reading.next = reading.listingEnd;
    const auto records = std::exchange(reading.pages, {});
    if (&reading == &m_servers) {
        std::vector<upstream_record> decoded;
        for (const auto& record : records) {
            if (auto value = decode(record))
                decoded.push_back(std::move(*value));
        }
        m_upstreams.onListing(decoded, reading.listingEnd, monotonicNow());
        m_listed = true;
        tellUpstreams();
        again(reading, listPause);
        return;
    }
    takeRecords(reading, records, sentAt);
    again(reading, {});
}

void store_follower::readTail(table_reading& reading)
{
    const bool isConfig = &reading == &m_operator;
    // Where another gateway told of a newer record, it is there already.
    const milliseconds wait = !isConfig || m_hooks.hasRecentRemoteProof() ? milliseconds(0)
        : m_lease.holds(suspendedNow())                                   ? configWaitForOthers
                                                                          : configWait;
    const monotonic_time sentAt = suspendedNow();
    const std::uint64_t from = *reading.next;
    m_store.call(platform::writeTailCall(m_store.peer(), reading.table, from, wait), wait + answerTimeout,
        [this, &reading, sentAt, from, isConfig](const std::optional<http_answer>& answer) {
            if (answer && answer->status == statusLapsed) {
                onAnswered();
                reading.next.reset();
                again(reading, {});
                return;
            }
            if (!answer || answer->status != statusOk) {
                onLost("tail");
                // Versions that were missed meanwhile are not worth their way: the newest is enough.
                reading.next.reset();
                again(reading, pauseAfterFailure());
                return;
            }
            onAnswered();
            try {
                const auto tail = platform::readTail(answer->body, from);
                // An end before what was read is an answer from the past.
                if (tail.end < from) {
                    again(reading, pauseAfterFailure());
                    return;
                }
                reading.next = from + tail.records.size();
                takeRecords(reading, tail.records, sentAt);
                again(reading, isConfig || reading.next < tail.end ? milliseconds(0) : listPause);
            } catch (const std::invalid_argument& error) {
                m_lines.write(
                    log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                reading.next.reset();
                again(reading, pauseAfterFailure());
            }
        });
}

void store_follower::takeRecords(
    table_reading& reading, const std::vector<platform::table_record>& records, monotonic_time sentAt)
{
    if (&reading == &m_operator) {
        for (const auto& record : records) {
            if (record.key == platform::configKey())
                takeConfig(record);
        }
        if (m_configVersion > 0) {
            m_provenAt = sentAt;
            m_configEnd = std::max(m_configEnd, reading.next.value_or(0));
            m_hooks.onContact(sentAt);
        }
        return;
    }
    for (const auto& record : records) {
        if (const auto value = decode(record))
            m_upstreams.onRecord(*value, monotonicNow());
    }
    m_upstreams.removeDue(monotonicNow());
    tellUpstreams();
}

void store_follower::onRemoteConfigProof(std::uint64_t configEnd, monotonic_time provenAt)
{
    if (m_configVersion > 0 && m_configEnd >= configEnd) {
        m_hooks.onContact(provenAt);
        return;
    }
    if (!m_operator.isBusy)
        readNow(m_operator);
}

void store_follower::onRemoteUpstreams(const std::vector<upstream_record>& records, bool isWhole)
{
    if (records.empty() && !isWhole)
        return;
    const monotonic_time now = monotonicNow();
    if (isWhole) {
        std::uint64_t end = 0;
        for (const auto& record : records)
            end = std::max(end, record.offset + 1);
        m_upstreams.onListing(records, end, now);
    } else {
        for (const auto& record : records)
            m_upstreams.onRecord(record, now);
    }
    m_listed = m_listed || isWhole;
    tellUpstreams();
}

std::optional<std::pair<std::uint64_t, monotonic_time>> store_follower::configProof() const
{
    if (!m_provenAt)
        return std::nullopt;
    return std::pair(m_configEnd, *m_provenAt);
}

void store_follower::tellUpstreams()
{
    if (!m_listed || (m_toldRevision == m_upstreams.revision() && m_toldRevision != 0))
        return;
    m_toldRevision = m_upstreams.revision();
    m_hooks.onUpstreams(m_upstreams.entries());
}

void store_follower::takeConfig(const platform::table_record& record)
{
    if (!record.value)
        return;
    try {
        auto config = std::make_shared<const fleet_config>(platform::readConfig(*record.value));
        if (config->version <= m_configVersion)
            return;
        m_configVersion = config->version;
        m_hooks.onConfig(std::move(config));
    } catch (const std::exception& error) {
        m_lines.write(log_level::Error, "config_unreadable",
            { { "offset", record.offset }, { "error", error.what() } }, monotonicNow());
    }
}

std::optional<upstream_record> store_follower::decode(const platform::table_record& record)
{
    if (!record.value)
        return upstream_record { record.key, record.offset, std::nullopt };
    try {
        return upstream_record { record.key, record.offset,
            platform::readUpstream(record.key, *record.value) };
    } catch (const std::exception& error) {
        m_lines.write(log_level::Warning, "upstream_unreadable",
            { { "upstream", record.key }, { "error", error.what() } }, monotonicNow());
        return std::nullopt;
    }
}

void store_follower::workOnLease()
{
    m_leaseTimer.start(leasePause);
    const auto action = m_lease.next(suspendedNow(), m_hooks.hearsHolder());
    std::visit(overloaded { [](std::monostate) {}, [this](const duty_lease::read&) { readLease(); },
                   [this](const duty_lease::append& what) { appendLease(what); } },
        action);
    m_hooks.onDuty();
}

void store_follower::readLease()
{
    m_store.call(platform::writeLeaseReadCall(m_store.peer()), leaseTimeout,
        [this](const std::optional<http_answer>& answer) {
            const monotonic_time now = suspendedNow();
            if (!answer || answer->status != statusOk) {
                onLost("lease read");
                m_lease.onReadLost(now);
                return;
            }
            onAnswered();
            try {
                m_lease.onRead(platform::readLease(answer->body), now);
                // Those that take the lease at once look for it often; the others learn it from them or
                // later.
                if (m_isReluctant)
                    m_lease.setReadPause(paceOf(m_lease.record().gateways).leaseReadPause);
                if (m_lease.record().gateways > 0)
                    m_hooks.onGateways(m_lease.record().gateways);
                if (!m_lease.knownHolder().empty() && m_lease.knownHolder() != m_self)
                    m_hooks.onLeaseHolder(m_lease.knownHolder(), m_lease.record().end);
            } catch (const std::invalid_argument& error) {
                m_lines.write(
                    log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                m_lease.onReadLost(now);
            }
        });
}

void store_follower::appendLease(const duty_lease::append& what)
{
    const monotonic_time sentAt = suspendedNow();
    m_store.call(platform::writeLeaseAppendCall(
                     m_store.peer(), what.isRelease ? std::string() : m_self, m_hooks.gateways(), what.at),
        leaseTimeout, [this, sentAt](const std::optional<http_answer>& answer) {
            const monotonic_time now = suspendedNow();
            const bool held = m_lease.holds(now);
            if (!answer || (answer->status != statusOk && answer->status != statusOffsetTaken)) {
                onLost("lease append");
                m_lease.onAppendLost(now);
            } else if (answer->status == statusOffsetTaken) {
                onAnswered();
                m_lease.onDeclined(now);
            } else {
                onAnswered();
                try {
                    m_lease.onAppended(sentAt, platform::readAppended(answer->body), now);
                } catch (const std::invalid_argument& error) {
                    m_lines.write(
                        log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                    m_lease.onAppendLost(now);
                }
            }
            if (held != m_lease.holds(now))
                m_lines.write(log_level::Info, held ? "duty_lost" : "duty_taken",
                    { { "fence", m_lease.fence() } }, monotonicNow());
            m_hooks.onDuty();
        });
}

void store_follower::setPreferred(bool isFirst)
{
    m_lease.setDeference(isFirst ? milliseconds(0) : deference);
}

void store_follower::resign()
{
    m_lease.resign();
    workOnLease();
}

} // namespace sagesaddle
