#pragma once

#include "Agree/log_client.h"
#include "Fakes/fake_log.h"
#include "Serve/http_server.h"

#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief A fake_log served on two addresses, so that it can be unreachable for the clients of one of them.
class fake_log_server {
public:
    fake_log_server();

    const address& first() const { return m_first; }
    const address& second() const { return m_second; }

    /// Sets the faults that the log simulates, given as JSON.
    void setFaults(const std::string& faults);

    /// Appends records to the stream `config` through the first address.
    log_range append(const std::vector<std::string>& records);

    /// \return the offset after the last record of `config`.
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
