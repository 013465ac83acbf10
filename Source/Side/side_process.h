#pragma once

#include "Side/side_settings.h"

#include <memory>

namespace sagesaddle {

/// \brief A side process: the only way to its upstream, with its frames, its queue and its admin pages.
class side_process {
public:
    /// Starts serving.
    /// \throws std::exception where an address cannot be used
    explicit side_process(const side_settings& settings);
    ~side_process();

    side_process(const side_process&) = delete;
    side_process& operator=(const side_process&) = delete;

    /// Refuses new requests, is not ready any more, and returns once every request taken has ended and
    /// its answer has been sent.
    void drain();

    /// \return where frames are accepted.
    address framesAddress() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
