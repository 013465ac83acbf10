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

constexpr std::uint32_t readLimit = 500;
constexpr milliseconds readWait { 500 };
constexpr milliseconds logTimeout { 500 };
constexpr milliseconds retryPause { 100 };
constexpr milliseconds tick { 50 };
constexpr milliseconds writerTick { 200 };
constexpr milliseconds askLifetime { 5000 };
constexpr std::size_t mostTailBytes = 256 * 1024;

monotonic_time currentTime()
{
    return std::chrono::steady_clock::now();
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
    bool readOnce();
    void onBatch(monotonic_time askedAt, const log_batch& batch);
    void peerLoop();
    void publishNew();
    void askPeers();
    std::vector<std::pair<std::string, tail_ask>> takeAsks(monotonic_time now);
    std::vector<std::string> peerNames() const;
    void writeLoop();
    std::optional<log_record> dueSnapshot(monotonic_time now);
    std::optional<log_record> dueEpoch(monotonic_time now);
    void appendQuietly(const log_record& record);
    membership_watch::heard_times heardTimes() const;
    bool pause(milliseconds span);
    void trust();

    const options settings;
    const send_to_peer send;
    const std::function<void(fleet_state_ptr)> onChange;
    log_client log;

    // Guards all that follows; nothing is called or sent while it is held.
    mutable std::mutex mutex;
    std::condition_variable woken;
    bool stopping { false };
    bool leaving { false };
    bool trusted { false };
    std::uint64_t earliest { 0 };
    std::uint64_t lastAskId { 0 };
    std::map<std::uint64_t, sent_ask> asks;
    state_replica replica;
    freshness_judge judge;
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
    , judge(settings.self, settings.freshFor)
    , snapshots(settings.self)
    , membership({ .self = settings.self }, currentTime())
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
        if (!readOnce())
            pause(retryPause);
}

// Reads one batch; false where nothing came, so that the next read may wait a moment.
bool fleet_follower::impl::readOnce()
{
    std::uint64_t from = 0;
    {
        const std::lock_guard lock(mutex);
        from = replica.readFrom();
    }
    const monotonic_time askedAt = currentTime();
    try {
        const log_batch batch = log.read(settings.stream, from, readLimit, readWait);
        onBatch(askedAt, batch);
        return !batch.records.empty() || currentTime() - askedAt >= readWait;
    } catch (const log_error& error) {
        const std::lock_guard lock(mutex);
        if (error.failure() == log_failure::Lapsed)
            replica.startSearch(error.earliest());
        else
            judge.onLogFailure();
    }
    return false;
}

void fleet_follower::impl::onBatch(monotonic_time askedAt, const log_batch& batch)
{
    const std::lock_guard lock(mutex);
    replica.takeRecords(batch.first, batch.records);
    earliest = batch.earliest;
    if (batch.next != batch.end || replica.isSearching())
        return;
    judge.onLogRead(askedAt);
    trust();
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
        if (!trusted || announced == replica.state())
            return;
        announced = replica.state();
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
    for (const auto& [name, entry] : replica.state()->entries)
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
        result.emplace_back(peer, tail_ask { lastAskId, replica.state()->nextOffset });
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
        state = replica.state();
        const bool mayWrite
            = trusted && !leaving && !judge.isLogAway(now) && state->entries.contains(settings.self);
        if (!mayWrite
            || !snapshots.isDue(now, replica.snapshotOffset(), state->nextOffset, earliest, state->entries))
            return std::nullopt;
    }
    return log_record { makeRecordId(), newestRecordSchema, snapshot_record { state } };
}

membership_watch::heard_times fleet_follower::impl::heardTimes() const
{
    membership_watch::heard_times heard;
    for (const auto& [name, entry] : replica.state()->entries)
        if (const auto at = judge.lastHeard(name))
            heard.emplace(name, *at);
    return heard;
}

std::optional<log_record> fleet_follower::impl::dueEpoch(monotonic_time now)
{
    const std::lock_guard lock(mutex);
    if (!trusted || leaving || judge.isLogAway(now))
        return std::nullopt;
    const fleet_state& state = *replica.state();
    auto members = membership.proposal(now, state, heardTimes());
    if (!members)
        return std::nullopt;
    return log_record { makeRecordId(), newestRecordSchema,
        epoch_record { state.epoch.number, std::move(*members) } };
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
    return m_impl->trusted ? m_impl->replica.state() : nullptr;
}

freshness fleet_follower::freshnessAt(monotonic_time now) const
{
    const std::lock_guard lock(m_impl->mutex);
    const fleet_state& state = *m_impl->replica.state();
    freshness result = m_impl->judge.judge(now, state.nextOffset, state.entries);
    result.fresh = result.fresh && m_impl->trusted;
    return result;
}

tail_answer fleet_follower::answerTail(const tail_ask& ask) const
{
    tail_answer answer;
    fleet_state_ptr snapshot;
    {
        const std::lock_guard lock(m_impl->mutex);
        const monotonic_time now = currentTime();
        const state_replica& replica = m_impl->replica;
        answer.id = m_impl->leaving ? 0 : ask.id;
        answer.ageMs = ageMs(m_impl->judge.lastRead(), now);
        answer.logAway = m_impl->judge.isLogAway(now);
        if (!m_impl->trusted)
            return answer;
        answer.next = replica.state()->nextOffset;
        answer.first = std::min(ask.from, answer.next);
        if (replica.holdsFrom(answer.first)) {
            answer.records = replica.recordsFrom(answer.first, mostTailBytes);
            return answer;
        }
        answer.first = answer.next;
        snapshot = replica.state();
    }
    answer.snapshot = formatStateJson(*snapshot).dump();
    return answer;
}

void fleet_follower::onTail(const std::string&, const tail_answer& answer)
{
    const fleet_state_ptr snapshot = parseSnapshot(answer.snapshot);
    const std::lock_guard lock(m_impl->mutex);
    const auto ask = m_impl->asks.find(answer.id);
    if (ask == m_impl->asks.end())
        return;
    const sent_ask sent = ask->second;
    m_impl->asks.erase(ask);
    const bool adopted = m_impl->replica.adopt(snapshot);
    const bool moved
        = !m_impl->replica.isSearching() && m_impl->replica.takeRecords(answer.first, answer.records);
    m_impl->judge.onPeer(
        sent.entry, sent.askedAt, { answer.next, milliseconds(answer.ageMs), answer.logAway });
    if (adopted || moved)
        m_impl->trust();
}

void fleet_follower::leave()
{
    std::optional<log_record> record;
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->leaving = true;
        const membership_epoch& epoch = m_impl->replica.state()->epoch;
        epoch_record next { epoch.number, epoch.members };
        std::erase(next.members, m_impl->settings.self);
        if (m_impl->trusted && !next.members.empty() && next.members != epoch.members)
            record = log_record { makeRecordId(), newestRecordSchema, std::move(next) };
    }
    if (record)
        m_impl->appendQuietly(*record);
}

} // namespace sagesaddle
