#include "load_run.h"

#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

constexpr const char* usage
    = R"(Sends the same request over many connections and prints what was measured as one line of JSON.

Usage:
  sagesaddle-load (--to ADDRESS)... [--streams N] [--requests N] [--seconds S] [--path PATH] [--key SECRET]
                  [--team TEAM] [--model MODEL] [--tokens N] [--stream]

Options:
  --to ADDRESS   Where to send, as ip:port; the connections are spread over several.
  --streams N    Requests under way at once, 1 to 1000 [default: 1].
  --requests N   Most requests in all [default: 1000].
  --seconds S    Longest time in which requests are started, 1 to 600 [default: 10].
  --path PATH    Where the request goes [default: /v1/chat/completions].
  --key SECRET   The caller's key.
  --team TEAM    Sent as X-Sagesaddle-Team, for calling an engine itself.
  --model MODEL  The model [default: shared].
  --tokens N     Tokens of an answer [default: 16].
  --stream       Asks for a stream of events.
)";

using namespace sagesaddle;
using option_values = std::map<std::string, docopt::value>;

long boundedOption(const option_values& options, const std::string& name, long min, long max)
{
    const long value = options.at(name).asLong();
    if (value < min || value > max)
        throw std::invalid_argument(
            name + " must be from " + std::to_string(min) + " to " + std::to_string(max));
    return value;
}

http_request parseRequest(const option_values& options)
{
    http_request request;
    request.method = "POST";
    request.target = options.at("--path").asString();
    request.timeout = seconds(60);
    request.headers = { { "Content-Type", "application/json" } };
    if (options.at("--key"))
        request.headers.emplace_back("Authorization", "Bearer " + options.at("--key").asString());
    if (options.at("--team"))
        request.headers.emplace_back("X-Sagesaddle-Team", options.at("--team").asString());
    request.body = nlohmann::json {
        { "model", options.at("--model").asString() },
        { "max_tokens", boundedOption(options, "--tokens", 1, 100000) },
        { "stream", options.at("--stream").asBool() },
        { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", "two saddles in oak" } } }) }
    }.dump();
    return request;
}

load_test_plan parsePlan(const option_values& options)
{
    load_test_plan plan;
    for (const std::string& text : options.at("--to").asStringList())
        plan.servers.push_back(parseAddress(text));
    plan.request = parseRequest(options);
    plan.streams = static_cast<std::uint32_t>(boundedOption(options, "--streams", 1, 1000));
    plan.requests = static_cast<std::uint64_t>(boundedOption(options, "--requests", 1, 10000000));
    plan.duration = seconds(boundedOption(options, "--seconds", 1, 600));
    return plan;
}

} // namespace

int main(int argc, char** argv)
{
    const option_values options = docopt::docopt(usage, { argv + 1, argv + argc });
    try {
        std::cout << runLoadTest(parsePlan(options)).formatJson().dump() << '\n';
        return EXIT_SUCCESS;
    } catch (const std::exception& error) {
        std::cerr << "sagesaddle-load: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
