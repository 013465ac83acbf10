#include "Watch/log.h"

#include <array>
#include <atomic>
#include <ctime>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace sagesaddle {

namespace {

constexpr const char* loggerName = "sagesaddle";

// Whether configureLog has been called; if not, the first line is written with the default options.
std::atomic<bool> isConfigured { false };

el::Level easyloggingLevelOf(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return el::Level::Debug;
    case log_level::Info:
        return el::Level::Info;
    case log_level::Warning:
        return el::Level::Warning;
    case log_level::Error:
        return el::Level::Error;
    }
    return el::Level::Info;
}

} // namespace

std::string_view nameOf(log_level value)
{
    switch (value) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "info";
}

log_level parseLogLevel(std::string_view name)
{
    for (log_level candidate : { log_level::Debug, log_level::Warning, log_level::Error }) {
        if (nameOf(candidate) == name)
            return candidate;
    }
    return log_level::Info;
}

void configureLog(const log_options& options)
{
    isConfigured = true;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(
        el::ConfigurationType::ToStandardOutput, options.file.empty() ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
    if (!options.file.empty())
        configuration.setGlobally(el::ConfigurationType::Filename, options.file);
    configuration.setGlobally(el::ConfigurationType::MaxLogFileSize, "0");
    configuration.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
    for (log_level level : { log_level::Debug, log_level::Info, log_level::Warning, log_level::Error })
        configuration.set(easyloggingLevelOf(level), el::ConfigurationType::Enabled,
            level >= options.level ? "true" : "false");
    el::Loggers::reconfigureLogger(el::Loggers::getLogger(loggerName), configuration);
}

std::string formatWallTime(wall_time time)
{
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
    const std::time_t whole = static_cast<std::time_t>(sinceEpoch.count() / 1000);
    std::tm parts {};
    gmtime_r(&whole, &parts);
    std::array<char, 32> date {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + sinceEpoch.count() % 1000).substr(1);
    return std::string(date.data()) + "." + fraction + "Z";
}

std::string formatLogLine(
    wall_time time, log_level level, std::string_view message, const std::vector<log_field>& fields)
{
    nlohmann::ordered_json line;
    line["time"] = formatWallTime(time);
    line["level"] = nameOf(level);
    line["message"] = message;
    for (const auto& field : fields)
        std::visit([&](const auto& value) { line[field.name] = value; }, field.value);
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void writeLog(log_level level, std::string_view message, const std::vector<log_field>& fields)
{
    if (!isConfigured)
        configureLog({});
    const std::string line = formatLogLine(std::chrono::system_clock::now(), level, message, fields);
    switch (level) {
    case log_level::Debug:
        CLOG(DEBUG, loggerName) << line;
        break;
    case log_level::Info:
        CLOG(INFO, loggerName) << line;
        break;
    case log_level::Warning:
        CLOG(WARNING, loggerName) << line;
        break;
    case log_level::Error:
        CLOG(ERROR, loggerName) << line;
        break;
    }
}

} // namespace sagesaddle
