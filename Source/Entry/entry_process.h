#pragma once

#include "Entry/entry_settings.h"

#include <memory>

namespace sagesaddle {

/// \brief An entry process: creates its parts and connects them.
///
/// No part holds its lock while it calls another one, except in the lock orders documented in
/// side_connections and exchange_table.
class entry_process {
public:
    /// Starts serving.
    /// \throws std::exception if an address or a file cannot be used; the message names it
    explicit entry_process(const entry_settings& settings);

    /// Stops at once and breaks off running requests; call drain() first to avoid that.
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Shuts down gracefully and blocks until that is done: reports not ready, rejects new requests after the
    /// drain delay, then waits for running requests, at most for the drain timeout, and leaves the membership
    /// epoch.
    void drain();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
