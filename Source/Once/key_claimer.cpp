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

// Time between two reads of the stream while no claim or release waits.
constexpr milliseconds readInterval { 500 };
// Time until a failed append or read is tried again.
constexpr milliseconds retryPause { 50 };
constexpr std::uint32_t recordsPerBatch = 1000;
// Number of claims in the stream after which the next snapshot is appended.
constexpr std::size_t maxClaimsSinceSnapshot = 5000;

std::uint64_t wallTimeMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace

// A worker thread appends the records and reads them back; callers wait for it. `mutex` is the only lock and
// is never held while the log is called.
struct key_claimer::impl {
    struct pending_claim {
        key_claim claim;
        bool appended { false };
        std::optional<claim_outcome> outcome;
    };

    impl(log_client& logClient, const std::string& service, std::string selfName)
        : log(logClient)
        , stream("claims." + service)
        , self(std::move(selfName))
        , worker([this] { runWorker(); })
    {
    }

    void runWorker();
    bool appendAndRead();
    bool ensureReader();
    void resetReader();
    void readUpTo(std::uint64_t until);
    void handleFolded(const std::vector<folded_claim>& folded);
    void decide(const key_claim& claim, claim_effect effect);
    std::vector<std::string> buildBatch();
    void markAppended();
    void appendSnapshotIfDue();
    bool isOwn(const key_claim& claim) const { return claim.id.starts_with(self + "/"); }
    bool hasWork() const { return stopping || !releases.empty() || hasUnappended(); }
    bool hasUnappended() const;
    bool isComplete() const { return reader && reader->isComplete(); }

    log_client& log;
    const std::string stream;
    const std::string self;

    mutable std::mutex mutex;
    std::condition_variable wakeWorker;
    std::condition_variable wakeCallers;
    bool stopping { false };
    std::uint64_t claimCount { 0 };
    std::optional<claim_reader> reader;
    // Claims that callers wait for, by id.
    std::map<std::string, pending_claim> pending;
    std::deque<claim_release> releases;
    // Contents of the batch that the worker is appending.
    std::vector<claim_release> releasesInBatch;
    std::vector<std::string> claimsInBatch;
    // Whether the stream lacks a snapshot that a new reader could start from. Used by the worker only.
    bool isSnapshotMissing { false };

    std::thread worker;
};

bool key_claimer::impl::hasUnappended() const
{
    for (const auto& [id, pendingClaim] : pending) {
        if (!pendingClaim.appended)
            return true;
    }
    return false;
}

void key_claimer::impl::runWorker()
{
    std::unique_lock lock(mutex);
    while (!stopping) {
        lock.unlock();
        const bool succeeded = appendAndRead();
        lock.lock();
        if (!succeeded)
            wakeWorker.wait_for(lock, retryPause, [this] { return stopping; });
        else
            wakeWorker.wait_for(lock, readInterval, [this] { return hasWork(); });
    }
    const bool hasUnappendedReleases = !releases.empty();
    lock.unlock();
    if (hasUnappendedReleases)
        appendAndRead();
}

// Appends the pending records and reads the stream to its end. Returns false where the log failed; to be
// retried.
bool key_claimer::impl::appendAndRead()
{
    try {
        if (!ensureReader())
            return false;
        const std::vector<std::string> batch = buildBatch();
        std::uint64_t until = 0;
        if (!batch.empty()) {
            until = log.append(stream, batch).next;
            markAppended();
        }
        readUpTo(until);
        appendSnapshotIfDue();
        return true;
    } catch (const log_error& error) {
        if (error.failure() == log_failure::Lapsed)
            resetReader();
        return false;
    }
}

// Creates the reader at the first offset that the log still has, unless there is one.
bool key_claimer::impl::ensureReader()
{
    {
        const std::lock_guard lock(mutex);
        if (reader)
            return true;
    }
    std::uint64_t earliestOffset = 0;
    try {
        earliestOffset = log.read(stream, 0, 1, milliseconds(0)).earliest;
    } catch (const log_error& error) {
        if (error.failure() != log_failure::Lapsed)
            throw;
        earliestOffset = error.earliestOffset();
    }
    const std::lock_guard lock(mutex);
    reader.emplace(claimCapacity, earliestOffset);
    wakeCallers.notify_all();
    return true;
}

// Discards the reader, since records lapsed before they were read. Pending claims cannot be decided any more
// and become void.
void key_claimer::impl::resetReader()
{
    const std::lock_guard lock(mutex);
    reader.reset();
    for (auto& [id, pendingClaim] : pending) {
        if (!pendingClaim.outcome)
            pendingClaim.outcome = claim_outcome::Unavailable;
    }
    wakeCallers.notify_all();
}

// Reads the stream to its end, and at least up to the offset `until`.
void key_claimer::impl::readUpTo(std::uint64_t until)
{
    while (true) {
        const log_batch batch = log.read(stream, reader->nextOffset(), recordsPerBatch, milliseconds(0));
        const std::lock_guard lock(mutex);
        for (const std::string& text : batch.records)
            handleFolded(reader->read(text));
        const std::uint64_t target = std::max(until, batch.end);
        if (reader->nextOffset() < target && !batch.records.empty())
            continue;
        if (!reader->isComplete()) {
            handleFolded(reader->startWithoutSnapshot(wallTimeMs()));
            isSnapshotMissing = true;
        }
        return;
    }
}

void key_claimer::impl::handleFolded(const std::vector<folded_claim>& folded)
{
    for (const folded_claim& element : folded) {
        if (const auto* value = std::get_if<key_claim>(&element.record))
            decide(*value, element.effect);
    }
    wakeCallers.notify_all();
}

// Sets the outcome of a claim of this process that was read back.
void key_claimer::impl::decide(const key_claim& claim, claim_effect effect)
{
    if (!isOwn(claim))
        return;
    const auto found = pending.find(claim.id);
    if (found != pending.end() && !found->second.outcome) {
        found->second.outcome = effect == claim_effect::Won ? claim_outcome::Granted : claim_outcome::Taken;
        return;
    }
    // No caller waits for this claim: it was given up on, or appended a second time after its release. It
    // must not hold the key.
    if (effect == claim_effect::Won)
        releases.push_back({ claim.id, claim.keyHash });
}

// Returns the claims and releases to append; none before the claims in the log are known.
std::vector<std::string> key_claimer::impl::buildBatch()
{
    const std::lock_guard lock(mutex);
    std::vector<std::string> batch;
    if (!reader->isComplete())
        return batch;
    claimsInBatch.clear();
    for (const auto& [id, pendingClaim] : pending) {
        if (pendingClaim.appended || pendingClaim.outcome)
            continue;
        batch.push_back(formatClaimRecord(pendingClaim.claim));
        claimsInBatch.push_back(id);
    }
    releasesInBatch.assign(releases.begin(), releases.end());
    for (const claim_release& value : releasesInBatch)
        batch.push_back(formatClaimRecord(value));
    return batch;
}

void key_claimer::impl::markAppended()
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

void key_claimer::impl::appendSnapshotIfDue()
{
    std::vector<std::string> records;
    {
        const std::lock_guard lock(mutex);
        if (!isSnapshotMissing && reader->claimsSinceSnapshot() < maxClaimsSinceSnapshot)
            return;
        for (const claim_snapshot_part& part : reader->table().snapshot())
            records.push_back(formatClaimRecord(part));
    }
    log.append(stream, records);
    isSnapshotMissing = false;
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
    const auto canDecide = [this] { return m_impl->stopping || m_impl->isComplete(); };
    if (!m_impl->wakeCallers.wait_until(lock, deadline, canDecide) || m_impl->stopping)
        return {};
    const claim_table& table = m_impl->reader->table();
    if (table.claimIdOf(keyHash))
        return { claim_outcome::Taken, {}, keyHash };
    if (isKeyTooOld(key, nowMs, table.forgottenThroughMs()))
        return { claim_outcome::TooOld, {}, keyHash };

    const std::string id = m_impl->self + "/" + std::to_string(++m_impl->claimCount);
    impl::pending_claim& pendingClaim = m_impl->pending[id];
    pendingClaim.claim = { id, keyHash, nowMs };
    m_impl->wakeWorker.notify_one();
    m_impl->wakeCallers.wait_until(
        lock, deadline, [&] { return m_impl->stopping || pendingClaim.outcome.has_value(); });
    const claim_outcome outcome = pendingClaim.outcome.value_or(claim_outcome::Unavailable);
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
    return m_impl->isComplete();
}

} // namespace sagesaddle
