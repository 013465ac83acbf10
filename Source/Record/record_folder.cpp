#include "Record/record_folder.h"

#include "Record/field_reader.h"
#include "Record/object_table.h"
#include "Record/record_error.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace sagesaddle {

namespace {

using nlohmann::json;

json toJson(const toml::node& node, const std::string& location)
{
    if (const auto* text = node.as_string())
        return text->get();
    if (const auto* number = node.as_integer())
        return number->get();
    if (const auto* number = node.as_floating_point())
        return number->get();
    if (const auto* flag = node.as_boolean())
        return flag->get();
    throw record_error(location + ": line " + std::to_string(node.source().begin.line)
        + " has a list, a table or a date; allowed: a text, a number, true or false. Correct this field.");
}

json toJsonObject(const toml::table& table, const std::string& location)
{
    json fields = json::object();
    for (const auto& [key, node] : table)
        fields[std::string(key.str())] = toJson(node, location);
    return fields;
}

std::uint32_t readSchema(const toml::table& document, const std::string& file)
{
    const toml::node* node = document.get("schema");
    if (!node)
        throw record_error(file + ": \"schema\" is missing; add schema = 1 or schema = 2 at the top.");
    const auto value = node->value<std::int64_t>();
    if (!node->is_integer() || !value || *value < 1 || *value > newestSchema)
        throw record_error(file + ":" + std::to_string(node->source().begin.line)
            + ": \"schema\" must be 1 or 2. Correct it, or use a newer sagesaddle.");
    return static_cast<std::uint32_t>(*value);
}

void parseTables(const std::string& file, std::string_view name, const toml::node& node, std::uint32_t schema,
    std::vector<declared_object>& objects)
{
    const auto kind = parseObjectKind(name);
    const std::string location = file + ":" + std::to_string(node.source().begin.line) + ": ";
    if (!kind)
        throw record_error(location + "\"" + std::string(name)
            + "\" is not a table of records; allowed: schema, [[team]], [[key]], [[model]], [[upstream]], "
              "[[route]], "
              "[[placement]], [[entry]]. Correct its name, or remove it.");
    const toml::array* tables = node.as_array();
    if (!tables || !tables->is_homogeneous(toml::node_type::table))
        throw record_error(
            location + "\"" + std::string(name) + "\" must be written as [[" + std::string(name) + "]].");
    for (const toml::node& element : *tables) {
        const std::string elementLocation
            = file + ":" + std::to_string(element.source().begin.line) + ": [[" + std::string(name) + "]]";
        objects.push_back(
            parseObject(*kind, toJsonObject(*element.as_table(), elementLocation), elementLocation, schema));
    }
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream)
        throw record_error(path.string() + ": cannot be read; check that it exists and may be read.");
    return text.str();
}

std::vector<std::filesystem::path> listFiles(const std::filesystem::path& folder)
{
    std::error_code error;
    std::vector<std::filesystem::path> files;
    for (const auto& item : std::filesystem::directory_iterator(folder, error))
        if (item.path().extension() == ".toml")
            files.push_back(item.path());
    if (error)
        throw record_error(folder.string() + ": cannot be read as a folder: " + error.message()
            + "; name the folder that contains the records.");
    if (files.empty())
        throw record_error(
            folder.string() + ": contains no *.toml file; name the folder that contains the records.");
    std::sort(files.begin(), files.end());
    return files;
}

void checkDeclaredOnce(const record_folder& folder)
{
    std::set<object_ref> seen;
    for (const declared_object& object : folder.objects)
        if (!seen.insert(refOf(object.value)).second)
            throw record_error(formatRef(refOf(object.value))
                + " is declared twice in the folder; remove one of the declarations.");
}

} // namespace

void parseRecordFile(const std::string& text, const std::string& file, record_folder& folder)
{
    toml::table document;
    try {
        document = toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        throw record_error(file + ":" + std::to_string(error.source().begin.line)
            + ": not valid TOML: " + std::string(error.description()) + ". Correct this line.");
    }
    const std::uint32_t schema = readSchema(document, file);
    folder.schema = std::max(folder.schema, schema);
    for (const auto& [key, node] : document)
        if (key.str() != "schema")
            parseTables(file, key.str(), node, schema, folder.objects);
    // By kind, as the declared objects of a state are listed.
    std::ranges::stable_sort(
        folder.objects, {}, [](const declared_object& object) { return object.value.index(); });
}

record_folder readRecordFolder(const std::filesystem::path& path)
{
    record_folder folder;
    for (const std::filesystem::path& file : listFiles(path))
        parseRecordFile(readFile(file), file.string(), folder);
    checkDeclaredOnce(folder);
    return folder;
}

change_record makeFolderChange(
    const fleet_state& state, const record_folder& folder, const std::string& operatorName)
{
    change_record change;
    change.baseRevision = state.revision;
    change.operatorName = operatorName;
    std::set<object_ref> declared;
    for (const declared_object& object : folder.objects) {
        const object_ref ref = refOf(object.value);
        declared.insert(ref);
        if (findObject(state, ref) != object)
            change.put.push_back(object);
    }
    for (const declared_object& object : listObjects(state))
        if (!declared.contains(refOf(object.value)))
            change.remove.push_back(refOf(object.value));
    return change;
}

} // namespace sagesaddle
