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

/// \brief A stand-in's command line.
struct fake_arguments {
    /// Every address it listens on.
    std::vector<address> listen;
    /// Values of the other options, by name without the dashes.
    std::map<std::string, std::string> values;
    std::vector<std::string> preload;

    /// \return the option as a number.
    std::uint64_t number(const std::string& name) const;
};

/// Answers calls that reach one listening address.
using fake_handler = std::function<void(http_call&, const address& listener)>;

/// Runs a stand-in until SIGTERM.
/// \param usage the docopt text of its command line
/// \param make builds the stand-in from its arguments
/// \return the process's exit code
int runFake(
    int argc, char** argv, const char* usage, const std::function<fake_handler(const fake_arguments&)>& make);

/// \return the call's body as JSON.
/// \throws std::exception where it is none
nlohmann::json readJson(http_call& call);

void respondJson(http_call& call, std::uint16_t status, const nlohmann::json& body);

/// \return a number of the query, or the fallback where it is not there.
std::uint64_t queryNumber(const http_call& call, const char* name, std::uint64_t fallback);

/// Overwrites a switch where the document names it.
template <typename Value> void setIfPresent(const nlohmann::json& document, const char* name, Value& value)
{
    if (const auto found = document.find(name); found != document.end())
        value = found->template get<Value>();
}

/// Uses up one of a counted fault.
/// \return whether there was one left
bool consumeFault(std::uint32_t& count);

} // namespace sagesaddle::testing
