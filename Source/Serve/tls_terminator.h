#pragma once

#include "Base/address.h"

#include <memory>
#include <string>

namespace sagesaddle {

/// \brief Ends callers' TLS connections and passes their bytes on to a plain listener of this host.
///
/// CivetWeb's own TLS cannot be used on Debian 12; \see docs/design/http-client.md
class tls_terminator {
public:
    /// \param certificateFile PEM file with certificate chain and key
    /// \param target plain listener that speaks HTTP
    /// \throws std::system_error where it cannot listen there or the file cannot be used
    tls_terminator(const address& listen, const std::string& certificateFile, const address& target);

    /// Breaks off the connections that stand.
    ~tls_terminator();

    tls_terminator(const tls_terminator&) = delete;
    tls_terminator& operator=(const tls_terminator&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
