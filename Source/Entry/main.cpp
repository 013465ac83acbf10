#include "Base/stop_signals.h"
#include "Entry/entry_process.h"
#include "Entry/entry_settings.h"
#include "Settings/settings_reader.h"
#include "Watch/log.h"

#include <docopt/docopt.h>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr const char* usage = R"(sagesaddle-entry: takes callers' requests and brings them to the upstreams.

Usage:
  sagesaddle-entry --config=FILE [--check]
  sagesaddle-entry (-h | --help)
  sagesaddle-entry --version

Options:
  --config=FILE  TOML settings of this process.
  --check        Only check the settings.
  -h --help      Show this text.
  --version      Show the version.

SIGTERM or SIGINT drains: not ready first, then finish the running requests, then leave.
Exit codes: 0 ended as asked, 1 failed, 2 wrong settings or command line.
)";

constexpr int failed = 1;
constexpr int wrongSettings = 2;

int serve(const sagesaddle::entry_settings& settings)
{
    const sagesaddle::stop_signals signals;
    sagesaddle::configureLog(settings.logging);
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
    try {
        return runMain({ values + 1, values + count });
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "sagesaddle-entry " SAGESADDLE_VERSION << std::endl;
        return 0;
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n" << usage;
        return wrongSettings;
    } catch (const sagesaddle::settings_error& error) {
        std::cerr << error.what() << std::endl;
        return wrongSettings;
    } catch (const std::exception& error) {
        std::cerr << "sagesaddle-entry: " << error.what() << std::endl;
        return failed;
    }
}
