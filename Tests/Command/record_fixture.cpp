#include "Command/record_fixture.h"

#include "Record/json_text.h"
#include "Record/log_record.h"

#include <fstream>

namespace sagesaddle::testing {

record_fixture::record_fixture()
    : m_path(std::filesystem::temp_directory_path() / ("sagesaddle-records-" + makeRecordId()))
{
    std::filesystem::create_directory(m_path);
}

record_fixture::~record_fixture()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

void record_fixture::write(const std::string& text) const
{
    std::ofstream(m_path / "fleet.toml") << text;
}

apply_request record_fixture::applyTo(const address& log, const std::string& operatorName) const
{
    return { path(), log, operatorName, {}, {} };
}

std::string teamFile(const std::string& name)
{
    return "schema = 1\n[[team]]\nname = \"" + name
        + "\"\nrate_tokens_per_s = 1\nburst_tokens = 1\n[[key]]\nid = \"" + name + "-1\"\nteam = \"" + name
        + "\"\nsecret_sha256 = \"" + sha256Hex(name) + "\"\n";
}

} // namespace sagesaddle::testing
