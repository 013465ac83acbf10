#include "fault_injector.h"
#include "measured_fleet.h"
#include "run_summary.h"
#include "workload.h"
#include "workload_sender.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace {

constexpr const char* usage
    = R"(Measures the decisions under load and faults with the real daemons and stand-ins.

Usage:
  sagesaddle-measure --deployment NAME --policy POLICY --seed N [--outcomes FILE]

Options:
  --deployment NAME  consortium or kuusela.
  --policy POLICY    naive (the baselines) or current.
  --seed N           Seed of the trace.
  --outcomes FILE    Write what became of each request to this file, a JSON line each.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace sagesaddle::measure;
    try {
        const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
        const deployment sizes = findDeployment(arguments.at("--deployment").asString());
        const std::string policy = arguments.at("--policy").asString();
        if (policy != "naive" && policy != "current")
            throw std::invalid_argument("no policy '" + policy + "'; name naive or current");
        const auto seed = std::stoull(arguments.at("--seed").asString());
        const workload load = generateWorkload(sizes, seed);
        measured_fleet fleet(sizes, load, policy == "naive");
        const auto before = fleet.counts();
        const auto outcomes = runWorkload(load, fleet);
        if (const auto& file = arguments.at("--outcomes"))
            writeOutcomes(file.asString(), load, outcomes);
        fleet_counts counts = fleet.counts();
        counts.moves -= before.moves;
        nlohmann::ordered_json line { { "deployment", sizes.name }, { "policy", policy }, { "seed", seed } };
        line.update(summarize(sizes, load, outcomes, counts, fault_injector::faultPeriods()));
        std::puts(line.dump().c_str());
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "sagesaddle-measure: %s\n", error.what());
        return 1;
    }
}
