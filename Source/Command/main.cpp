#include "Command/run_command.h"

#include <docopt/docopt.h>
#include <iostream>
#include <stdexcept>

namespace {

int toProcessStatus(sagesaddle::exit_code code)
{
    return static_cast<int>(code);
}

int runMain(const std::vector<std::string>& arguments)
{
    const sagesaddle::command_line line = sagesaddle::parseCommandLine(arguments);
    const sagesaddle::command_report report = sagesaddle::runCommand(line.request);
    if (line.json)
        std::cout << report.document.dump() << std::endl;
    else
        (report.code == sagesaddle::exit_code::Done ? std::cout : std::cerr) << report.text << std::flush;
    return toProcessStatus(report.code);
}

} // namespace

int main(int count, char** values)
{
    try {
        return runMain({ values + 1, values + count });
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << sagesaddle::commandUsage();
        return toProcessStatus(sagesaddle::exit_code::Done);
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "sagesaddle " SAGESADDLE_VERSION << std::endl;
        return toProcessStatus(sagesaddle::exit_code::Done);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\nsagesaddle --help lists the commands." << std::endl;
        return toProcessStatus(sagesaddle::exit_code::Failed);
    }
}
