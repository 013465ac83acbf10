#include "Settings/settings_reader.h"

#include "Base/join.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace sagesaddle {

namespace {

constexpr std::size_t maxNameLength = 64;

bool isName(const std::string& text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    });
}

std::string formatNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string rangeText(const std::string& least, const std::string& greatest)
{
    return "allowed: " + least + " to " + greatest + "; set a value in that range";
}

} // namespace

struct settings_reader::impl {
    std::string file;
    toml::table table;
    /// The keys that getters have read, by section.
    std::map<std::string, std::set<std::string>, std::less<>> readKeys;
    std::vector<std::string> faults;

    const toml::node* find(std::string_view section, std::string_view key)
    {
        readKeys[std::string(section)].insert(std::string(key));
        const toml::table* sectionTable = table[section].as_table();
        return sectionTable ? sectionTable->get(key) : nullptr;
    }

    void addFault(std::string_view section, std::string_view key, const std::string& what)
    {
        faults.push_back(file + ": [" + std::string(section) + "] " + std::string(key) + ": " + what);
    }

    void addMissing(std::string_view section, std::string_view key, const std::string& remedy)
    {
        addFault(section, key, "is missing; " + remedy);
    }

    void checkSection(const std::string& section, const toml::node& node)
    {
        const auto expected = readKeys.find(section);
        if (expected == readKeys.end()) {
            std::vector<std::string> names;
            for (const auto& [name, keys] : readKeys)
                names.push_back(name);
            faults.push_back(
                file + ": [" + section + "]: unknown section; allowed: " + join(names, ", ") + "; remove it");
            return;
        }
        const toml::table* sectionTable = node.as_table();
        if (!sectionTable) {
            faults.push_back(file + ": " + section + ": must be a section; write [" + section + "]");
            return;
        }
        const std::vector<std::string> keys(expected->second.begin(), expected->second.end());
        for (const auto& [key, value] : *sectionTable) {
            const std::string name(key.str());
            if (!expected->second.contains(name))
                addFault(
                    section, name, "unknown key; allowed: " + join(keys, ", ") + "; correct or remove it");
        }
    }
};

settings_reader::settings_reader(std::string file, std::string_view text)
    : m_impl(std::make_unique<impl>())
{
    m_impl->file = std::move(file);
    try {
        m_impl->table = toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw settings_error(m_impl->file + ": line " + std::to_string(error.source().begin.line)
            + ": is no TOML: " + std::string(error.description()) + "; correct that line");
    }
}

settings_reader settings_reader::fromFile(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream content;
    if (!stream || !(content << stream.rdbuf()))
        throw settings_error(file + ": cannot be read or is empty; name a readable file with --config");
    return settings_reader(file, content.str());
}

settings_reader::settings_reader(settings_reader&&) noexcept = default;
settings_reader& settings_reader::operator=(settings_reader&&) noexcept = default;
settings_reader::~settings_reader() = default;

std::string settings_reader::text(std::string_view section, std::string_view key, std::string fallback)
{
    const toml::node* node = m_impl->find(section, key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::string>();
    if (!value)
        m_impl->addFault(section, key, "must be a text; write it in quotes");
    return value.value_or(std::move(fallback));
}

std::string settings_reader::requiredText(std::string_view section, std::string_view key)
{
    const bool isPresent = m_impl->find(section, key) != nullptr;
    const std::size_t faultsBefore = m_impl->faults.size();
    std::string value = text(section, key, "");
    if (!isPresent)
        m_impl->addMissing(section, key, "set it to a text");
    else if (value.empty() && m_impl->faults.size() == faultsBefore)
        m_impl->addFault(section, key, "must not be empty; set it to a text");
    return value;
}

std::string settings_reader::requiredName(std::string_view section, std::string_view key)
{
    const std::size_t faultsBefore = m_impl->faults.size();
    std::string value = requiredText(section, key);
    if (m_impl->faults.size() == faultsBefore && !isName(value))
        m_impl->addFault(section, key,
            "\"" + value + "\" is no name; allowed: 1 to " + std::to_string(maxNameLength)
                + " letters, digits, '-', '_' and '.'; rename it");
    return value;
}

std::string settings_reader::choice(std::string_view section, std::string_view key, std::string fallback,
    const std::vector<std::string>& allowed)
{
    const std::size_t faultsBefore = m_impl->faults.size();
    std::string value = text(section, key, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
        return value;
    if (m_impl->faults.size() == faultsBefore)
        m_impl->addFault(section, key,
            "\"" + value + "\" is not known; allowed: " + join(allowed, ", ") + "; set it to one of these");
    return fallback;
}

std::optional<address> settings_reader::optionalAddress(std::string_view section, std::string_view key)
{
    const toml::node* node = m_impl->find(section, key);
    if (!node)
        return std::nullopt;
    const auto value = node->value_exact<std::string>();
    try {
        if (value)
            return parseAddress(*value);
        m_impl->addFault(section, key, "must be a text such as \"10.0.0.1:8080\"; write ip:port in quotes");
    } catch (const std::invalid_argument& error) {
        m_impl->addFault(section, key,
            std::string(error.what())
                + "; allowed: an IPv4 address and a port from 1 to 65535, such as \"10.0.0.1:8080\"");
    }
    return std::nullopt;
}

address settings_reader::requiredAddress(std::string_view section, std::string_view key)
{
    if (!m_impl->find(section, key))
        m_impl->addMissing(section, key, "set it to ip:port, such as \"10.0.0.1:8080\"");
    return optionalAddress(section, key).value_or(address {});
}

std::vector<address> settings_reader::addressList(std::string_view section, std::string_view key)
{
    const toml::node* node = m_impl->find(section, key);
    if (!node)
        return {};
    const std::string remedy = "; write a list such as [\"10.0.0.1:8080\", \"10.0.0.2:8080\"]";
    std::vector<address> list;
    const toml::array* items = node->as_array();
    if (!items) {
        m_impl->addFault(section, key, "must be a list of addresses" + remedy);
        return {};
    }
    for (const auto& item : *items) {
        try {
            list.push_back(parseAddress(item.value_exact<std::string>().value_or("")));
        } catch (const std::invalid_argument& error) {
            m_impl->addFault(section, key, error.what() + remedy);
        }
    }
    return list;
}

std::vector<std::string> settings_reader::textList(std::string_view section, std::string_view key)
{
    const toml::node* node = m_impl->find(section, key);
    if (!node)
        return {};
    std::vector<std::string> list;
    const toml::array* items = node->as_array();
    const bool isValid = items
        && std::all_of(items->begin(), items->end(), [](const auto& item) { return item.is_string(); });
    if (!isValid) {
        m_impl->addFault(section, key, "must be a list of strings; write a list such as [\"health\"]");
        return {};
    }
    for (const auto& item : *items)
        list.push_back(item.value_exact<std::string>().value_or(""));
    return list;
}

std::int64_t settings_reader::integer(
    std::string_view section, std::string_view key, std::int64_t fallback, integer_range allowed)
{
    const toml::node* node = m_impl->find(section, key);
    if (!node)
        return fallback;
    const std::string range = rangeText(std::to_string(allowed.least), std::to_string(allowed.greatest));
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        m_impl->addFault(section, key, "must be a whole number; " + range);
        return fallback;
    }
    if (*value < allowed.least || *value > allowed.greatest) {
        m_impl->addFault(section, key, std::to_string(*value) + " is out of range; " + range);
        return fallback;
    }
    return *value;
}

double settings_reader::number(
    std::string_view section, std::string_view key, double fallback, double least, double greatest)
{
    const toml::node* node = m_impl->find(section, key);
    if (!node)
        return fallback;
    const std::string range = rangeText(formatNumber(least), formatNumber(greatest));
    if (!node->is_number()) {
        m_impl->addFault(section, key, "must be a number; " + range);
        return fallback;
    }
    const double value = node->value<double>().value_or(fallback);
    if (!(value >= least && value <= greatest)) {
        m_impl->addFault(section, key, formatNumber(value) + " is out of range; " + range);
        return fallback;
    }
    return value;
}

bool settings_reader::flag(std::string_view section, std::string_view key, bool fallback)
{
    const toml::node* node = m_impl->find(section, key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<bool>();
    if (!value)
        m_impl->addFault(section, key, "must be true or false; write it without quotes");
    return value.value_or(fallback);
}

milliseconds settings_reader::duration(
    std::string_view section, std::string_view key, milliseconds fallback, integer_range allowedMs)
{
    return milliseconds(integer(section, key, fallback.count(), allowedMs));
}

void settings_reader::finish()
{
    for (const auto& [section, node] : m_impl->table)
        m_impl->checkSection(std::string(section.str()), node);
    if (!m_impl->faults.empty())
        throw settings_error(join(m_impl->faults, "\n"));
}

} // namespace sagesaddle
