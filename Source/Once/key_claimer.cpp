#include "Once/key_claimer.h"

#include "Agree/log_client.h"
#include "Once/claim_reader.h"
#include "Once/claim_rules.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace sagesaddle {

namespace {

constexpr milliseconds followInterval { 500 };
constexpr milliseconds retryPause { 50 };
constexpr std::uint32_t readLimit = 1000;
constexpr std::size_t claimsPerSnapshot = 5000;

std::uint64_t wallTimeMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace

// One thread appends and reads; callers wait for it. Lock order: there is only m_mutex, and it is not
// held while the log is called.
struct key_claimer::impl {
    struct pending_claim {
        key_claim wanted;
        bool appended { false };
        std::optional<claim_outcome> outcome;
    };

    impl(log_client& logClient, const std::string& service, std::string selfName)
        : log(logClient)
        , stream("claims." + service)
        , self(std::move(selfName))
        , worker([this] { work(); })
    {
    }

    void work();
    bool takeStep();
    bool startReading();
    void startOver();
    void catchUp(std::uint64_t until);
    void takeIn(const std::vector<folded_claim>& folded);
    void settle(const key_claim& value, claim_effect effect);
    std::vector<std::string> takeBatch();
    void noteAppended();
    void maybeSnapshot();
    bool isOwn(const key_claim& value) const { return value.id.starts_with(self + "/"); }
    bool hasWork() const { return stopping || !releases.empty() || hasUnappended(); }
    bool hasUnappended() const;
    bool isWhole() const { return reader && reader->isWhole(); }

    log_client& log;
    const std::string stream;
    const std::string self;

    mutable std::mutex mutex;
    std::condition_variable wakeWorker;
    std::condition_variable wakeCallers;
    bool stopping { false };
    std::uint64_t claimCount { 0 };
    std::optional<claim_reader> reader;
    // By claim id, in the order of the claims.
    std::map<std::string, pending_claim> pending;
    std::deque<claim_release> releases;
    std::vector<claim_release> releasesInBatch;
    std::vector<std::string> claimsInBatch;
    // Only the worker uses it: the stream lacks a snapshot that a new reader could start from.
    bool snapshotDue { false };

    std::thread worker;
};

bool key_claimer::impl::hasUnappended() const
{
    for (const auto& [id, entry] : pending) {
        if (!entry.appended)
            return true;
    }
    return false;
}

void key_claimer::impl::work()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        lock.unlock();
        const bool succeeded = takeStep();
        lock.lock();
        if (!succeeded)
            wakeWorker.wait_for(lock, retryPause, [this] { return stopping; });
        else
            wakeWorker.wait_for(lock, followInterval, [this] { return hasWork(); });
    }
    const bool owesReleases = !releases.empty();
    lock.unlock();
    if (owesReleases)
        takeStep();
}

bool key_claimer::impl::takeStep()
{
    try {
        if (!startReading())
            return false;
        const std::vector<std::string> batch = takeBatch();
        std::uint64_t until = 0;
        if (!batch.empty()) {
            until = log.append(stream, batch).next;
            noteAppended();
        }
        catchUp(until);
        maybeSnapshot();
        return true;
    } catch (const log_error& error) {
        if (error.failure() == log_failure::Lapsed)
            startOver();
        return false;
    }
}

bool key_claimer::impl::startReading()
{
    {
        const std::lock_guard lock(mutex);
        if (reader)
            return true;
    }
    std::uint64_t earliest = 0;
    try {
        earliest = log.read(stream, 0, 1, milliseconds(0)).earliest;
    } catch (const log_error& error) {
        if (error.failure() != log_failure::Lapsed)
            throw;
        earliest = error.earliest();
    }
    const std::lock_guard lock(mutex);
    reader.emplace(claimCapacity, earliest);
    wakeCallers.notify_all();
    return true;
}

// Records lapsed before they were read: what is pending cannot be decided any more, and is void.
void key_claimer::impl::startOver()
{
    const std::lock_guard lock(mutex);
    reader.reset();
    for (auto& [id, entry] : pending) {
        if (!entry.outcome)
            entry.outcome = claim_outcome::Unavailable;
    }
    wakeCallers.notify_all();
}

void key_claimer::impl::catchUp(std::uint64_t until)
{
    while (true) {
        const log_batch batch = log.read(stream, reader->nextOffset(), readLimit, milliseconds(0));
        const std::lock_guard lock(mutex);
        for (const std::string& text : batch.records)
            takeIn(reader->read(text));
        const std::uint64_t target = std::max(until, batch.end);
        if (reader->nextOffset() < target && !batch.records.empty())
            continue;
        if (!reader->isWhole()) {
            takeIn(reader->acceptLoss(wallTimeMs()));
            snapshotDue = true;
        }
        return;
    }
}

void key_claimer::impl::takeIn(const std::vector<folded_claim>& folded)
{
    for (const folded_claim& element : folded) {
        if (const auto* value = std::get_if<key_claim>(&element.record))
            settle(*value, element.effect);
    }
    wakeCallers.notify_all();
}

void key_claimer::impl::settle(const key_claim& value, claim_effect effect)
{
    if (!isOwn(value))
        return;
    const auto found = pending.find(value.id);
    if (found != pending.end() && !found->second.outcome) {
        found->second.outcome = effect == claim_effect::Won ? claim_outcome::Granted : claim_outcome::Taken;
        return;
    }
    // A claim that was given up on, or appended a second time after its release, must not hold the key.
    if (effect == claim_effect::Won)
        releases.push_back({ value.id, value.keyHash });
}

std::vector<std::string> key_claimer::impl::takeBatch()
{
    const std::lock_guard lock(mutex);
    std::vector<std::string> batch;
    if (!reader->isWhole())
        return batch;
    claimsInBatch.clear();
    for (const auto& [id, entry] : pending) {
        if (entry.appended || entry.outcome)
            continue;
        batch.push_back(formatClaimRecord(entry.wanted));
        claimsInBatch.push_back(id);
    }
    releasesInBatch.assign(releases.begin(), releases.end());
    for (const claim_release& value : releasesInBatch)
        batch.push_back(formatClaimRecord(value));
    return batch;
}

void key_claimer::impl::noteAppended()
{
    const std::lock_guard lock(mutex);
    for (const std::string& id : claimsInBatch) {
        const auto found = pending.find(id);
        if (found != pending.end())
            found->second.appended = true;
    }
    releases.erase(releases.begin(), releases.begin() + static_cast<std::ptrdiff_t>(releasesInBatch.size()));
    releasesInBatch.clear();
}

void key_claimer::impl::maybeSnapshot()
{
    std::vector<std::string> records;
    {
        const std::lock_guard lock(mutex);
        if (!snapshotDue && reader->claimsSinceSnapshot() < claimsPerSnapshot)
            return;
        for (const claim_snapshot_part& part : reader->book().snapshot())
            records.push_back(formatClaimRecord(part));
    }
    log.append(stream, records);
    snapshotDue = false;
}

key_claimer::key_claimer(log_client& log, const std::string& service, std::string self)
    : m_impl(std::make_unique<impl>(log, service, std::move(self)))
{
}

key_claimer::~key_claimer()
{
    {
        const std::lock_guard lock(m_impl->mutex);
        m_impl->stopping = true;
    }
    m_impl->wakeWorker.notify_all();
    m_impl->wakeCallers.notify_all();
    m_impl->worker.join();
}

claim_result key_claimer::claim(const std::string& team, const std::string& key, monotonic_time deadline)
{
    const std::string keyHash = hashClaimKey(team, key);
    const std::uint64_t nowMs = wallTimeMs();
    std::unique_lock lock(m_impl->mutex);
    const auto canDecide = [this] { return m_impl->stopping || m_impl->isWhole(); };
    if (!m_impl->wakeCallers.wait_until(lock, deadline, canDecide) || m_impl->stopping)
        return {};
    const claim_table& book = m_impl->reader->book();
    if (book.holder(keyHash))
        return { claim_outcome::Taken, {}, keyHash };
    if (isKeyTooOld(key, nowMs, book.forgottenThroughMs()))
        return { claim_outcome::TooOld, {}, keyHash };

    const std::string id = m_impl->self + "/" + std::to_string(++m_impl->claimCount);
    impl::pending_claim& entry = m_impl->pending[id];
    entry.wanted = { id, keyHash, nowMs };
    m_impl->wakeWorker.notify_one();
    m_impl->wakeCallers.wait_until(
        lock, deadline, [&] { return m_impl->stopping || entry.outcome.has_value(); });
    const claim_outcome outcome = entry.outcome.value_or(claim_outcome::Unavailable);
    m_impl->pending.erase(id);
    if (outcome != claim_outcome::Granted)
        return { outcome, {}, keyHash };
    return { outcome, id, keyHash };
}

void key_claimer::release(const claim_result& granted)
{
    if (granted.outcome != claim_outcome::Granted)
        return;
    const std::lock_guard lock(m_impl->mutex);
    m_impl->releases.push_back({ granted.claimId, granted.keyHash });
    m_impl->wakeWorker.notify_one();
}

bool key_claimer::isReady() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->isWhole();
}

} // namespace sagesaddle
