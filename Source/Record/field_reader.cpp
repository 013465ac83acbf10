#include "Record/field_reader.h"

#include "Record/record_error.h"

#include <algorithm>
#include <cmath>

namespace sagesaddle {

namespace {

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxQuotedBytes = 60;

// The value as an error message shows it.
std::string quoted(const nlohmann::json& value)
{
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxQuotedBytes)
        text = text.substr(0, maxQuotedBytes) + "...";
    return text;
}

std::string formatNumber(double value)
{
    return nlohmann::json(value).dump();
}

bool isNameCharacter(char c)
{
    const auto isBetween = [c](char first, char last) { return c >= first && c <= last; };
    return isBetween('a', 'z') || isBetween('A', 'Z') || isBetween('0', '9')
        || std::string_view("._:/-").find(c) != std::string_view::npos;
}

} // namespace

bool isObjectName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

field_reader::field_reader(const nlohmann::json& object, std::string location, std::uint32_t schema)
    : m_object(object)
    , m_location(std::move(location))
    , m_schema(schema)
{
    if (!object.is_object())
        throw record_error(
            m_location + ": expected an object with fields, found " + quoted(object) + "; correct it.");
}

void field_reader::fail(std::string_view key, const std::string& found, const std::string& allowed) const
{
    throw record_error(m_location + ": \"" + std::string(key) + "\" is " + found + "; allowed: " + allowed
        + ". Correct this field.");
}

const nlohmann::json* field_reader::find(std::string_view key)
{
    m_read.emplace(key);
    const auto found = m_object.find(key);
    return found == m_object.end() ? nullptr : &*found;
}

bool field_reader::has(std::string_view key) const
{
    return m_object.contains(key);
}

const nlohmann::json& field_reader::value(std::string_view key)
{
    const nlohmann::json* found = find(key);
    if (!found)
        throw record_error(m_location + ": \"" + std::string(key) + "\" is missing; add this field.");
    return *found;
}

std::string field_reader::name(std::string_view key)
{
    const nlohmann::json& found = value(key);
    if (!found.is_string() || !isObjectName(found.get_ref<const std::string&>()))
        fail(key, quoted(found), "1 to 128 letters, digits and ._:/-");
    return found.get<std::string>();
}

std::string field_reader::optionalName(std::string_view key)
{
    const nlohmann::json* found = find(key);
    if (!found || (found->is_string() && found->get_ref<const std::string&>().empty()))
        return {};
    return name(key);
}

std::string field_reader::text(std::string_view key, std::size_t maxBytes)
{
    const nlohmann::json& found = value(key);
    const bool isValid = found.is_string() && !found.get_ref<const std::string&>().empty()
        && found.get_ref<const std::string&>().size() <= maxBytes;
    if (!isValid)
        fail(key, quoted(found), "a text of 1 to " + std::to_string(maxBytes) + " bytes");
    return found.get<std::string>();
}

double field_reader::number(std::string_view key, double min, double max)
{
    const nlohmann::json& found = value(key);
    const double result = found.is_number() ? found.get<double>() : std::nan("");
    if (!(result >= min && result <= max))
        fail(key, quoted(found), formatNumber(min) + " to " + formatNumber(max));
    return result;
}

std::uint64_t field_reader::integer(std::string_view key, std::uint64_t min, std::uint64_t max)
{
    const nlohmann::json& found = value(key);
    const bool isWhole
        = found.is_number_unsigned() || (found.is_number_integer() && found.get<std::int64_t>() >= 0);
    const std::uint64_t result = isWhole ? found.get<std::uint64_t>() : 0;
    if (!isWhole || result < min || result > max)
        fail(key, quoted(found), "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return result;
}

std::uint64_t field_reader::optionalInteger(
    std::string_view key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max)
{
    return find(key) ? integer(key, min, max) : fallback;
}

bool field_reader::flag(std::string_view key, bool fallback)
{
    const nlohmann::json* found = find(key);
    if (!found)
        return fallback;
    if (!found->is_boolean())
        fail(key, quoted(*found), "true or false");
    return found->get<bool>();
}

bool field_reader::hasSince(std::string_view key, std::uint32_t schema)
{
    if (!has(key))
        return false;
    if (m_schema < schema)
        throw record_error(m_location + ": \"" + std::string(key) + "\" belongs to schema "
            + std::to_string(schema) + ", but this is schema " + std::to_string(m_schema)
            + ". Raise the schema, or remove this field.");
    return true;
}

std::string field_reader::collectUnknownFields() const
{
    nlohmann::json unknown = nlohmann::json::object();
    for (const auto& [key, found] : m_object.items())
        if (!m_read.contains(key))
            unknown[key] = found;
    if (unknown.empty())
        return {};
    if (m_schema <= newestSchema)
        throw record_error(m_location + ": \"" + unknown.begin().key()
            + "\" is not a field of this object in schema " + std::to_string(m_schema)
            + ". Correct its name, or remove it.");
    return unknown.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace sagesaddle
