#include "Settings/program_main.h"

#include "Settings/settings_reader.h"

#include <docopt/docopt.h>
#include <iostream>

namespace sagesaddle {

namespace {

constexpr int failed = 1;
constexpr int wrongSettings = 2;

} // namespace

int runProgram(const program_text& text, const std::function<int()>& run)
{
    try {
        return run();
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << text.usage;
        return 0;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << text.name << " " << text.version << std::endl;
        return 0;
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n" << text.usage;
        return wrongSettings;
    } catch (const settings_error& error) {
        std::cerr << error.what() << std::endl;
        return wrongSettings;
    } catch (const std::exception& error) {
        std::cerr << text.name << ": " << error.what() << std::endl;
        return failed;
    }
}

} // namespace sagesaddle
