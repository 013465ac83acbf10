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

/// \brief Invalid settings, with which a process must not start. The message lists every fault of the file.
class settings_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// \brief The smallest and the largest value that an integer setting may have.
struct integer_range {
    std::int64_t least { 0 };
    std::int64_t greatest { 0 };
};

/// \brief Reads the TOML settings of a process key by key and collects all faults, so that one start reports
/// all of them.
///
/// A getter that finds a fault records it and returns its fallback; finish() then throws. finish() also
/// rejects keys that no getter has read, so that a misspelt key does not silently leave its setting at the
/// default.
class settings_reader {
public:
    /// \param file file name for error messages
    /// \param text content of the file
    /// \throws settings_error if the text is not valid TOML, naming the line
    settings_reader(std::string file, std::string_view text);

    /// Reads a settings file.
    /// \throws settings_error if the file cannot be read or is not valid TOML
    static settings_reader fromFile(const std::string& file);

    settings_reader(settings_reader&&) noexcept;
    settings_reader& operator=(settings_reader&&) noexcept;
    ~settings_reader();

    /// \return a string, which must be present and not empty.
    std::string requiredText(std::string_view section, std::string_view key);
    /// \return a string, or the fallback if the key is absent.
    std::string text(std::string_view section, std::string_view key, std::string fallback);

    /// \return a name of 1 to 64 letters, digits, `-`, `_` and `.`, which must be present.
    std::string requiredName(std::string_view section, std::string_view key);

    /// \return one of the allowed strings, or the fallback if the key is absent.
    std::string choice(std::string_view section, std::string_view key, std::string fallback,
        const std::vector<std::string>& allowed);

    /// \return an address given as `ip:port`, which must be present.
    address requiredAddress(std::string_view section, std::string_view key);
    /// \return an address given as `ip:port`, or nothing if the key is absent.
    std::optional<address> optionalAddress(std::string_view section, std::string_view key);

    /// \return the addresses of a list of `ip:port` strings; empty if the key is absent.
    std::vector<address> addressList(std::string_view section, std::string_view key);

    /// \return the strings of a list; empty if the key is absent.
    std::vector<std::string> textList(std::string_view section, std::string_view key);

    /// \return an integer in the allowed range, or the fallback if the key is absent.
    std::int64_t integer(
        std::string_view section, std::string_view key, std::int64_t fallback, integer_range allowed);
    /// \return a number from `least` to `greatest`, or the fallback if the key is absent.
    double number(
        std::string_view section, std::string_view key, double fallback, double least, double greatest);
    /// \return a Boolean, or the fallback if the key is absent.
    bool flag(std::string_view section, std::string_view key, bool fallback);

    /// \return a duration given as an integer of milliseconds, or the fallback if the key is absent.
    milliseconds duration(
        std::string_view section, std::string_view key, milliseconds fallback, integer_range allowedMs);

    /// Checks the file for unknown sections and keys; call it after the last getter.
    /// \throws settings_error if any fault was found, listing all of them
    void finish();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
