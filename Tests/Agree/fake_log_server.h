#pragma once

#include "Agree/log_client.h"
#include "Fakes/fake_log.h"
#include "Serve/http_server.h"

#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief A stand-in log that listens on two addresses, so that it can be away for the readers of one.
class fake_log_server {
public:
    fake_log_server();

    const address& first() const { return m_first; }
    const address& second() const { return m_second; }

    /// Sets the stand-in's switches, given as JSON.
    void setFaults(const std::string& faults);

    /// Appends records to `config` by the first address.
    log_range append(const std::vector<std::string>& records);

    /// \return how many records `config` has taken.
    std::uint64_t end();

private:
    address m_first;
    address m_second;
    fake_log m_log;
    http_server m_firstServer;
    http_server m_secondServer;
};

/// \return a change record that puts teams and entries with these names.
std::string makeChangeText(const std::string& id, std::uint64_t baseRevision,
    const std::vector<std::string>& teams, const std::vector<std::string>& entries = {});

} // namespace sagesaddle::testing
