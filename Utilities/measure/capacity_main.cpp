#include "Support/child_process.h"
#include "Support/fleet.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>

namespace {

constexpr const char* usage
    = R"(Measures what idle daemons cost by the size of the fleet, with real processes.

Usage:
  sagesaddle-capacity --entries N --engines N [--seconds N]

Options:
  --entries N  Entry processes.
  --engines N  Engines, each with its side process.
  --seconds N  How long to measure [default: 10].
)";

using namespace sagesaddle::testing;

/// \brief CPU time that a process has used, and its resident memory.
struct process_use {
    double cpuSeconds { 0 };
    double residentMb { 0 };
};

// Reads /proc/PID/stat; the fields are numbered from 1, and the text after the program's name begins with
// field 3.
process_use readUse(pid_t pid)
{
    constexpr int ticksField = 14;
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < ticksField; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    constexpr int residentField = 24;
    for (int field = ticksField + 2; field < residentField; ++field)
        fields >> skipped;
    double pages = 0;
    fields >> pages;
    constexpr double bytesPerMb = 1024.0 * 1024.0;
    return { (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
        pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMb };
}

nlohmann::json formatUse(const process_use& before, const process_use& after, double seconds)
{
    return { { "cpu_percent_of_core", 100 * (after.cpuSeconds - before.cpuSeconds) / seconds },
        { "resident_mb", after.residentMb } };
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
        fleet_options plan;
        plan.entries = std::stoul(arguments.at("--entries").asString());
        plan.engines = std::stoul(arguments.at("--engines").asString());
        plan.services = 0;
        plan.engineOptions = { "--workers", "8" };
        const double seconds = std::stod(arguments.at("--seconds").asString());
        fleet processes(plan);
        const pid_t entry = processes.entry(0).process->pid();
        const pid_t side = processes.engineSide(0).process->pid();
        const process_use entryBefore = readUse(entry);
        const process_use sideBefore = readUse(side);
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
        const nlohmann::json line { { "entries", plan.entries }, { "engines", plan.engines },
            { "entry", formatUse(entryBefore, readUse(entry), seconds) },
            { "side", formatUse(sideBefore, readUse(side), seconds) } };
        std::puts(line.dump().c_str());
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "sagesaddle-capacity: %s\n", error.what());
        return 1;
    }
}
