#include "Record/object_json.h"

#include "Base/overloaded.h"
#include "Record/field_reader.h"
#include "Record/record_error.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagesaddle {

namespace {

using nlohmann::json;

constexpr double maxTokensPerSecond = 1e9;
constexpr double maxBurstTokens = 1e12;
constexpr std::uint64_t maxMemoryMb = 16'000'000;
constexpr std::uint64_t maxSlots = 100'000;
constexpr std::uint64_t maxDeadlineMs = 3'600'000;
constexpr std::size_t sha256Digits = 64;
constexpr std::size_t maxPathBytes = 512;

json formatFields(const team& value, std::uint32_t schema)
{
    json fields { { "name", value.name }, { "rate_tokens_per_s", value.rateTokensPerSecond },
        { "burst_tokens", value.burstTokens } };
    if (schema >= 2)
        fields["default_priority"] = nameOf(value.defaultPriority);
    return fields;
}

json formatFields(const api_key& value, std::uint32_t)
{
    return { { "id", value.id }, { "team", value.team }, { "secret_sha256", value.secretSha256 },
        { "withdrawn", value.withdrawn } };
}

json formatFields(const model& value, std::uint32_t)
{
    return { { "name", value.name }, { "memory_mb", value.memoryMb }, { "base", value.base } };
}

json formatFields(const upstream& value, std::uint32_t)
{
    return { { "name", value.name }, { "kind", value.kind == upstream_kind::Engine ? "engine" : "service" },
        { "region", value.region }, { "zone", value.zone }, { "side", formatAddress(value.side) },
        { "target", formatAddress(value.target) }, { "service", value.service },
        { "memory_mb", value.memoryMb }, { "slots", value.slots }, { "checks_fencing", value.checksFencing },
        { "leaving", value.leaving } };
}

json formatFields(const route& value, std::uint32_t schema)
{
    json fields { { "path_prefix", value.pathPrefix }, { "service", value.service }, { "open", value.open },
        { "idempotent", value.idempotent } };
    if (schema >= 2)
        fields["deadline_ms"] = value.deadlineMs;
    return fields;
}

json formatFields(const placement& value, std::uint32_t)
{
    return { { "model", value.model }, { "upstream", value.upstream }, { "pinned", value.pinned } };
}

json formatFields(const entry_config& value, std::uint32_t)
{
    return { { "name", value.name }, { "region", value.region }, { "zone", value.zone },
        { "peer", formatAddress(value.peer) }, { "admin", formatAddress(value.admin) } };
}

address readAddress(field_reader& reader, std::string_view key)
{
    const std::string text = reader.text(key);
    try {
        return parseAddress(text);
    } catch (const std::invalid_argument& error) {
        reader.fail(key, json(text).dump(), std::string("ip:port (") + error.what() + ")");
    }
}

std::string readSha256(field_reader& reader)
{
    std::string text = reader.text("secret_sha256");
    const bool isDigest = text.size() == sha256Digits && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    if (!isDigest)
        reader.fail("secret_sha256", json(text).dump(),
            "64 lower-case hexadecimal digits, as `sagesaddle keys new` prints them");
    return text;
}

upstream_kind readUpstreamKind(field_reader& reader)
{
    const std::string text = reader.text("kind");
    if (text == "engine")
        return upstream_kind::Engine;
    if (text != "service")
        reader.fail("kind", json(text).dump(), "\"engine\" or \"service\"");
    return upstream_kind::Service;
}

priority readPriority(field_reader& reader, std::string_view key)
{
    const std::string text = reader.text(key);
    const auto found = parsePriority(text);
    if (!found)
        reader.fail(key, json(text).dump(), "\"interactive\" or \"batch\"");
    return *found;
}

team readTeam(field_reader& reader)
{
    team value;
    value.name = reader.name("name");
    value.rateTokensPerSecond = reader.number("rate_tokens_per_s", 0, maxTokensPerSecond);
    value.burstTokens = reader.number("burst_tokens", 0, maxBurstTokens);
    if (reader.hasSince("default_priority", 2))
        value.defaultPriority = readPriority(reader, "default_priority");
    return value;
}

api_key readKey(field_reader& reader)
{
    api_key value;
    value.id = reader.name("id");
    value.team = reader.name("team");
    value.secretSha256 = readSha256(reader);
    value.withdrawn = reader.flag("withdrawn", false);
    return value;
}

model readModel(field_reader& reader)
{
    model value;
    value.name = reader.name("name");
    value.memoryMb = reader.integer("memory_mb", 1, maxMemoryMb);
    value.base = reader.optionalName("base");
    return value;
}

upstream readUpstream(field_reader& reader)
{
    upstream value;
    value.name = reader.name("name");
    value.kind = readUpstreamKind(reader);
    value.region = reader.name("region");
    value.zone = reader.name("zone");
    value.side = readAddress(reader, "side");
    value.target = readAddress(reader, "target");
    value.service = reader.optionalName("service");
    const bool isEngine = value.kind == upstream_kind::Engine;
    if (isEngine && !value.service.empty())
        reader.fail("service", json(value.service).dump(), "no service, since kind is \"engine\"");
    if (!isEngine && value.service.empty())
        reader.fail("service", "empty or missing", "the name of the service, since kind is \"service\"");
    value.memoryMb = isEngine ? reader.integer("memory_mb", 1, maxMemoryMb)
                              : reader.optionalInteger("memory_mb", 0, 0, maxMemoryMb);
    value.slots = static_cast<std::uint32_t>(reader.optionalInteger("slots", 1, 1, maxSlots));
    value.checksFencing = reader.flag("checks_fencing", false);
    value.leaving = reader.flag("leaving", false);
    return value;
}

route readRoute(field_reader& reader)
{
    route value;
    value.pathPrefix = reader.text("path_prefix", maxPathBytes);
    if (value.pathPrefix.front() != '/')
        reader.fail("path_prefix", json(value.pathPrefix).dump(), "a path that starts with /");
    value.service = reader.name("service");
    value.open = reader.flag("open", false);
    value.idempotent = reader.flag("idempotent", false);
    if (reader.hasSince("deadline_ms", 2))
        value.deadlineMs = static_cast<std::uint32_t>(reader.integer("deadline_ms", 1, maxDeadlineMs));
    return value;
}

placement readPlacement(field_reader& reader)
{
    placement value;
    value.model = reader.name("model");
    value.upstream = reader.name("upstream");
    value.pinned = reader.flag("pinned", false);
    return value;
}

entry_config readEntry(field_reader& reader)
{
    entry_config value;
    value.name = reader.name("name");
    value.region = reader.name("region");
    value.zone = reader.name("zone");
    value.peer = readAddress(reader, "peer");
    value.admin = readAddress(reader, "admin");
    return value;
}

fleet_object readObject(object_kind kind, field_reader& reader)
{
    switch (kind) {
    case object_kind::Team:
        return readTeam(reader);
    case object_kind::Key:
        return readKey(reader);
    case object_kind::Model:
        return readModel(reader);
    case object_kind::Upstream:
        return readUpstream(reader);
    case object_kind::Route:
        return readRoute(reader);
    case object_kind::Placement:
        return readPlacement(reader);
    case object_kind::Entry:
        return readEntry(reader);
    }
    throw std::logic_error("unknown object_kind");
}

} // namespace

std::string_view nameOf(object_kind kind)
{
    switch (kind) {
    case object_kind::Team:
        return "team";
    case object_kind::Key:
        return "key";
    case object_kind::Model:
        return "model";
    case object_kind::Upstream:
        return "upstream";
    case object_kind::Route:
        return "route";
    case object_kind::Placement:
        return "placement";
    case object_kind::Entry:
        return "entry";
    }
    throw std::logic_error("unknown object_kind");
}

std::optional<object_kind> parseObjectKind(std::string_view name)
{
    for (const object_kind kind : allObjectKinds)
        if (nameOf(kind) == name)
            return kind;
    return std::nullopt;
}

std::string placementName(std::string_view model, std::string_view upstream)
{
    return std::string(model) + "@" + std::string(upstream);
}

object_ref refOf(const fleet_object& object)
{
    const auto kind = static_cast<object_kind>(object.index());
    return std::visit(overloaded {
                          [&](const api_key& value) {
                              return object_ref { kind, value.id };
                          },
                          [&](const route& value) {
                              return object_ref { kind, value.pathPrefix };
                          },
                          [&](const placement& value) {
                              return object_ref { kind, placementName(value.model, value.upstream) };
                          },
                          [&](const auto& value) {
                              return object_ref { kind, value.name };
                          },
                      },
        object);
}

std::string formatRef(const object_ref& ref)
{
    return std::string(nameOf(ref.kind)) + " \"" + ref.name + "\"";
}

json formatObject(const declared_object& object, std::uint32_t schema)
{
    json fields = std::visit([&](const auto& value) { return formatFields(value, schema); }, object.value);
    if (!object.unknownFields.empty())
        fields.update(json::parse(object.unknownFields));
    return fields;
}

declared_object parseObject(
    object_kind kind, const json& fields, const std::string& location, std::uint32_t schema)
{
    field_reader reader(fields, location, schema);
    declared_object result;
    result.value = readObject(kind, reader);
    result.unknownFields = reader.collectUnknownFields();
    return result;
}

} // namespace sagesaddle
