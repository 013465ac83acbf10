#include "Settings/program_main.h"

#include "Settings/settings_reader.h"

#include <docopt/docopt.h>
#include <iostream>

namespace sagesaddle {

namespace {

constexpr int exitFailure = 1;
constexpr int exitInvalidInput = 2;

} // namespace

int runProgram(const program_info& info, const std::function<int()>& run)
{
    try {
        return run();
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << info.usage;
        return 0;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << info.name << " " << info.version << std::endl;
        return 0;
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n" << info.usage;
        return exitInvalidInput;
    } catch (const settings_error& error) {
        std::cerr << error.what() << std::endl;
        return exitInvalidInput;
    } catch (const std::exception& error) {
        std::cerr << info.name << ": " << error.what() << std::endl;
        return exitFailure;
    }
}

} // namespace sagesaddle
