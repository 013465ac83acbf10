#include "Side/side_settings.h"

#include "Settings/settings_reader.h"

namespace sagesaddle {

namespace {

constexpr integer_range workersRange { 1, 512 };
constexpr integer_range maxWaitingRange { 1, 100000 };
constexpr integer_range orderSettlingRangeMs { 100, 600000 };
constexpr integer_range reportPollRangeMs { 10, 10000 };

} // namespace

side_settings parseSideSettings(settings_reader& reader)
{
    side_settings settings;
    settings.name = reader.requiredName("process", "name");
    settings.frames = reader.requiredAddress("frames", "listen");
    settings.target = reader.requiredAddress("target", "address");
    settings.admin = reader.requiredAddress("admin", "listen");
    settings.log = reader.requiredAddress("log", "address");
    settings.traces = reader.optionalAddress("traces", "address");
    settings.logging.level
        = parseLogLevel(reader.choice("logging", "level", "info", { "debug", "info", "warning", "error" }));
    settings.logging.file = reader.text("logging", "file", "");
    settings.workers
        = static_cast<std::uint32_t>(reader.integer("target", "workers", settings.workers, workersRange));
    settings.maxWaiting = static_cast<std::uint32_t>(
        reader.integer("target", "max_waiting", settings.maxWaiting, maxWaitingRange));
    settings.orderSettlingTime
        = reader.duration("target", "order_settling_ms", settings.orderSettlingTime, orderSettlingRangeMs);
    settings.reportPollInterval
        = reader.duration("target", "report_period_ms", settings.reportPollInterval, reportPollRangeMs);
    const std::string order = reader.choice("baseline", "queue", "fair", { "fair", "fifo" });
    settings.queueOrder = order == "fifo" ? queue_order::Fifo : queue_order::Fair;
    reader.finish();
    return settings;
}

} // namespace sagesaddle
