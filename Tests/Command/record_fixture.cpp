#include "Command/record_fixture.h"

#include "Support/fleet_records.h"

namespace sagesaddle::testing {

record_fixture::record_fixture(const std::string& text)
{
    write(text);
}

void record_fixture::write(const std::string& text) const
{
    writeFile(m_folder.path() / "fleet.toml", text);
}

apply_request record_fixture::makeApplyRequest(const address& log, const std::string& operatorName) const
{
    return { path(), log, operatorName, {}, {} };
}

std::string teamFile(const std::string& name)
{
    fleet_records records;
    records.addTeam(name, 1, 1);
    return formatToml(records);
}

} // namespace sagesaddle::testing
