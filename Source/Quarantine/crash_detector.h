#pragma once

#include "Quarantine/upstream_crash.h"

#include <map>
#include <optional>

namespace sagesaddle {

/// \brief Tells the crash of an upstream from the end of a single connection. No I/O and no clock; not
/// thread-safe.
///
/// A connection also breaks where an upstream cuts one answer short, or where the path to it is reset. A
/// broken connection is taken for a crash only if the upstream neither sends anything nor accepts a
/// connection for a while after it.
class crash_detector {
public:
    /// Notes that a connection broke before the answer to a request was complete.
    /// \param parts ids for the quarantine of the request's prompt, see prompt_id.h; empty if its answer
    /// began long before
    void onConnectionBroken(
        const upstream_process& process, const std::vector<std::uint64_t>& parts, monotonic_time now);
    /// Notes that an upstream sent something.
    void onActivity(const std::string& upstream, monotonic_time now);
    /// Notes that an upstream accepted a connection, which was opened after one broke.
    void onConnectionAccepted(const std::string& upstream) { m_suspected.erase(upstream); }

    /// \return the crashes that are certain by now, each once.
    std::vector<upstream_crash> takeCrashes(monotonic_time now);
    /// \return when takeCrashes() may return the next crash; nothing if no connection broke.
    std::optional<monotonic_time> nextDueAt() const;

private:
    /// By upstream.
    std::map<std::string, upstream_crash> m_suspected;
};

} // namespace sagesaddle
