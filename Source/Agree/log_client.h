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

/// Records asked for in one read: at some kilobytes each a batch stays well under the log's longest answer.
inline constexpr std::uint32_t recordsPerRead = 500;

/// \brief Why a call to the log failed.
enum class log_failure {
    /// No answer, or the log says that it is away.
    Away,
    /// More appends a second than the log takes.
    Throttled,
    /// The records asked for have lapsed.
    Lapsed,
    /// An answer that makes no sense.
    Malformed,
};

/// \brief A call to the log that gave no result.
class log_error : public std::runtime_error {
public:
    log_error(const std::string& what, log_failure failure, verdict ran, std::uint64_t earliestOffset = 0);

    log_failure failure() const { return m_failure; }

    /// Whether an append may have taken effect.
    verdict ran() const { return m_verdict; }

    /// First offset that the log still has, where the failure is Lapsed.
    std::uint64_t earliest() const { return m_earliest; }

private:
    log_failure m_failure;
    verdict m_verdict;
    std::uint64_t m_earliest;
};

/// \brief The offsets that an append took: `first` up to, not including, `next`.
struct log_range {
    std::uint64_t first { 0 };
    std::uint64_t next { 0 };

    auto operator<=>(const log_range&) const = default;
};

/// \brief Records read from a stream, the first at offset `first`.
struct log_batch {
    std::uint64_t first { 0 };
    std::uint64_t next { 0 };
    std::uint64_t end { 0 };
    std::uint64_t earliest { 0 };
    std::vector<std::string> records;

    auto operator<=>(const log_batch&) const = default;
};

/// \brief The platform's append-only log; safe from any thread.
class log_client {
public:
    /// \param server where the log service listens
    /// \param timeout for one call, beyond the wait that a read asks for
    log_client(address server, milliseconds timeout);
    ~log_client();

    log_client(const log_client&) = delete;
    log_client& operator=(const log_client&) = delete;

    /// Appends all records in order, or none.
    /// \throws log_error; where ran() is MayHaveRun the same records may be appended again, since a
    ///         repeated record id counts once
    log_range append(const std::string& stream, const std::vector<std::string>& records);

    /// Reads from an offset on.
    /// \param wait how long the log may wait for a record where there is none yet
    /// \throws log_error
    log_batch read(const std::string& stream, std::uint64_t from, std::uint32_t limit, milliseconds wait);

    /// Makes running and later calls fail as away, so that the threads in them come back at once.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
