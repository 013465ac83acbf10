#include "Support/fleet_records.h"

#include "Record/json_text.h"
#include "Record/object_json.h"

#include <nlohmann/json.hpp>

namespace sagesaddle::testing {

namespace {

constexpr std::uint32_t recordSchema = 1;

// JSON strings, numbers and booleans are valid TOML values, so that the fields are written as JSON.
template <typename Object> std::string formatTables(const std::vector<Object>& objects)
{
    std::string text;
    for (const Object& object : objects) {
        text.append("[[").append(nameOf(refOf(object).kind)).append("]]\n");
        const nlohmann::json fields = formatObject({ object, {} }, recordSchema);
        for (const auto& [name, value] : fields.items())
            text.append(name).append(" = ").append(value.dump()).append("\n");
    }
    return text;
}

} // namespace

void fleet_records::addTeam(const std::string& name, double rate, double burst)
{
    teams.push_back({ name, rate, burst });
    keys.push_back({ name + "-key", name, sha256Hex(secretOf(name)), false });
}

void fleet_records::withdrawKeys(const std::string& teamName)
{
    for (api_key& key : keys) {
        if (key.team == teamName)
            key.withdrawn = true;
    }
}

std::string secretOf(const std::string& teamName)
{
    return "secret-of-" + teamName;
}

std::string formatToml(const fleet_records& records)
{
    return "schema = " + std::to_string(recordSchema) + "\n" + formatTables(records.teams)
        + formatTables(records.keys) + formatTables(records.models) + formatTables(records.upstreams)
        + formatTables(records.routes) + formatTables(records.placements) + formatTables(records.entries);
}

} // namespace sagesaddle::testing
