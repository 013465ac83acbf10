#pragma once

#include "Base/address.h"

#include <memory>
#include <string>

namespace sagesaddle {

/// \brief Terminates the TLS connections of callers and forwards their bytes to an HTTP listener without TLS
/// on this host.
///
/// Needed because CivetWeb's own TLS cannot be used on Debian 12; \see docs/design/http-client.md
class tls_terminator {
public:
    /// Starts to listen.
    /// \param listen address that callers connect to
    /// \param certificateFile PEM file with certificate chain and key
    /// \param target address of the HTTP listener without TLS
    /// \throws std::system_error if the address or the file cannot be used
    tls_terminator(const address& listen, const std::string& certificateFile, const address& target);

    /// Aborts all open connections.
    ~tls_terminator();

    tls_terminator(const tls_terminator&) = delete;
    tls_terminator& operator=(const tls_terminator&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
