#pragma once

#include "Entry/entry_settings.h"

#include <memory>

namespace sagesaddle {

/// \brief An entry process: all its parts, wired up.
///
/// Locks of the parts are never held while another part is called, but for the orders stated in
/// side_connections and exchange_table.
class entry_process {
public:
    /// Starts serving.
    /// \throws std::exception naming the address or file that cannot be used
    explicit entry_process(const entry_settings& settings);

    /// Stops at once; call drain() before to cut no request.
    ~entry_process();

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Gets ready to leave: not ready first, then refusing, then waiting for the running requests.
    void drain();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
