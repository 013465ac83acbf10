#include "Gateway/gateway.h"
#include "Gateway/settings_watch.h"
#include "Settings/program_main.h"
#include "Settings/settings_reader.h"
#include "settings_path.h"

#include <csignal>
#include <docopt/docopt.h>
#include <string>
#include <vector>

namespace {

constexpr const char* usage
    = R"(sagesaddle-gateway: takes callers' requests and relays them to upstreams, on the platform.

Usage:
  sagesaddle-gateway [--config=FILE] [--check]
  sagesaddle-gateway (-h | --help)
  sagesaddle-gateway --version

Options:
  --config=FILE  TOML settings of this process; without it, the path that the platform names.
  --check        Only check the settings.
  -h --help      Show this text.
  --version      Show the version.

SIGTERM or SIGINT drains: not ready first, then finish the running requests, then exit. The settings are read
again when their file changes, and at SIGHUP.
Exit codes: 0 ended as asked, 1 failed, 2 wrong settings or command line.
)";

sagesaddle::gateway_settings readSettings(const std::string& file)
{
    auto reader = sagesaddle::settings_reader::fromFile(file);
    return sagesaddle::parseGatewaySettings(reader);
}

int serve(const std::string& file, const sagesaddle::gateway_settings& settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    sagesaddle::event_loop loop;
    sagesaddle::gateway process(loop, settings);
    const auto reload = [&] { process.reload([&] { return readSettings(file); }); };
    sagesaddle::settings_watch watch(loop, file, reload);
    const auto drain = [&] {
        // The settings decide how long the drain may take, so a change is read first.
        watch.check();
        process.drain();
    };
    loop.onSignal(SIGTERM, drain);
    loop.onSignal(SIGINT, drain);
    loop.onSignal(SIGHUP, reload);
    loop.run();
    return 0;
}

int runMain(const std::vector<std::string>& arguments)
{
    const auto options = docopt::docopt_parse(usage, arguments, true, true);
    const auto& named = options.at("--config");
    const std::string file = named ? named.asString() : sagesaddle::platform::settingsPath();
    const auto settings = readSettings(file);
    return options.at("--check").asBool() ? 0 : serve(file, settings);
}

} // namespace

int main(int count, char** values)
{
    return sagesaddle::runProgram({ "sagesaddle-gateway", SAGESADDLE_VERSION, usage }, [&] {
        return runMain({ values + 1, values + count });
    });
}
