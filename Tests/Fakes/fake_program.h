#pragma once

#include "Base/address.h"
#include "Serve/http_server.h"

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sagesaddle::testing {

/// \brief Command line of a fake.
struct fake_arguments {
    /// All addresses to listen on.
    std::vector<address> listen;
    /// Values of the other options, by name without the dashes.
    std::map<std::string, std::string> values;
    /// Values of `--preload`, the only other option that may be repeated.
    std::vector<std::string> preload;

    /// \return the value of an option as a number.
    /// \throws std::exception where the option is missing or is not a number
    std::uint64_t number(const std::string& name) const;
};

/// Answers a request that arrived on a listening address.
using fake_handler = std::function<void(http_call&, const address& listener)>;

/// \brief Runs a fake until SIGTERM.
/// \param usage docopt text of its command line
/// \param make creates the fake from its arguments
/// \return the exit code of the process
int runFake(
    int argc, char** argv, const char* usage, const std::function<fake_handler(const fake_arguments&)>& make);

/// \return the body of the request as JSON.
/// \throws std::exception where it is incomplete or not JSON
nlohmann::json readJson(http_call& call);

void respondJson(http_call& call, std::uint16_t status, const nlohmann::json& body);

/// \return a number from the query of the request, or the fallback where the query does not have it.
/// \throws std::exception where the value is not a number
std::uint64_t queryNumber(const http_call& call, const char* name, std::uint64_t fallback);

/// \brief Sets a value where the document has a member of that name.
template <typename Value> void setIfPresent(const nlohmann::json& document, const char* name, Value& value)
{
    if (const auto found = document.find(name); found != document.end())
        value = found->template get<Value>();
}

/// \brief Decides whether the present request meets a fault that is set for a number of requests.
/// \param remaining requests that still are to meet the fault; reduced by one unless it is 0
/// \return whether the request meets it
bool consumeFault(std::uint32_t& remaining);

} // namespace sagesaddle::testing
