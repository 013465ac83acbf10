#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Base/verdict.h"

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace sagesaddle {

/// Maximum records of one read; at a few kilobytes each, an answer stays well below the log's size limit.
inline constexpr std::uint32_t recordsPerRead = 500;

/// \brief Why a call to the log failed.
enum class log_failure {
    /// No answer, or the log answered that it is unavailable.
    Unreachable,
    /// More appends a second than the log allows.
    Throttled,
    /// The log no longer has the requested records.
    Lapsed,
    /// The answer has an unexpected status or content.
    Malformed,
};

/// \brief A failed call to the log.
class log_error : public std::runtime_error {
public:
    log_error(const std::string& what, log_failure failure, verdict ran, std::uint64_t earliestOffset = 0);

    log_failure failure() const { return m_failure; }

    /// \return whether an append may have taken effect.
    verdict ran() const { return m_verdict; }

    /// \return the first offset that the log still has, where the failure is Lapsed; 0 otherwise.
    std::uint64_t earliestOffset() const { return m_earliestOffset; }

private:
    log_failure m_failure;
    verdict m_verdict;
    std::uint64_t m_earliestOffset;
};

/// \brief The offsets of appended records: from `first` up to, not including, `next`.
struct log_range {
    std::uint64_t first { 0 };
    std::uint64_t next { 0 };

    auto operator<=>(const log_range&) const = default;
};

/// \brief Records read from a stream.
struct log_batch {
    /// Offset of the first record.
    std::uint64_t first { 0 };
    /// Offset after the last record.
    std::uint64_t next { 0 };
    /// Offset of the next record to be appended to the stream.
    std::uint64_t end { 0 };
    /// First offset that the log still has.
    std::uint64_t earliest { 0 };
    std::vector<std::string> records;

    auto operator<=>(const log_batch&) const = default;
};

/// \brief Client of the platform's append-only log; thread-safe.
class log_client {
public:
    /// \param server where the log service listens
    /// \param timeout for one call, in addition to the wait of a read
    log_client(address server, milliseconds timeout);
    ~log_client();

    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;

    /// Appends all records in order, or none.
    /// \throws log_error; where ran() is MayHaveRun the same records may be appended again, since a
    ///         repeated record id counts once
    log_range append(const std::string& stream, const std::vector<std::string>& records);

    /// Reads up to `limit` records from the offset `from` on.
    /// \param wait how long the log may wait for a record where there is none yet
    /// \return the records; none where the stream does not exist
    /// \throws log_error
    log_batch read(const std::string& stream, std::uint64_t from, std::uint32_t limit, milliseconds wait);

    /// Makes running and later calls fail as Unreachable, so that the threads in them return at once.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
