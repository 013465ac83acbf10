#include "Agree/fleet_follower.h"

#include "Agree/freshness_judge.h"
#include "Agree/log_client.h"
#include "Agree/membership_watch.h"
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
constexpr milliseconds failurePause { 500 };
constexpr milliseconds tick { 50 };
constexpr milliseconds writerTick { 200 };
constexpr milliseconds askLifetime { 5000 };
constexpr std::size_t mostRelayedBytes = 256 * 1024;

monotonic_time currentTime()
{
    return monotonicNow();
}

std::uint32_t ageMs(std::optional<monotonic_time> at, monotonic_time now)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    if (!at)
        return most;
    const std::int64_t age = std::chrono::ceil<milliseconds>(now - *at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, most));
}

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

struct sent_ask {
    std::string entry;
    monotonic_time askedAt;
};

} // namespace

struct fleet_follower::impl {
    impl(options given, send_to_peer sender, std::function<void(fleet_state_ptr)> listener);
    ~impl();

    void readLoop();
    milliseconds readOnce();
    void onReadFailure(const log_error& error);
    void onBatch(monotonic_time askedAt, const log_batch& batch);
    void peerLoop();
    void publishNew();
    void askPeers();
    std::vector<std::pair<std::string, tail_ask>> takeAsks(monotonic_time now);
    std::vector<std::string> peerNames() const;
    void writeLoop();
    std::optional<log_record> dueSnapshot(monotonic_time now);
    std::optional<log_record> dueEpoch(monotonic_time now);
    std::optional<log_record> epochWithoutSelf() const;
    log_record epochOf(std::vector<std::string> members) const;
    void appendQuietly(const log_record& record);
    membership_watch::heard_times heardTimes() const;
    void setCurrent(fleet_state_ptr state);
    bool pause(milliseconds span);
    void trust();
    tail_answer evidence(std::uint64_t id) const;
    std::optional<sent_ask> takeAsk(std::uint64_t id);

    const options settings;
    const send_to_peer send;
    const std::function<void(fleet_state_ptr)> onChange;
    log_client log;

    // Guards the replica, also while records are folded; taken before `mutex`.
    mutable std::mutex replicaMutex;
    state_replica replica;

    // Guards all that follows, for moments only; nothing is called or sent while it is held.
    mutable std::mutex mutex;
    std::condition_variable woken;
    bool stopping { false };
    bool leaving { false };
    bool trusted { false };
    std::uint64_t earliest { 0 };
    std::uint64_t snapshotOffset { 0 };
    std::uint64_t lastAskId { 0 };
    std::map<std::uint64_t, sent_ask> asks;
    // The replica's state as last folded.
    fleet_state_ptr current;
    freshness_judge judge;
    // Runs that the peers last named; of those outside the epoch, since it began.
    member_runs heardRuns;
    std::uint64_t heardInEpoch { 0 };
    peer_rotation rotation;
    snapshot_schedule snapshots;
    membership_watch membership;
    fleet_state_ptr announced;

    std::vector<std::thread> threads;
};

fleet_follower::impl::impl(options given, send_to_peer sender, std::function<void(fleet_state_ptr)> listener)
    : settings(std::move(given))
    , send(std::move(sender))
    , onChange(std::move(listener))
    , log(settings.log, logTimeout)
    , current(replica.state())
    , judge(settings.self, settings.freshFor)
    , snapshots(settings.self)
    , membership({ .self = settings.self, .missedFor = settings.missedFor }, currentTime())
{
    threads.emplace_back([this] { readLoop(); });
    threads.emplace_back([this] { peerLoop(); });
    if (settings.writes)
        threads.emplace_back([this] { writeLoop(); });
}

fleet_follower::impl::~impl()
{
    {
        const std::lock_guard lock(mutex);
        stopping = true;
    }
    woken.notify_all();
    log.stop();
    for (std::thread& thread : threads)
        thread.join();
}

// Waits for a span or the end; true where the threads are to go on.
bool fleet_follower::impl::pause(milliseconds span)
{
    std::unique_lock lock(mutex);
    return !woken.wait_for(lock, span, [this] { return stopping; });
}

void fleet_follower::impl::readLoop()
{
    while (pause(milliseconds(0)))
        pause(readOnce());
}

// Reads one batch.
// Returns the pause before the next read.
milliseconds fleet_follower::impl::readOnce()
{
    std::uint64_t from = 0;
    {
        const std::lock_guard lock(replicaMutex);
        from = replica.readFrom();
    }
    const monotonic_time askedAt = currentTime();
    try {
        const log_batch batch = log.read(settings.stream, from, recordsPerRead, readWait);
        onBatch(askedAt, batch);
        const bool waited = !batch.records.empty() || currentTime() - askedAt >= readWait;
        return waited ? milliseconds(0) : emptyReadPause;
    } catch (const log_error& error) {
        onReadFailure(error);
        return error.failure() == log_failure::Lapsed ? milliseconds(0) : failurePause;
    }
}

void fleet_follower::impl::onReadFailure(const log_error& error)
{
    if (error.failure() == log_failure::Lapsed) {
        const std::lock_guard lock(replicaMutex);
        replica.startSearch(error.earliest());
        return;
    }
    const std::lock_guard lock(mutex);
    judge.onLogFailure();
}

void fleet_follower::impl::onBatch(monotonic_time askedAt, const log_batch& batch)
{
    const std::lock_guard folding(replicaMutex);
    replica.takeRecords(batch.first, batch.records);
    const std::lock_guard lock(mutex);
    setCurrent(replica.state());
    snapshotOffset = replica.snapshotOffset();
    earliest = batch.earliest;
    if (batch.next != batch.end || replica.isSearching())
        return;
    judge.onLogRead(askedAt);
    trust();
}

// Whoever joins again may be another process than the one heard before: it is to be heard anew.
void fleet_follower::impl::setCurrent(fleet_state_ptr state)
{
    current = std::move(state);
    const membership_epoch& epoch = current->epoch;
    if (std::exchange(heardInEpoch, epoch.number) != epoch.number)
        std::erase_if(heardRuns,
            [&](const auto& heard) { return !std::ranges::binary_search(epoch.members, heard.first); });
}

void fleet_follower::impl::trust()
{
    trusted = true;
    woken.notify_all();
}

void fleet_follower::impl::peerLoop()
{
    do {
        publishNew();
        askPeers();
    } while (pause(tick));
}

void fleet_follower::impl::publishNew()
{
    fleet_state_ptr fresh;
    {
        const std::lock_guard lock(mutex);
        if (!trusted || announced == current)
            return;
        announced = current;
        fresh = announced;
    }
    if (onChange)
        onChange(fresh);
}

std::vector<std::string> fleet_follower::impl::peerNames() const
{
    if (!trusted)
        return settings.startPeers;
    std::vector<std::string> names;
    for (const auto& [name, entry] : current->entries)
        if (name != settings.self)
            names.push_back(name);
    return names;
}

std::vector<std::pair<std::string, tail_ask>> fleet_follower::impl::takeAsks(monotonic_time now)
{
    const std::lock_guard lock(mutex);
    std::vector<std::pair<std::string, tail_ask>> result;
    std::erase_if(asks, [&](const auto& item) { return now - item.second.askedAt > askLifetime; });
    for (const std::string& peer : rotation.due(now, peerNames(), judge.isLogAway(now))) {
        asks[++lastAskId] = { peer, now };
        result.emplace_back(peer, tail_ask { lastAskId, current->nextOffset });
    }
    return result;
}

void fleet_follower::impl::askPeers()
{
    if (!send)
        return;
    for (const auto& [peer, ask] : takeAsks(currentTime()))
        send(peer, ask);
}

void fleet_follower::impl::writeLoop()
{
    while (pause(writerTick)) {
        const monotonic_time now = currentTime();
        if (const auto snapshot = dueSnapshot(now))
            appendQuietly(*snapshot);
        if (const auto epoch = dueEpoch(now))
            appendQuietly(*epoch);
    }
}

std::optional<log_record> fleet_follower::impl::dueSnapshot(monotonic_time now)
{
    fleet_state_ptr state;
    {
        const std::lock_guard lock(mutex);
        state = current;
        const bool mayWrite
            = trusted && !leaving && !judge.isLogAway(now) && state->entries.contains(settings.self);
        if (!mayWrite || !snapshots.isDue(now, snapshotOffset, state->nextOffset, earliest, state->entries))
            return std::nullopt;
    }
    return log_record { makeRecordId(), defaultRecordSchema, snapshot_record { state } };
}

membership_watch::heard_times fleet_follower::impl::heardTimes() const
{
    membership_watch::heard_times heard;
    for (const auto& [name, entry] : current->entries)
        if (const auto at = judge.lastHeard(name); at && heardRuns.contains(name))
            heard.emplace(name, *at);
    return heard;
}

std::optional<log_record> fleet_follower::impl::dueEpoch(monotonic_time now)
{
    const std::lock_guard lock(mutex);
    if (!trusted || leaving || judge.isLogAway(now))
        return std::nullopt;
    const fleet_state& state = *current;
    auto members = membership.proposal(now, state, heardTimes());
    if (!members)
        return std::nullopt;
    return epochOf(std::move(*members));
}

// A member that stays keeps its run, so that a second process of its name does not take its shares over.
log_record fleet_follower::impl::epochOf(std::vector<std::string> members) const
{
    epoch_record next { current->epoch.number, std::move(members) };
    member_runs known = current->epoch.runs;
    known.emplace(settings.self, settings.run);
    known.insert(heardRuns.begin(), heardRuns.end());
    for (const std::string& member : next.members)
        if (const auto found = known.find(member); found != known.end() && found->second != 0)
            next.runs.insert(*found);
    const std::uint32_t schema = next.runs.empty() ? defaultRecordSchema : epochRunsSchema;
    return { makeRecordId(), schema, std::move(next) };
}

// A snapshot or an epoch that could not be appended falls due again.
void fleet_follower::impl::appendQuietly(const log_record& record)
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
    return m_impl->trusted ? m_impl->current : nullptr;
}

freshness fleet_follower::freshnessAt(monotonic_time now) const
{
    const std::lock_guard lock(m_impl->mutex);
    const fleet_state& state = *m_impl->current;
    freshness result = m_impl->judge.judge(now, state.nextOffset, state.entries);
    result.fresh = result.fresh && m_impl->trusted;
    return result;
}

tail_answer fleet_follower::impl::evidence(std::uint64_t id) const
{
    const std::lock_guard lock(mutex);
    const monotonic_time now = currentTime();
    tail_answer answer;
    answer.id = leaving ? 0 : id;
    answer.ageMs = ageMs(judge.lastRead(), now);
    answer.logAway = judge.isLogAway(now);
    answer.next = trusted ? current->nextOffset : 0;
    answer.run = settings.run;
    return answer;
}

tail_answer fleet_follower::answerTail(const tail_ask& ask) const
{
    tail_answer answer = m_impl->evidence(ask.id);
    answer.first = std::min(ask.from, answer.next);
    if (answer.first == answer.next)
        return answer;
    fleet_state_ptr snapshot;
    {
        const std::lock_guard lock(m_impl->replicaMutex);
        if (m_impl->replica.holdsFrom(answer.first)) {
            answer.records = m_impl->replica.recordsFrom(answer.first, mostRelayedBytes);
            return answer;
        }
        snapshot = m_impl->replica.state();
    }
    answer.first = answer.next;
    answer.snapshot = formatStateJson(*snapshot).dump();
    return answer;
}

std::optional<sent_ask> fleet_follower::impl::takeAsk(std::uint64_t id)
{
    const std::lock_guard lock(mutex);
    const auto found = asks.find(id);
    if (found == asks.end())
        return std::nullopt;
    sent_ask ask = found->second;
    asks.erase(found);
    return ask;
}

void fleet_follower::onTail(const std::string&, const tail_answer& answer)
{
    const std::optional<sent_ask> ask = m_impl->takeAsk(answer.id);
    if (!ask)
        return;
    const fleet_state_ptr snapshot = parseSnapshot(answer.snapshot);
    const std::lock_guard folding(m_impl->replicaMutex);
    state_replica& replica = m_impl->replica;
    const bool adopted = replica.adopt(snapshot);
    const bool moved = !replica.isSearching() && replica.takeRecords(answer.first, answer.records);

    const std::lock_guard lock(m_impl->mutex);
    m_impl->setCurrent(replica.state());
    m_impl->snapshotOffset = replica.snapshotOffset();
    m_impl->judge.onPeer(
        ask->entry, ask->askedAt, { answer.next, milliseconds(answer.ageMs), answer.logAway });
    m_impl->heardRuns[ask->entry] = answer.run;
    if ((adopted || moved) && m_impl->current->nextOffset >= answer.next)
        m_impl->trust();
}

std::optional<log_record> fleet_follower::impl::epochWithoutSelf() const
{
    const membership_epoch& epoch = current->epoch;
    std::vector<std::string> members = epoch.members;
    if (!trusted || std::erase(members, settings.self) == 0)
        return std::nullopt;
    return epochOf(std::move(members));
}

void fleet_follower::leave()
{
    std::optional<log_record> record;
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->leaving = true;
        record = m_impl->epochWithoutSelf();
    }
    if (record)
        m_impl->appendQuietly(*record);
}

void fleet_follower::rejoin()
{
    std::optional<log_record> record;
    {
        const std::lock_guard lock(m_impl->mutex);
        if (!m_impl->leaving && !m_impl->judge.isLogAway(monotonicNow()))
            record = m_impl->epochWithoutSelf();
    }
    if (record)
        m_impl->appendQuietly(*record);
}

} // namespace sagesaddle
