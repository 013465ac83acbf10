#include "Base/stop_signals.h"
#include "Settings/settings_reader.h"
#include "Side/side_process.h"
#include "Side/side_settings.h"
#include "Watch/log.h"

#include <docopt/docopt.h>
#include <exception>
#include <iostream>

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

constexpr const char* usage = R"(The side process of sagesaddle, which stands before one upstream.

Usage:
  sagesaddle-side --config FILE [--check]
  sagesaddle-side --help
  sagesaddle-side --version

Options:
  --config FILE  Settings in TOML.
  --check        Check the settings and stop.
  --help         Show this text.
  --version      Show the version.

Exit codes: 0 drained, or settings in order; 1 could not run; 2 settings at fault.
)";

int runSide(const sagesaddle::side_settings& settings)
{
    const sagesaddle::stop_signals signals;
    sagesaddle::configureLog(settings.logging);
    sagesaddle::side_process process(settings);
    sagesaddle::writeLog(sagesaddle::log_level::Info, "started",
        { { "upstream", settings.name }, { "frames", formatAddress(process.framesAddress()) } });
    signals.wait();
    process.drain();
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto arguments
            = docopt::docopt(usage, { argv + 1, argv + argc }, true, "sagesaddle-side " SAGESADDLE_VERSION);
        auto reader = sagesaddle::settings_reader::fromFile(arguments.at("--config").asString());
        const sagesaddle::side_settings settings = sagesaddle::parseSideSettings(reader);
        if (arguments.at("--check").asBool()) {
            std::cout << "settings are in order\n";
            return exitOk;
        }
        return runSide(settings);
    } catch (const sagesaddle::settings_error& error) {
        std::cerr << error.what() << '\n';
        return exitBadSettings;
    } catch (const std::exception& error) {
        std::cerr << "sagesaddle-side: " << error.what() << '\n';
        return exitFailed;
    }
}
