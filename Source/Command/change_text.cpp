#include "Command/change_text.h"

#include "Record/field_reader.h"
#include "Record/object_table.h"

namespace sagesaddle {

namespace {

// Returns a line for each field that differs: `field: old -> new`.
std::string formatFields(const declared_object& before, const declared_object& after)
{
    const nlohmann::json oldFields = formatObject(before, newestSchema);
    const nlohmann::json newFields = formatObject(after, newestSchema);
    std::string text;
    for (const auto& [key, value] : newFields.items())
        if (!oldFields.contains(key) || oldFields.at(key) != value)
            text += "    " + key + ": " + oldFields.value(key, nlohmann::json()).dump() + " -> "
                + value.dump() + "\n";
    return text;
}

} // namespace

std::string formatChangeText(const fleet_state& state, const change_record& change)
{
    std::string text;
    for (const declared_object& object : change.put) {
        const object_ref ref = refOf(object.value);
        const auto declared = findObject(state, ref);
        text += (declared ? "~ " : "+ ") + formatRef(ref) + "\n";
        if (declared)
            text += formatFields(*declared, object);
    }
    for (const object_ref& ref : change.remove)
        text += "- " + formatRef(ref) + "\n";
    return text.empty() ? "no change\n" : text;
}

nlohmann::json formatChangeJson(const fleet_state& state, const change_record& change)
{
    nlohmann::json document { { "revision", state.revision }, { "add", nlohmann::json::array() },
        { "change", nlohmann::json::array() }, { "remove", nlohmann::json::array() } };
    for (const declared_object& object : change.put) {
        const object_ref ref = refOf(object.value);
        document[findObject(state, ref) ? "change" : "add"].push_back(formatRef(ref));
    }
    for (const object_ref& ref : change.remove)
        document["remove"].push_back(formatRef(ref));
    return document;
}

} // namespace sagesaddle
