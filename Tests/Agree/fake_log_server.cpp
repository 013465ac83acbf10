#include "Agree/fake_log_server.h"

#include "Record/log_record.h"
#include "Serve/http_client.h"
#include "Support/free_port.h"

namespace sagesaddle::testing {

fake_log_server::fake_log_server()
    : m_first(freeAddress())
    , m_second(freeAddress())
    , m_firstServer({ .listen = m_first }, [this](http_call& call) { m_log.handle(call, m_first); })
    , m_secondServer({ .listen = m_second }, [this](http_call& call) { m_log.handle(call, m_second); })
{
}

void fake_log_server::setFaults(const std::string& faults)
{
    http_request request;
    request.method = "POST";
    request.server = m_first;
    request.target = "/admin/faults";
    request.body = faults;
    http_client().send(request);
}

log_range fake_log_server::append(const std::vector<std::string>& records)
{
    return log_client(m_first, seconds(2)).append("config", records);
}

std::uint64_t fake_log_server::end()
{
    log_client client(m_first, seconds(2));
    try {
        return client.read("config", 0, 1, milliseconds(0)).end;
    } catch (const log_error& error) {
        return client.read("config", error.earliestOffset(), 1, milliseconds(0)).end;
    }
}

std::string makeChangeText(const std::string& id, std::uint64_t baseRevision,
    const std::vector<std::string>& teams, const std::vector<std::string>& entries)
{
    change_record change { baseRevision, "ann", {}, {} };
    for (const std::string& name : teams)
        change.put.push_back({ team { name, 1, 1 }, {} });
    for (const std::string& name : entries)
        change.put.push_back({ entry_config { name, "r", "z", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, {} });
    return formatRecord({ id, 2, change });
}

} // namespace sagesaddle::testing
