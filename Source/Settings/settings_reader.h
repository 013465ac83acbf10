#pragma once

#include "Base/address.h"
#include "Base/clock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle {

/// \brief Settings that a process cannot start with; the message lists every fault of the file.
class settings_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// \brief The least and the greatest value that a whole number may have.
struct integer_range {
    std::int64_t least { 0 };
    std::int64_t greatest { 0 };
};

/// \brief Reads a process's TOML settings key by key and collects all faults, so that one start shows them.
///
/// A getter with a fault records it and returns its fallback; finish() then throws. Keys that no
/// getter asked for are refused, since a misspelt key must not pass for its default.
class settings_reader {
public:
    /// \param file name used in messages
    /// \param text the file's content
    /// \throws settings_error where the text is no TOML, with its line
    settings_reader(std::string file, std::string_view text);

    /// Reads a file.
    /// \throws settings_error where it cannot be read or is no TOML
    static settings_reader fromFile(const std::string& file);

    settings_reader(settings_reader&&) noexcept;
    settings_reader& operator=(settings_reader&&) noexcept;
    ~settings_reader();

    /// \return a text that must be there and must not be empty.
    std::string requiredText(std::string_view section, std::string_view key);
    std::string text(std::string_view section, std::string_view key, std::string fallback);

    /// \return a name of letters, digits, `-`, `_` and `.`, at most 64 long; it must be there.
    std::string requiredName(std::string_view section, std::string_view key);

    /// \return one of the allowed texts.
    std::string choice(std::string_view section, std::string_view key, std::string fallback,
        const std::vector<std::string>& allowed);

    address requiredAddress(std::string_view section, std::string_view key);
    std::optional<address> optionalAddress(std::string_view section, std::string_view key);

    /// \return a list of `ip:port` texts; empty where the key is absent.
    std::vector<address> addressList(std::string_view section, std::string_view key);

    std::int64_t integer(
        std::string_view section, std::string_view key, std::int64_t fallback, integer_range allowed);
    double number(
        std::string_view section, std::string_view key, double fallback, double least, double greatest);
    bool flag(std::string_view section, std::string_view key, bool fallback);

    /// \return a length of time given in milliseconds.
    milliseconds duration(
        std::string_view section, std::string_view key, milliseconds fallback, integer_range allowedMs);

    /// Ends the reading.
    /// \throws settings_error with all faults, unknown sections and keys included
    void finish();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
