#pragma once

#include "Side/side_settings.h"

#include <memory>

namespace sagesaddle {

/// \brief A side process: runs beside one upstream and passes all requests of the entries to it.
///
/// It is the only way to the upstream. It accepts connections of the entries, queues their requests, loads
/// and unloads models if the upstream is an engine, and serves admin pages.
class side_process {
public:
    /// Starts serving. Requests are refused until an entry has sent a view of the records.
    /// \throws std::exception if a configured address cannot be listened on
    explicit side_process(const side_settings& settings);
    ~side_process();

    side_process(const side_process&) = delete;
    side_process& operator=(const side_process&) = delete;

    /// Refuses new requests and reports not ready, then waits until each request received has ended and its
    /// answer has been sent. Takes at least 500 ms, so that the entries learn of it.
    void drain();

    /// \return the address on which the process listens for connections of the entries.
    address framesAddress() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
