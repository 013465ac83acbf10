#include "Record/side_view.h"

#include "Record/field_reader.h"
#include "Record/json_text.h"
#include "Record/object_json.h"
#include "Record/record_error.h"

#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

using nlohmann::json;

// The process that sent a view may be of a newer release. A version above the newest known one makes the
// parser accept fields that the newer release added; they are ignored.
constexpr std::uint32_t unboundedSchema = newestSchema + 1;

template <typename Object> Object parseAs(object_kind kind, const json& fields)
{
    return std::get<Object>(
        parseObject(kind, fields, "view." + std::string(nameOf(kind)), unboundedSchema).value);
}

json formatList(const auto& objects, auto valueOf)
{
    json list = json::array();
    for (const auto& object : objects)
        list.push_back(formatObject({ valueOf(object), {} }, newestSchema));
    return list;
}

const json& requiredList(field_reader& reader, std::string_view key)
{
    const json& list = reader.value(key);
    if (!list.is_array())
        reader.fail(key, list.type_name(), "a list");
    return list;
}

} // namespace

std::optional<side_view> makeSideView(const fleet_state& state, const std::string& upstreamName)
{
    const auto found = state.upstreams.find(upstreamName);
    if (found == state.upstreams.end())
        return std::nullopt;
    side_view view;
    view.offset = state.nextOffset;
    view.upstream = found->second;
    if (view.upstream.kind == upstream_kind::Engine)
        view.models = state.models;
    view.placements = effectivePlacementsOn(state, upstreamName);
    return view;
}

std::string formatSideView(const side_view& view)
{
    const json document { { "offset", view.offset },
        { "upstream", formatObject({ view.upstream, {} }, newestSchema) },
        { "models", formatList(view.models, [](const auto& item) { return item.second; }) },
        { "placements", formatList(view.placements, [](const placement& value) { return value; }) } };
    return document.dump();
}

side_view parseSideView(std::string_view text)
{
    const json document = parseJsonText(text, "view");
    field_reader reader(document, "view", unboundedSchema);
    side_view view;
    view.offset = reader.integer("offset", 0, UINT64_MAX / 2);
    view.upstream = parseAs<upstream>(object_kind::Upstream, reader.value("upstream"));
    for (const json& fields : requiredList(reader, "models")) {
        const auto value = parseAs<model>(object_kind::Model, fields);
        view.models.emplace(value.name, value);
    }
    for (const json& fields : requiredList(reader, "placements"))
        view.placements.push_back(parseAs<placement>(object_kind::Placement, fields));
    return view;
}

} // namespace sagesaddle
