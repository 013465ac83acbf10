#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace sagesaddle {

/// Newest schema version of records that this program knows.
inline constexpr std::uint32_t newestSchema = 2;

/// \brief Reads the fields of one JSON object, checking each, and accounts for those never asked for.
class field_reader {
public:
    /// \param object the object; must outlive the reader
    /// \param place where it stands, for error messages, such as `teams.toml:3: [[team]]`
    /// \param schema version that the object was written for
    /// \throws record_error where it is no object
    field_reader(const nlohmann::json& object, std::string place, std::uint32_t schema);

    bool has(std::string_view key) const;

    /// \return a name of 1 to 128 letters, digits and `._:/-`.
    std::string name(std::string_view key);
    /// \return a name, or an empty text where there is no such field or it is empty.
    std::string optionalName(std::string_view key);
    /// \return any text of 1 to `longest` bytes.
    std::string text(std::string_view key, std::size_t longest = 256);
    double number(std::string_view key, double least, double most);
    std::uint64_t integer(std::string_view key, std::uint64_t least, std::uint64_t most);
    std::uint64_t optionalInteger(
        std::string_view key, std::uint64_t fallback, std::uint64_t least, std::uint64_t most);
    bool flag(std::string_view key, bool fallback);
    /// \return the JSON value of a field that must be there.
    const nlohmann::json& value(std::string_view key);

    /// Declares that a field belongs to a schema version.
    /// \return whether it is given
    /// \throws record_error where it is given in a record of an older version
    bool hasSince(std::string_view key, std::uint32_t schema);

    /// \return the fields that were not read, as JSON text, or an empty text where there are none.
    /// \throws record_error where there are some although the schema version is known
    std::string collectUnknownFields() const;

    /// \throws record_error with the place, the field and the remedy
    [[noreturn]] void fail(std::string_view key, const std::string& found, const std::string& allowed) const;

private:
    const nlohmann::json* find(std::string_view key);

    const nlohmann::json& m_object;
    std::string m_place;
    std::uint32_t m_schema;
    std::set<std::string, std::less<>> m_read;
};

/// \return whether the text may be the name of an object.
bool isObjectName(std::string_view text);

} // namespace sagesaddle
