#include "Fakes/fake_program.h"

#include "Base/stop_signals.h"
#include "Fakes/fake_call.h"

#include <array>
#include <civetweb.h>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace sagesaddle::testing {

namespace {

constexpr milliseconds keepAliveTimeout { 60000 };
constexpr std::uint32_t defaultWorkers = 64;

fake_arguments parseArguments(int argc, char** argv, const char* usage)
{
    const auto parsed = docopt::docopt(usage, { argv + 1, argv + argc });
    fake_arguments result;
    for (const auto& [name, value] : parsed) {
        if (name == "--listen") {
            for (const auto& text : value.asStringList())
                result.listen.push_back(parseAddress(text));
        } else if (value.isStringList()) {
            result.preload = value.asStringList();
        } else if (value.isString()) {
            result.values[name.substr(2)] = value.asString();
        }
    }
    return result;
}

void handleErrors(const fake_handler& handle, http_call& call, const address& listener)
{
    try {
        handle(call, listener);
    } catch (const std::exception& error) {
        if (!call.answered())
            respondJson(call, 400, { { "error", error.what() } });
    }
}

} // namespace

std::uint64_t fake_arguments::number(const std::string& name) const
{
    return std::stoull(values.at(name));
}

int runFake(
    int argc, char** argv, const char* usage, const std::function<fake_handler(const fake_arguments&)>& make)
{
    const stop_signals signals;
    try {
        const fake_arguments arguments = parseArguments(argc, argv, usage);
        const fake_handler handle = make(arguments);
        const auto workers = arguments.values.find("workers");
        std::vector<std::unique_ptr<http_server>> servers;
        for (const address& listener : arguments.listen) {
            http_server::options options;
            options.listen = listener;
            options.workers
                = workers == arguments.values.end() ? defaultWorkers : std::stoul(workers->second);
            options.keepAliveTimeout = keepAliveTimeout;
            servers.push_back(std::make_unique<http_server>(
                options, [handle, listener](http_call& call) { handleErrors(handle, call, listener); }));
        }
        std::cout << R"({"level":"info","message":"fake started"})" << std::endl;
        signals.wait();
        // A fake has no lasting state, so that it needs no orderly shutdown.
        std::_Exit(EXIT_SUCCESS);
    } catch (const std::exception& error) {
        std::cerr << argv[0] << ": " << error.what() << '\n';
        std::_Exit(EXIT_FAILURE);
    }
}

nlohmann::json readJson(http_call& call)
{
    std::string body;
    if (call.readBody(body, maxBodyBytes) != body_failure::None)
        throw std::runtime_error("the body did not come whole");
    return nlohmann::json::parse(body);
}

void respondJson(http_call& call, std::uint16_t status, const nlohmann::json& body)
{
    call.respond(status, { { "Content-Type", "application/json" } }, body.dump());
}

std::uint64_t queryNumber(const http_call& call, const char* name, std::uint64_t fallback)
{
    const std::string query = call.query();
    std::array<char, 32> text {};
    if (mg_get_var(query.data(), query.size(), name, text.data(), text.size()) <= 0)
        return fallback;
    return std::stoull(text.data());
}

bool consumeFault(std::uint32_t& remaining)
{
    if (remaining == 0)
        return false;
    --remaining;
    return true;
}

} // namespace sagesaddle::testing
