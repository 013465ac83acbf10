#pragma once

#include "Base/clock.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief How much a log line matters.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// \return the level's name in settings and log lines: `debug`, `info`, `warning` or `error`.
std::string_view nameOf(log_level value);

/// \return the level with that name; Info where there is none.
log_level parseLogLevel(std::string_view name);

/// A value in a log line or a span.
using log_value = std::variant<std::string, std::int64_t, double, bool>;

/// \brief A named, typed value. Secrets and callers' headers and bodies never go into one.
struct log_field {
    std::string name;
    log_value value;

    log_field(std::string key, std::string text)
        : name(std::move(key))
        , value(std::move(text))
    {
    }
    log_field(std::string key, std::string_view text)
        : log_field(std::move(key), std::string(text))
    {
    }
    log_field(std::string key, const char* text)
        : log_field(std::move(key), std::string(text))
    {
    }
    log_field(std::string key, bool flag)
        : name(std::move(key))
        , value(flag)
    {
    }
    log_field(std::string key, double number)
        : name(std::move(key))
        , value(number)
    {
    }
    log_field(std::string key, std::integral auto number)
        : name(std::move(key))
        , value(static_cast<std::int64_t>(number))
    {
    }
};

/// \brief Where log lines go.
struct log_options {
    log_level level { log_level::Info };
    /// Empty for standard error.
    std::string file;
};

/// Sets up the process's log; call once, before threads start.
void configureLog(const log_options& options);

/// \return the line as one JSON object: time, level, message and the fields.
std::string formatLogLine(
    wall_time time, log_level level, std::string_view message, const std::vector<log_field>& fields);

/// Writes one line; safe from any thread.
void writeLog(log_level level, std::string_view message, const std::vector<log_field>& fields = {});

/// \return the time in ISO 8601 form, in UTC with milliseconds.
std::string formatWallTime(wall_time time);

} // namespace sagesaddle
