#pragma once

#include "Base/clock.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sagesaddle {

/// \brief Severity of a log line.
enum class log_level {
    Debug,
    Info,
    Warning,
    Error,
};

/// \return the level's name in settings and log lines: `debug`, `info`, `warning` or `error`.
std::string_view nameOf(log_level value);

/// \return the level with that name; Info if no level has it.
log_level parseLogLevel(std::string_view name);

/// The value of a field of a log line or of a span attribute.
using log_value = std::variant<std::string, std::int64_t, double, bool>;

/// \brief A named, typed value. It must never hold a secret, or a header or body of a caller's request.
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

/// \brief Which log lines are written, and where to.
struct log_options {
    /// Lines below this level are not written.
    log_level level { log_level::Info };
    /// Log file; empty for standard error.
    std::string file;
};

/// Configures the log of the process. Call it once, before threads start.
void configureLog(const log_options& options);

/// \return the line as one JSON object: time, level, message and the fields. Bytes that are not valid UTF-8
/// are replaced.
std::string formatLogLine(
    wall_time time, log_level level, std::string_view message, const std::vector<log_field>& fields);

/// Writes one line to the log. Thread-safe.
void writeLog(log_level level, std::string_view message, const std::vector<log_field>& fields = {});

/// \return the time in ISO 8601 format, in UTC with milliseconds.
std::string formatWallTime(wall_time time);

} // namespace sagesaddle
