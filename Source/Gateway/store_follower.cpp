#include "Gateway/store_follower.h"

#include "Base/http_status.h"
#include "Base/overloaded.h"
#include "Fleet/fleet_timing.h"
#include "config_reader.h"
#include "evacuation_reader.h"
#include "upstream_reader.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sagesaddle {

namespace {

// Longest wait of a read for new records of the configuration; its answer is the confirmation that API keys
// depend on.
constexpr milliseconds configTailWait { 1000 };
// The same at the lease holder, whose confirmations the other gateways depend on.
constexpr milliseconds configTailWaitAsHolder { 400 };
// Time beyond the wait within which a slow store answers too.
constexpr milliseconds callTimeout { 1000 };
// Time between reads of the list of upstreams; one that drains must be known within two seconds.
constexpr milliseconds upstreamPollInterval { 500 };
// The same at the lease holder where upstreams may turn cold: until it is known, they get too many requests.
constexpr milliseconds coldPollInterval { 200 };
// Time between checks whether another gateway still reads the store for this one.
constexpr milliseconds remoteConfirmationCheckInterval { 200 };
// Delay after a call that failed or was declined.
constexpr milliseconds retryInterval { 200 };
// Factor by which that delay grows while a coordinator answers, since it reads the store for all gateways.
constexpr int retryFactorWithCoordinator = 2;
// Time between checks of the lease; most of them need no call.
constexpr milliseconds leaseCheckInterval { 50 };
// How much longer than the expected successor other gateways wait before they acquire the lease.
constexpr milliseconds nonSuccessorDelay { 400 };
// Time after the store's recovery within which running upstreams are listed again, and the operator's records
// are rewritten where it returned from an older copy.
constexpr milliseconds recoveryGrace { 2300 };
// Time without any answer after which the store counts as unreachable.
constexpr milliseconds unreachableAfter { 1500 };

// Timeout of a call for the lease; a lost renewal must leave time for another one.
constexpr milliseconds leaseCallTimeout { 600 };
// The largest answers are pages: at most 1 MB, and a third more when written as text.
constexpr std::size_t maxStoreAnswerBytes = std::size_t { 4 } << 20U;

} // namespace

store_follower::store_follower(event_loop& loop, const address& store, std::string member,
    std::string memberPrefix, lease_times times, decision_logger& lines, follower_hooks hooks)
    : m_loop(loop)
    , m_store(loop, store, maxStoreAnswerBytes)
    , m_member(std::move(member))
    , m_lease(m_member, std::move(memberPrefix), times)
    , m_hasAcquireDelay(times.acquireDelay > monotonic_duration::zero())
    , m_lines(lines)
    , m_hooks(std::move(hooks))
    , m_upstreams(recoveryGrace)
    , m_evacuations(recoveryGrace)
    , m_operatorTableTimer(loop, [this] { readTable(m_operatorTable); })
    , m_upstreamTableTimer(loop,
          [this] {
              if (m_upstreams.applyDueRemovals(monotonicNow()))
                  notifyUpstreams();
              readTable(m_upstreamTable);
          })
    , m_leaseTimer(loop, [this] { advanceLease(); })
{
}

void store_follower::start()
{
    m_lastAnswerAt = monotonicNow();
    readTable(m_operatorTable);
    readTable(m_upstreamTable);
    advanceLease();
}

void store_follower::scheduleRead(table_reader& reader, milliseconds delay)
{
    reader.isBusy = false;
    (&reader == &m_operatorTable ? m_operatorTableTimer : m_upstreamTableTimer).start(delay);
}

void store_follower::onCallAnswered()
{
    const monotonic_time now = monotonicNow();
    m_lastAnswerAt = now;
    m_isLeaseCallUnanswered = false;
    if (!m_isStoreUnreachable)
        return;
    m_isStoreUnreachable = false;
    m_upstreams.onStoreRecovered(now);
    m_lines.write(log_level::Warning, "store_back", {}, now);
}

bool store_follower::checkEra(const http_answer& answer, std::uint64_t eraAtCall)
{
    const std::uint64_t era = platform::parseStoreEra(answer).value_or(m_storeEra);
    const bool isFirst = !std::exchange(m_knowsStoreEra, true);
    if (era < m_storeEra || (era == m_storeEra && !isFirst))
        return era == m_storeEra && eraAtCall == m_storeEra;
    if (era == m_storeEra)
        return true;
    const monotonic_time now = monotonicNow();
    m_lines.write(isFirst ? log_level::Info : log_level::Warning, "store_era",
        { { "era", era }, { "before", m_storeEra } }, now);
    m_storeEra = era;
    // A process that has just started cannot know whether the store has only just returned.
    m_lease.onStoreReturned(bootTimeNow());
    if (isFirst)
        return true;
    // Upstreams register again; until then the list stays as it is.
    m_upstreams.onStoreRecovered(now);
    for (table_reader* reader : { &m_operatorTable, &m_upstreamTable }) {
        reader->nextOffset.reset();
        reader->pageRecords.clear();
    }
    m_hooks.onLeaseChanged();
    return false;
}

void store_follower::rereadTable(table_reader& reader, const http_answer& unused)
{
    reader.nextOffset.reset();
    // An answer of an earlier era may come again and again.
    const bool isOutdated = platform::parseStoreEra(unused).value_or(m_storeEra) < m_storeEra;
    scheduleRead(reader, isOutdated ? delayAfterFailure() : milliseconds(0));
}

void store_follower::onCallFailed(std::string_view call)
{
    const monotonic_time now = monotonicNow();
    if (m_isStoreUnreachable || now - m_lastAnswerAt < unreachableAfter)
        return;
    m_isStoreUnreachable = true;
    m_lines.write(log_level::Warning, "store_away",
        { { "call", call }, { "seconds", secondsBetween(m_lastAnswerAt, now) } }, now);
}

void store_follower::onLeaseCallFailed(std::string_view call, monotonic_time sentAt)
{
    // A slow store answers other calls meanwhile.
    m_isLeaseCallUnanswered = m_isLeaseCallUnanswered || m_lastAnswerAt < sentAt;
    onCallFailed(call);
}

bool store_follower::isStoreSilent() const
{
    return m_isStoreUnreachable || m_isLeaseCallUnanswered
        || monotonicNow() - m_lastAnswerAt >= unreachableAfter;
}

milliseconds store_follower::delayAfterFailure() const
{
    if (m_lease.holds(bootTimeNow()))
        return retryInterval;
    // A store that declines calls is called less often in a large fleet, so that the total rate stays
    // bounded.
    const milliseconds pause
        = std::max(retryInterval, fleetTimingFor(m_lease.record().gateways).leaseReadInterval);
    return m_hooks.hasLiveHolder() ? pause * retryFactorWithCoordinator : pause;
}

milliseconds store_follower::pollInterval() const
{
    return m_hasColdServices && m_lease.holds(bootTimeNow()) ? coldPollInterval : upstreamPollInterval;
}

void store_follower::readTable(table_reader& reader)
{
    if (m_hooks.hasRecentRemoteConfirmation()) {
        // The list changes all the time: once no other gateway sends it any more, it is read whole.
        if (&reader == &m_upstreamTable)
            reader.nextOffset.reset();
        if (&reader == &m_upstreamTable || m_configVersion > 0) {
            scheduleRead(reader, remoteConfirmationCheckInterval);
            return;
        }
    }
    startRead(reader);
}

void store_follower::startRead(table_reader& reader)
{
    reader.isBusy = true;
    if (reader.nextOffset) {
        readTail(reader);
        return;
    }
    reader.pageRecords.clear();
    reader.listingEnd = 0;
    reader.hasUnreadable = false;
    readPage(reader, {});
}

void store_follower::readPage(table_reader& reader, const std::string& after)
{
    const monotonic_time sentAt = bootTimeNow();
    m_store.call(platform::formatNewestCall(m_store.peer(), reader.table, after), callTimeout,
        [this, &reader, sentAt, era = m_storeEra](const std::optional<http_answer>& answer) {
            if (answer && !checkEra(*answer, era)) {
                rereadTable(reader, *answer);
                return;
            }
            if (!answer || answer->status != statusOk) {
                onCallFailed("newest");
                scheduleRead(reader, delayAfterFailure());
                return;
            }
            onCallAnswered();
            try {
                onPage(reader, platform::parseNewestRecords(answer->body, m_storeEra), sentAt);
            } catch (const std::invalid_argument& error) {
                m_lines.write(
                    log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                scheduleRead(reader, delayAfterFailure());
            }
        });
}

void store_follower::logUnreadable(const std::vector<std::string>& errors)
{
    for (const auto& error : errors)
        m_lines.write(log_level::Warning, "record_unreadable", { { "error", error } }, monotonicNow());
}

void store_follower::onPage(table_reader& reader, const platform::table_page& page, monotonic_time sentAt)
{
    logUnreadable(page.unreadable);
    // The pages are no snapshot: they are complete only up to the table's end when the first page was made.
    if (reader.pageRecords.empty())
        reader.listingEnd = page.end;
    reader.hasUnreadable = reader.hasUnreadable || !page.unreadable.empty();
    reader.pageRecords.insert(reader.pageRecords.end(), page.records.begin(), page.records.end());
    if (page.hasMore && !page.records.empty()) {
        readPage(reader, page.records.back().key);
        return;
    }
    reader.nextOffset = reader.listingEnd;
    const auto records = std::exchange(reader.pageRecords, {});
    if (&reader == &m_upstreamTable) {
        std::vector<upstream_record> decoded;
        for (const auto& record : records) {
            if (auto value = decode(record))
                decoded.push_back(std::move(*value));
        }
        m_upstreams.onListing(decoded, reader.listingEnd, monotonicNow());
        m_hasListing = true;
        notifyUpstreams();
        scheduleRead(reader, pollInterval());
        return;
    }
    // Requests may be placed as soon as there is a configuration, so that the evacuations come first.
    applyEvacuations(reader, records, true, sentAt);
    applyRecords(reader, records, sentAt);
    scheduleRead(reader, {});
}

void store_follower::readTail(table_reader& reader)
{
    const bool isOperatorTable = &reader == &m_operatorTable;
    // After another gateway named a newer record, the store has it already.
    const milliseconds wait = !isOperatorTable || m_hooks.hasRecentRemoteConfirmation() ? milliseconds(0)
        : m_lease.holds(bootTimeNow()) ? configTailWaitAsHolder
                                       : configTailWait;
    const monotonic_time sentAt = bootTimeNow();
    const std::uint64_t from = *reader.nextOffset;
    m_store.call(platform::formatTailCall(m_store.peer(), reader.table, from, wait), wait + callTimeout,
        [this, &reader, sentAt, from, isOperatorTable, era = m_storeEra](
            const std::optional<http_answer>& answer) {
            if (answer && !checkEra(*answer, era)) {
                rereadTable(reader, *answer);
                return;
            }
            if (answer && answer->status == statusGone) {
                onCallAnswered();
                reader.nextOffset.reset();
                scheduleRead(reader, {});
                return;
            }
            if (!answer || answer->status != statusOk) {
                onCallFailed("tail");
                // Versions missed meanwhile need not be read: the newest one is enough.
                reader.nextOffset.reset();
                scheduleRead(reader, delayAfterFailure());
                return;
            }
            onCallAnswered();
            try {
                const auto tail = platform::parseTableTail(answer->body, from);
                logUnreadable(tail.unreadable);
                // An end before the records already read is an outdated answer.
                if (tail.end < from) {
                    scheduleRead(reader, delayAfterFailure());
                    return;
                }
                reader.nextOffset = from + tail.records.size();
                if (isOperatorTable)
                    applyEvacuations(reader, tail.records, false, sentAt);
                applyRecords(reader, tail.records, sentAt);
                scheduleRead(reader,
                    isOperatorTable || reader.nextOffset < tail.end ? milliseconds(0) : pollInterval());
            } catch (const std::invalid_argument& error) {
                m_lines.write(
                    log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                reader.nextOffset.reset();
                scheduleRead(reader, delayAfterFailure());
            }
        });
}

void store_follower::applyRecords(
    table_reader& reader, const std::vector<platform::table_record>& records, monotonic_time sentAt)
{
    if (&reader == &m_operatorTable) {
        for (const auto& record : records) {
            if (record.key == platform::configKey())
                applyConfig(record);
        }
        if (m_configVersion > 0) {
            m_confirmedAt = sentAt;
            m_configEnd = std::max(m_configEnd, reader.nextOffset.value_or(0));
            m_hooks.onConfigConfirmed(sentAt);
        }
        return;
    }
    for (const auto& record : records) {
        if (const auto value = decode(record))
            m_upstreams.onRecord(*value, monotonicNow());
    }
    m_upstreams.applyDueRemovals(monotonicNow());
    notifyUpstreams();
}

void store_follower::applyEvacuations(const table_reader& reader,
    const std::vector<platform::table_record>& records, bool isListing, monotonic_time sentAt)
{
    std::vector<evacuation_record> evacuations;
    for (const auto& record : records) {
        if (auto evacuation = platform::parseEvacuation(record))
            evacuations.push_back(std::move(*evacuation));
    }
    const monotonic_time now = bootTimeNow();
    if (!isListing)
        m_evacuations.onRecords(evacuations, *reader.nextOffset, now);
    else if (!reader.hasUnreadable)
        m_evacuations.onListing(evacuations, reader.listingEnd, now);
    else
        // A zone without a record may be that of a record that could not be read.
        m_evacuations.onRecords(evacuations, 0, now);
    m_evacuations.onConfirmed(sentAt);
    notifyEvacuations();
}

void store_follower::notifyEvacuations()
{
    if (m_notifiedEvacuations == m_evacuations.current())
        return;
    m_notifiedEvacuations = m_evacuations.current();
    m_hooks.onEvacuations(m_notifiedEvacuations);
}

void store_follower::onRemoteEvacuations(const evacuated_zones& told)
{
    m_evacuations.onTold(told, bootTimeNow());
    notifyEvacuations();
}

void store_follower::onRemoteConfirmation(std::uint64_t configEnd, monotonic_time confirmedAt)
{
    if (m_configVersion > 0 && m_configEnd >= configEnd) {
        m_evacuations.onConfirmed(confirmedAt);
        notifyEvacuations();
        m_hooks.onConfigConfirmed(confirmedAt);
        return;
    }
    if (!m_operatorTable.isBusy)
        startRead(m_operatorTable);
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
    m_hasListing = m_hasListing || isWhole;
    notifyUpstreams();
}

std::optional<std::pair<std::uint64_t, monotonic_time>> store_follower::configConfirmation() const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return std::pair(m_configEnd, *m_confirmedAt);
}

void store_follower::notifyUpstreams()
{
    if (!m_hasListing || (m_notifiedRevision == m_upstreams.revision() && m_notifiedRevision != 0))
        return;
    m_notifiedRevision = m_upstreams.revision();
    m_hooks.onUpstreams(m_upstreams.entries());
}

void store_follower::applyConfig(const platform::table_record& record)
{
    if (!record.value)
        return;
    try {
        auto config = std::make_shared<const fleet_config>(platform::parseFleetConfig(*record.value));
        if (config->version <= m_configVersion)
            return;
        m_configVersion = config->version;
        m_hasColdServices = std::any_of(config->services.begin(), config->services.end(),
            [](const service_config& service) { return service.coldRequestsPerSecond > 0; });
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
            platform::parseUpstreamEntry(record.key, *record.value) };
    } catch (const std::exception& error) {
        m_lines.write(log_level::Warning, "upstream_unreadable",
            { { "upstream", record.key }, { "error", error.what() } }, monotonicNow());
        return std::nullopt;
    }
}

void store_follower::advanceLease()
{
    m_leaseTimer.start(leaseCheckInterval);
    const auto action = m_lease.nextAction(bootTimeNow(), m_hooks.hasLiveHolder());
    std::visit(overloaded { [](std::monostate) {}, [this](const coordinator_lease::read&) { readLease(); },
                   [this](const coordinator_lease::append& what) { appendLease(what); } },
        action);
    m_hooks.onLeaseChanged();
}

void store_follower::readLease()
{
    m_store.call(platform::formatLeaseReadCall(m_store.peer()), leaseCallTimeout,
        [this, sentAt = monotonicNow(), era = m_storeEra](const std::optional<http_answer>& answer) {
            const monotonic_time now = bootTimeNow();
            if (answer && !checkEra(*answer, era)) {
                m_lease.onReadFailed(now);
                return;
            }
            if (!answer || answer->status != statusOk) {
                onLeaseCallFailed("lease read", sentAt);
                m_lease.onReadFailed(now);
                return;
            }
            onCallAnswered();
            try {
                m_lease.onRead(platform::parseLeaseRecord(answer->body, m_storeEra), now);
                // Gateways without a delay read the lease often, since they acquire it as soon as it is
                // free; the others learn its state from them or later.
                if (m_hasAcquireDelay)
                    m_lease.setReadInterval(fleetTimingFor(m_lease.record().gateways).leaseReadInterval);
                if (m_lease.record().gateways > 0)
                    m_hooks.onGatewayCountRead(m_lease.record().gateways);
                if (!m_lease.knownHolder().empty() && m_lease.knownHolder() != m_member)
                    m_hooks.onLeaseHolder(m_lease.knownHolder(), m_lease.record().end);
            } catch (const std::invalid_argument& error) {
                m_lines.write(
                    log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                m_lease.onReadFailed(now);
            }
        });
}

void store_follower::appendLease(const coordinator_lease::append& what)
{
    const monotonic_time sentAt = bootTimeNow();
    m_store.call(platform::formatLeaseAppendCall(m_store.peer(), what.isRelease ? std::string() : m_member,
                     m_hooks.gatewayCount(), what.at, what.isHandoverComplete),
        leaseCallTimeout,
        [this, sentAt, callSentAt = monotonicNow(), era = m_storeEra](
            const std::optional<http_answer>& answer) {
            const monotonic_time now = bootTimeNow();
            const bool held = m_lease.holds(now);
            const std::uint64_t heldFence = m_lease.fence();
            const bool isUsable = !answer || checkEra(*answer, era);
            if (!isUsable)
                m_lease.onAppendUnanswered(now);
            else if (!answer || (answer->status != statusOk && answer->status != statusPreconditionFailed)) {
                onLeaseCallFailed("lease append", callSentAt);
                m_lease.onAppendUnanswered(now);
            } else if (answer->status == statusPreconditionFailed) {
                onCallAnswered();
                m_lease.onAppendRejected(now);
            } else {
                onCallAnswered();
                try {
                    m_lease.onAppended(sentAt, platform::parseAppendedEnd(answer->body, m_storeEra), now);
                } catch (const std::invalid_argument& error) {
                    m_lines.write(
                        log_level::Error, "store_unreadable", { { "error", error.what() } }, monotonicNow());
                    m_lease.onAppendUnanswered(now);
                }
            }
            if (held != m_lease.holds(now))
                m_lines.write(log_level::Info, held ? "duty_lost" : "duty_taken",
                    { { "fence", held ? heldFence : m_lease.fence() } }, monotonicNow());
            m_hooks.onLeaseChanged();
        });
}

void store_follower::setPreferred(bool isPreferred)
{
    m_lease.setExtraAcquireDelay(isPreferred ? milliseconds(0) : nonSuccessorDelay);
}

void store_follower::resign()
{
    m_lease.resign();
    advanceLease();
}

} // namespace sagesaddle
