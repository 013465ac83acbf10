#include "Gateway/gateway_settings.h"
#include "Settings/settings_reader.h"
#include "settings_path.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <map>
#include <sstream>

using namespace sagesaddle;

namespace {

using template_values = std::map<std::string, std::string>;

/// \return what stands between the marks that begin at a position, and where the end mark ends.
std::pair<std::string, std::size_t> between(const std::string& text, std::size_t from, const std::string& end)
{
    const std::size_t at = text.find(end, from);
    REQUIRE(at != std::string::npos);
    return { text.substr(from, at - from), at + end.size() };
}

/// Keeps the sections that have a value.
std::string withSections(std::string text, const template_values& values)
{
    for (std::size_t at = 0; (at = text.find("{{#")) != std::string::npos;) {
        const auto [name, contentFrom] = between(text, at + 3, "}}");
        const auto [content, end] = between(text, contentFrom, "{{/" + name + "}}");
        text.replace(at, end - at, values.contains(name) ? content : "");
    }
    return text;
}

/// Puts values in place of their names; nothing where there is none.
std::string withValues(std::string text, const template_values& values)
{
    for (std::size_t at = 0; (at = text.find("{{")) != std::string::npos;) {
        const auto [name, end] = between(text, at + 2, "}}");
        const auto found = values.find(name);
        text.replace(at, end - at, found == values.end() ? "" : found->second);
    }
    return text;
}

/// Fills the template as the platform does: sections once where there is a value, and values in place.
std::string filled(const std::map<std::string, std::string>& values)
{
    std::ifstream file(SAGESADDLE_TEMPLATE);
    std::stringstream read;
    read << file.rdbuf();
    std::string text = read.str();
    return withValues(withSections(text, values), values);
}

std::map<std::string, std::string> needed()
{
    return { { "node-name", "front-tbs-a-1" }, { "zone", "tbs-a" }, { "ip", "10.1.0.25" },
        { "listen.front", "10.1.0.25:8221" }, { "listen.readiness-address", "10.1.0.25:8224" },
        { "internal-ports.0", "7600" }, { "internal-ports.1", "7615" },
        { "platform.address", "10.200.1.7:8225" } };
}

gateway_settings parse(const std::map<std::string, std::string>& values)
{
    settings_reader reader("filled", filled(values));
    return parseGatewaySettings(reader);
}

} // namespace

TEST_CASE("settings template: what the platform fills in is read")
{
    auto values = needed();
    values.insert({ { "bounds.grace-s", "8" }, { "bounds.revoke-ms", "5000" }, { "bounds.lease-ms", "2500" },
        { "bounds.retry-budget-ratio", "0.2" }, { "bounds.budget-slack", "52" },
        { "limits.max-fds", "4200" } });
    const auto settings = parse(values);
    CHECK(settings.callers == address { "10.1.0.25", 8221 });
    CHECK(settings.peers == address { "10.1.0.25", 7600 });
    CHECK(settings.metrics == address { "10.1.0.25", 7615 });
    CHECK(settings.grace == seconds(8));
    CHECK(settings.handoverPause == milliseconds(2500));
    CHECK(settings.retrySlack == doctest::Approx(52));
    CHECK(settings.descriptors == 4200);
}

TEST_CASE("settings template: a deployment without some bounds has the standard ones")
{
    const auto settings = parse(needed());
    CHECK(settings.revocationBound == gateway_settings {}.revocationBound);
    auto values = needed();
    values["bounds.grace-s"] = "2.5";
    CHECK(parse(values).grace == milliseconds(2500));
}

TEST_CASE("settings: a wrong value is refused with section, key and range")
{
    auto values = needed();
    values["bounds.revoke-ms"] = "0";
    CHECK_THROWS_WITH_AS(parse(values), doctest::Contains("revoke_ms"), settings_error);
    values = needed();
    values["platform.address"] = "nowhere";
    CHECK_THROWS_WITH_AS(parse(values), doctest::Contains("address"), settings_error);
}

TEST_CASE("settings: where the platform names no place, the error says what to do")
{
    unsetenv("SAGESADDLE_NODE_FILE");
    CHECK_THROWS_WITH(platform::settingsPath(), doctest::Contains("--config"));
}
