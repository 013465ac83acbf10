#include "Agree/fleet_follower.h"

#include "Agree/freshness_tracker.h"
#include "Agree/log_client.h"
#include "Agree/membership_proposer.h"
#include "Agree/peer_rotation.h"
#include "Agree/snapshot_schedule.h"
#include "Agree/state_replica.h"
#include "Record/json_text.h"
#include "Record/log_record.h"
#include "Record/record_error.h"
#include "Record/state_json.h"

#include <algorithm>
#include <condition_variable>
#include <limits>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace sagesaddle {

namespace {

constexpr milliseconds readWait { 500 };
constexpr milliseconds logTimeout { 500 };
constexpr milliseconds emptyReadPause { 100 };
constexpr milliseconds readRetryPause { 500 };
constexpr milliseconds peerLoopInterval { 50 };
constexpr milliseconds writeLoopInterval { 200 };
constexpr milliseconds requestExpiry { 5000 };
constexpr std::size_t maxTailAnswerBytes = 256 * 1024;

monotonic_time currentTime()
{
    return monotonicNow();
}

// Returns the age in milliseconds, rounded up; the maximum where there is no time.
std::uint32_t ageMs(std::optional<monotonic_time> at, monotonic_time now)
{
    constexpr std::int64_t maxMs = std::numeric_limits<std::uint32_t>::max();
    if (!at)
        return maxMs;
    const std::int64_t age = std::chrono::ceil<milliseconds>(now - *at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, maxMs));
}

// Returns the state, or null where the text is empty or cannot be parsed.
fleet_state_ptr parseSnapshot(const std::string& text)
{
    if (text.empty())
        return nullptr;
    try {
        return std::make_shared<const fleet_state>(parseStateJson(parseJsonText(text, "snapshot")));
    } catch (const record_error&) {
        return nullptr;
    }
}

// A request for the tail that a peer has not answered yet.
struct sent_request {
    std::string entry;
    monotonic_time sentAt;
};

} // namespace

struct fleet_follower::impl {
    impl(options given, send_to_peer sender, std::function<void(fleet_state_ptr)> listener);
    ~impl();

    void readLoop();
    milliseconds readOnce();
    void onReadFailure(const log_error& error);
    void onBatch(monotonic_time sentAt, const log_batch& batch);
    void peerLoop();
    void publishNewState();
    void sendDueRequests();
    std::vector<std::pair<std::string, tail_request>> createDueRequests(monotonic_time now);
    std::vector<std::string> peerNames() const;
    void writeLoop();
    std::optional<log_record> dueSnapshot(monotonic_time now);
    std::optional<log_record> dueEpoch(monotonic_time now);
    std::optional<log_record> makeEpochRecordWithoutSelf() const;
    log_record makeEpochRecord(std::vector<std::string> members) const;
    void tryAppend(const log_record& record);
    membership_proposer::last_answer_times lastAnswerTimes() const;
    void setCurrent(fleet_state_ptr state);
    bool pause(milliseconds span);
    void markStateUsable();
    tail_answer answerWithoutRecords(std::uint64_t id) const;
    std::optional<sent_request> removeRequest(std::uint64_t id);

    const options settings;
    const send_to_peer send;
    const std::function<void(fleet_state_ptr)> onChange;
    log_client log;

    // Guards `replica`, also while records are folded. Lock order: replicaMutex before mutex.
    mutable std::mutex replicaMutex;
    state_replica replica;

    // Guards all members below. Held for moments only: nothing is sent and no callback runs meanwhile.
    mutable std::mutex mutex;
    std::condition_variable wakeUp;
    bool stopping { false };
    bool leaving { false };
    // Whether `current` may be handed out: it was read up to the log's end, or comes from a peer.
    bool isStateUsable { false };
    std::uint64_t earliestOffset { 0 };
    std::uint64_t snapshotOffset { 0 };
    std::uint64_t lastRequestId { 0 };
    // By request id.
    std::map<std::uint64_t, sent_request> sentRequests;
    // The state of `replica` after the last fold.
    fleet_state_ptr current;
    freshness_tracker freshnessTracker;
    // Run that each peer named in its last answer; for peers outside the epoch, only answers since it began.
    member_run_ids peerRunIds;
    std::uint64_t peerRunIdsEpoch { 0 };
    peer_rotation rotation;
    snapshot_schedule snapshots;
    membership_proposer membership;
    // The state that onChange was last called with.
    fleet_state_ptr published;

    std::vector<std::thread> threads;
};

fleet_follower::impl::impl(options given, send_to_peer sender, std::function<void(fleet_state_ptr)> listener)
    : settings(std::move(given))
    , send(std::move(sender))
    , onChange(std::move(listener))
    , log(settings.log, logTimeout)
    , current(replica.state())
    , freshnessTracker(settings.self, settings.maxStateAge)
    , snapshots(settings.self)
    , membership({ .self = settings.self, .memberExpiry = settings.memberExpiry }, currentTime())
{
    threads.emplace_back([this] { readLoop(); });
    threads.emplace_back([this] { peerLoop(); });
    if (settings.isWriter)
        threads.emplace_back([this] { writeLoop(); });
}

fleet_follower::impl::~impl()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
    }
    wakeUp.notify_all();
    log.stop();
    for (std::thread& thread : threads)
        thread.join();
}

// Waits for a time span, or until the follower stops. Returns whether the threads must go on.
bool fleet_follower::impl::pause(milliseconds span)
{
    std::unique_lock lock(mutex);
    return !wakeUp.wait_for(lock, span, [this] { return stopping; });
}

void fleet_follower::impl::readLoop()
{
    while (pause(milliseconds(0)))
        pause(readOnce());
}

// Reads one batch. Returns the pause before the next read.
milliseconds fleet_follower::impl::readOnce()
{
    std::uint64_t from = 0;
    {
        const std::lock_guard lock(replicaMutex);
        from = replica.nextOffsetToRead();
    }
    const monotonic_time sentAt = currentTime();
    try {
        const log_batch batch = log.read(settings.stream, from, recordsPerRead, readWait);
        onBatch(sentAt, batch);
        // A log that answers without records before the wait is over must not be read in a busy loop.
        const bool mayReadAtOnce = !batch.records.empty() || currentTime() - sentAt >= readWait;
        return mayReadAtOnce ? milliseconds(0) : emptyReadPause;
    } catch (const log_error& error) {
        onReadFailure(error);
        return error.failure() == log_failure::Lapsed ? milliseconds(0) : readRetryPause;
    }
}

void fleet_follower::impl::onReadFailure(const log_error& error)
{
    if (error.failure() == log_failure::Lapsed) {
        const std::lock_guard lock(replicaMutex);
        replica.startSnapshotSearch(error.earliestOffset());
        return;
    }
    const std::lock_guard lock(mutex);
    freshnessTracker.onLogFailure();
}

void fleet_follower::impl::onBatch(monotonic_time sentAt, const log_batch& batch)
{
    const std::lock_guard folding(replicaMutex);
    replica.foldRecords(batch.first, batch.records);
    const std::lock_guard lock(mutex);
    setCurrent(replica.state());
    snapshotOffset = replica.snapshotOffset();
    earliestOffset = batch.earliest;
    if (batch.next != batch.end || replica.isSearchingSnapshot())
        return;
    freshnessTracker.onLogRead(sentAt);
    markStateUsable();
}

// Forgets the runs of peers outside a new epoch: a peer that joins again may be another process, so that only
// an answer to a new request tells its run.
void fleet_follower::impl::setCurrent(fleet_state_ptr state)
{
    current = std::move(state);
    const membership_epoch& epoch = current->epoch;
    if (std::exchange(peerRunIdsEpoch, epoch.number) != epoch.number)
        std::erase_if(peerRunIds,
            [&](const auto& item) { return !std::ranges::binary_search(epoch.members, item.first); });
}

void fleet_follower::impl::markStateUsable()
{
    isStateUsable = true;
    wakeUp.notify_all();
}

void fleet_follower::impl::peerLoop()
{
    do {
        publishNewState();
        sendDueRequests();
    } while (pause(peerLoopInterval));
}

void fleet_follower::impl::publishNewState()
{
    fleet_state_ptr newState;
    {
        const std::lock_guard lock(mutex);
        if (!isStateUsable || published == current)
            return;
        published = current;
        newState = published;
    }
    if (onChange)
        onChange(newState);
}

std::vector<std::string> fleet_follower::impl::peerNames() const
{
    if (!isStateUsable)
        return settings.seedPeers;
    std::vector<std::string> names;
    for (const auto& [name, entry] : current->entries)
        if (name != settings.self)
            names.push_back(name);
    return names;
}

std::vector<std::pair<std::string, tail_request>> fleet_follower::impl::createDueRequests(monotonic_time now)
{
    const std::lock_guard lock(mutex);
    std::vector<std::pair<std::string, tail_request>> requests;
    std::erase_if(sentRequests, [&](const auto& item) { return now - item.second.sentAt > requestExpiry; });
    for (const std::string& peer :
        rotation.takeDue(now, peerNames(), freshnessTracker.isLogUnreachable(now))) {
        sentRequests[++lastRequestId] = { peer, now };
        requests.emplace_back(peer, tail_request { lastRequestId, current->nextOffset });
    }
    return requests;
}

void fleet_follower::impl::sendDueRequests()
{
    if (!send)
        return;
    for (const auto& [peer, request] : createDueRequests(currentTime()))
        send(peer, request);
}

void fleet_follower::impl::writeLoop()
{
    while (pause(writeLoopInterval)) {
        const monotonic_time now = currentTime();
        if (const auto snapshot = dueSnapshot(now))
            tryAppend(*snapshot);
        if (const auto epoch = dueEpoch(now))
            tryAppend(*epoch);
    }
}

std::optional<log_record> fleet_follower::impl::dueSnapshot(monotonic_time now)
{
    fleet_state_ptr state;
    {
        const std::lock_guard lock(mutex);
        state = current;
        const bool mayWrite = isStateUsable && !leaving && !freshnessTracker.isLogUnreachable(now)
            && state->entries.contains(settings.self);
        if (!mayWrite
            || !snapshots.isDue(now, snapshotOffset, state->nextOffset, earliestOffset, state->entries))
            return std::nullopt;
    }
    return log_record { makeRecordId(), defaultRecordSchema, snapshot_record { state } };
}

membership_proposer::last_answer_times fleet_follower::impl::lastAnswerTimes() const
{
    membership_proposer::last_answer_times times;
    for (const auto& [name, entry] : current->entries)
        if (const auto at = freshnessTracker.lastAnswerTime(name); at && peerRunIds.contains(name))
            times.emplace(name, *at);
    return times;
}

std::optional<log_record> fleet_follower::impl::dueEpoch(monotonic_time now)
{
    const std::lock_guard lock(mutex);
    if (!isStateUsable || leaving || freshnessTracker.isLogUnreachable(now))
        return std::nullopt;
    const fleet_state& state = *current;
    auto members = membership.proposal(now, state, lastAnswerTimes());
    if (!members)
        return std::nullopt;
    return makeEpochRecord(std::move(*members));
}

// A member that stays keeps its run, so that a second process under its name does not take over its shares.
log_record fleet_follower::impl::makeEpochRecord(std::vector<std::string> members) const
{
    epoch_record next { current->epoch.number, std::move(members) };
    member_run_ids knownRunIds = current->epoch.runs;
    knownRunIds.emplace(settings.self, settings.run);
    knownRunIds.insert(peerRunIds.begin(), peerRunIds.end());
    for (const std::string& member : next.members)
        if (const auto found = knownRunIds.find(member); found != knownRunIds.end() && found->second != 0)
            next.runs.insert(*found);
    const std::uint32_t schema = next.runs.empty() ? defaultRecordSchema : epochRunsSchema;
    return { makeRecordId(), schema, std::move(next) };
}

// Ignores failures: a snapshot or an epoch that could not be appended falls due again.
void fleet_follower::impl::tryAppend(const log_record& record)
{
    try {
        log.append(settings.stream, { formatRecord(record) });
    } catch (const log_error&) {
        return;
    }
}

fleet_follower::fleet_follower(
    options settings, send_to_peer send, std::function<void(fleet_state_ptr)> onChange)
    : m_impl(std::make_unique<impl>(std::move(settings), std::move(send), std::move(onChange)))
{
}

fleet_follower::~fleet_follower() = default;

fleet_state_ptr fleet_follower::state() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->isStateUsable ? m_impl->current : nullptr;
}

freshness fleet_follower::freshnessAt(monotonic_time now) const
{
    const std::lock_guard lock(m_impl->mutex);
    const fleet_state& state = *m_impl->current;
    freshness result = m_impl->freshnessTracker.evaluate(now, state.nextOffset, state.entries);
    result.isFresh = result.isFresh && m_impl->isStateUsable;
    return result;
}

tail_answer fleet_follower::impl::answerWithoutRecords(std::uint64_t id) const
{
    const std::lock_guard lock(mutex);
    const monotonic_time now = currentTime();
    tail_answer answer;
    // Peers ignore an answer of an unknown id: they must not take a leaving process for a live one.
    answer.id = leaving ? 0 : id;
    answer.ageMs = ageMs(freshnessTracker.lastRead(), now);
    answer.isLogUnreachable = freshnessTracker.isLogUnreachable(now);
    answer.next = isStateUsable ? current->nextOffset : 0;
    answer.run = settings.run;
    return answer;
}

tail_answer fleet_follower::answerTail(const tail_request& request) const
{
    tail_answer answer = m_impl->answerWithoutRecords(request.id);
    answer.first = std::min(request.from, answer.next);
    if (answer.first == answer.next)
        return answer;
    fleet_state_ptr snapshot;
    {
        const std::lock_guard lock(m_impl->replicaMutex);
        if (m_impl->replica.hasRecordsFrom(answer.first)) {
            answer.records = m_impl->replica.recordsFrom(answer.first, maxTailAnswerBytes);
            return answer;
        }
        snapshot = m_impl->replica.state();
    }
    answer.first = answer.next;
    answer.snapshot = formatStateJson(*snapshot).dump();
    return answer;
}

std::optional<sent_request> fleet_follower::impl::removeRequest(std::uint64_t id)
{
    const std::lock_guard lock(mutex);
    const auto found = sentRequests.find(id);
    if (found == sentRequests.end())
        return std::nullopt;
    sent_request request = found->second;
    sentRequests.erase(found);
    return request;
}

void fleet_follower::onTailAnswer(const std::string&, const tail_answer& answer)
{
    const std::optional<sent_request> request = m_impl->removeRequest(answer.id);
    if (!request)
        return;
    const fleet_state_ptr snapshot = parseSnapshot(answer.snapshot);
    const std::lock_guard folding(m_impl->replicaMutex);
    state_replica& replica = m_impl->replica;
    const bool adopted = replica.adoptSnapshot(snapshot);
    const bool folded = !replica.isSearchingSnapshot() && replica.foldRecords(answer.first, answer.records);

    const std::lock_guard lock(m_impl->mutex);
    m_impl->setCurrent(replica.state());
    m_impl->snapshotOffset = replica.snapshotOffset();
    m_impl->freshnessTracker.onPeerAnswer(request->entry, request->sentAt,
        { answer.next, milliseconds(answer.ageMs), answer.isLogUnreachable });
    m_impl->peerRunIds[request->entry] = answer.run;
    if ((adopted || folded) && m_impl->current->nextOffset >= answer.next)
        m_impl->markStateUsable();
}

std::optional<log_record> fleet_follower::impl::makeEpochRecordWithoutSelf() const
{
    const membership_epoch& epoch = current->epoch;
    std::vector<std::string> members = epoch.members;
    if (!isStateUsable || std::erase(members, settings.self) == 0)
        return std::nullopt;
    return makeEpochRecord(std::move(members));
}

void fleet_follower::leave()
{
    std::optional<log_record> record;
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->leaving = true;
        record = m_impl->makeEpochRecordWithoutSelf();
    }
    if (record)
        m_impl->tryAppend(*record);
}

void fleet_follower::rejoin()
{
    std::optional<log_record> record;
    {
        const std::lock_guard lock(m_impl->mutex);
        if (!m_impl->leaving && !m_impl->freshnessTracker.isLogUnreachable(monotonicNow()))
            record = m_impl->makeEpochRecordWithoutSelf();
    }
    if (record)
        m_impl->tryAppend(*record);
}

} // namespace sagesaddle
