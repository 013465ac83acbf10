#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace sagesaddle {

/// Newest schema version whose object fields this program knows.
inline constexpr std::uint32_t newestSchema = 2;

/// \brief Reads and checks the fields of one JSON object, and finds the fields that nobody read.
class field_reader {
public:
    /// \param object must outlive the reader
    /// \param location where the object stands, for error messages, such as `teams.toml:3: [[team]]`
    /// \param schema schema version that the object was written in
    /// \throws record_error if it is not a JSON object
    field_reader(const nlohmann::json& object, std::string location, std::uint32_t schema);

    bool has(std::string_view key) const;

    // The readers below throw record_error if the value is not allowed, or if a required field is missing.

    /// \return a name of 1 to 128 letters, digits and `._:/-`.
    std::string name(std::string_view key);
    /// \return a name; empty if the field is missing or empty.
    std::string optionalName(std::string_view key);
    /// \return any text of 1 to `maxBytes` bytes.
    std::string text(std::string_view key, std::size_t maxBytes = 256);
    /// \return a number from `min` to `max`, both included.
    double number(std::string_view key, double min, double max);
    /// \return a whole number from `min` to `max`, both included.
    std::uint64_t integer(std::string_view key, std::uint64_t min, std::uint64_t max);
    /// \return the same, or `fallback` if the field is missing.
    std::uint64_t optionalInteger(
        std::string_view key, std::uint64_t fallback, std::uint64_t min, std::uint64_t max);
    /// \return true or false, or `fallback` if the field is missing.
    bool flag(std::string_view key, bool fallback);
    /// \return the unchecked JSON value.
    const nlohmann::json& value(std::string_view key);

    /// \param schema version that introduced the field
    /// \return whether the field is given
    /// \throws record_error if it is given in a record of an older version
    bool hasSince(std::string_view key, std::uint32_t schema);

    /// \brief Call after all known fields were read.
    /// \return the fields that were not read, as JSON text; empty if there are none
    /// \throws record_error if there are some and this program knows all fields of the schema version
    std::string collectUnknownFields() const;

    /// \brief Rejects the value of a field.
    /// \param found the value as it was found, for people
    /// \param allowed which values are allowed, for people
    /// \throws record_error with the location, the field and the remedy
    [[noreturn]] void fail(std::string_view key, const std::string& found, const std::string& allowed) const;

private:
    const nlohmann::json* find(std::string_view key);

    const nlohmann::json& m_object;
    std::string m_location;
    std::uint32_t m_schema;
    std::set<std::string, std::less<>> m_read;
};

/// \return whether the text can name an object: 1 to 128 letters, digits and `._:/-`.
bool isObjectName(std::string_view text);

} // namespace sagesaddle
