#include "Base/stop_signals.h"
#include "Entry/entry_process.h"
#include "Entry/entry_settings.h"
#include "Settings/program_main.h"
#include "Settings/settings_reader.h"
#include "Watch/log.h"

#include <docopt/docopt.h>
#include <string>
#include <vector>

namespace {

constexpr const char* usage = R"(sagesaddle-entry: accepts requests of callers and forwards them to upstreams.

Usage:
  sagesaddle-entry --config=FILE [--check]
  sagesaddle-entry (-h | --help)
  sagesaddle-entry --version

Options:
  --config=FILE  TOML settings of this process.
  --check        Only check the settings.
  -h --help      Show this text.
  --version      Show the version.

SIGTERM or SIGINT drains: report not ready, finish the running requests, then exit.
Exit codes: 0 stopped by a signal or settings valid, 1 failed, 2 invalid settings or command line.
)";

int serve(const sagesaddle::entry_settings& settings)
{
    const sagesaddle::stop_signals signals;
    sagesaddle::configureLog(settings.logOptions);
    sagesaddle::entry_process process(settings);
    signals.wait();
    process.drain();
    return 0;
}

int runMain(const std::vector<std::string>& arguments)
{
    const auto options = docopt::docopt_parse(usage, arguments, true, true);
    auto reader = sagesaddle::settings_reader::fromFile(options.at("--config").asString());
    const sagesaddle::entry_settings settings = sagesaddle::parseEntrySettings(reader);
    return options.at("--check").asBool() ? 0 : serve(settings);
}

} // namespace

int main(int count, char** values)
{
    return sagesaddle::runProgram({ "sagesaddle-entry", SAGESADDLE_VERSION, usage }, [&] {
        return runMain({ values + 1, values + count });
    });
}
