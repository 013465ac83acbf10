#include "Fakes/fake_hosts.h"

#include "Fakes/fake_program.h"

namespace sagesaddle::testing {

fake_hosts::fake_hosts()
    : m_versions { { monotonic_time::min(), nlohmann::json::array() } }
{
}

void fake_hosts::handle(http_call& call)
{
    const std::string path = call.path();
    if (path == "/v1/hosts")
        return respondJson(call, 200, { { "hosts", visibleHosts() } });
    const bool isList = path == "/admin/hosts";
    if (!isList && path != "/admin/faults")
        return respondJson(call, 404, { { "error", "no such path: " + path } });
    const nlohmann::json document = readJson(call);
    {
        const std::lock_guard lock(m_mutex);
        if (isList)
            m_versions.push_back({ monotonicNow(), document.at("hosts") });
        setIfPresent(document, "lag_ms", m_lagMs);
        setIfPresent(document, "repeat_old_ms", m_repeatOldMs);
    }
    respondJson(call, 200, nlohmann::json::object());
}

nlohmann::json fake_hosts::visibleHosts()
{
    const std::lock_guard lock(m_mutex);
    const auto asOf = monotonicNow() - milliseconds(m_lagMs);
    std::size_t index = m_versions.size() - 1;
    while (m_versions[index].since > asOf)
        --index;
    // The states alternate by time and not by the number of reads: however the requests of several readers
    // interleave, a reader that asks in every span sees both states.
    if (m_repeatOldMs > 0 && index > 0) {
        const auto age = monotonicNow() - m_versions[index].since;
        if (age / milliseconds(m_repeatOldMs) % 2 == 0)
            --index;
    }
    return m_versions[index].hosts;
}

} // namespace sagesaddle::testing
