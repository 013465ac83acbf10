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

/// \return the text from a position to the next end mark, and the position after that mark.
std::pair<std::string, std::size_t> textBefore(
    const std::string& text, std::size_t from, const std::string& end)
{
    const std::size_t at = text.find(end, from);
    REQUIRE(at != std::string::npos);
    return { text.substr(from, at - from), at + end.size() };
}

/// \return the content of a section once for each entry of a comma-separated list. {{.}} is the entry, and
/// {{,}} a comma except after the last one.
std::string repeatSection(const std::string& content, const std::string& list)
{
    std::string text;
    std::stringstream entries(list);
    for (std::string entry; std::getline(entries, entry, ',');) {
        std::string item = content;
        item.replace(item.find("{{.}}"), 5, entry);
        item.replace(item.find("{{,}}"), 5, entries.eof() ? "" : ",");
        text += item;
    }
    return text;
}

/// Replaces each section {{#NAME}}...{{/NAME}} by its content if NAME has a value, and removes it otherwise.
std::string resolveSections(std::string text, const template_values& values)
{
    for (std::size_t at = 0; (at = text.find("{{#")) != std::string::npos;) {
        const auto [name, contentFrom] = textBefore(text, at + 3, "}}");
        const auto [sectionText, end] = textBefore(text, contentFrom, "{{/" + name + "}}");
        if (name == "contracts" && values.contains(name))
            text.replace(at, end - at, repeatSection(sectionText, values.at(name)));
        else
            text.replace(at, end - at, values.contains(name) ? sectionText : "");
    }
    return text;
}

/// Replaces each {{NAME}} by its value, or by nothing if it has none.
std::string resolveValues(std::string text, const template_values& values)
{
    for (std::size_t at = 0; (at = text.find("{{")) != std::string::npos;) {
        const auto [name, end] = textBefore(text, at + 2, "}}");
        const auto found = values.find(name);
        text.replace(at, end - at, found == values.end() ? "" : found->second);
    }
    return text;
}

/// Fills in the template as the platform does: first the sections, then the values.
std::string fillTemplate(const std::map<std::string, std::string>& values)
{
    std::ifstream file(SAGESADDLE_TEMPLATE);
    std::stringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    return resolveValues(resolveSections(text, values), values);
}

std::map<std::string, std::string> requiredValues()
{
    return { { "node-name", "front-tbs-a-1" }, { "zone", "tbs-a" }, { "ip", "10.1.0.25" },
        { "listen.front", "10.1.0.25:8221" }, { "listen.readiness-address", "10.1.0.25:8224" },
        { "internal-ports.0", "7600" }, { "internal-ports.1", "7615" },
        { "platform.address", "10.200.1.7:8225" } };
}

gateway_settings parse(const std::map<std::string, std::string>& values)
{
    settings_reader reader("filled", fillTemplate(values));
    return parseGatewaySettings(reader);
}

} // namespace

TEST_CASE("settings template: the values that the platform fills in are parsed")
{
    auto values = requiredValues();
    values.insert({ { "bounds.grace-s", "8" }, { "bounds.revoke-ms", "5000" }, { "bounds.lease-ms", "2500" },
        { "bounds.retry-budget-ratio", "0.2" }, { "bounds.budget-slack", "52" }, { "limits.max-fds", "4200" },
        { "limits.memory-mb", "120" } });
    const auto settings = parse(values);
    CHECK(settings.callerListenAddress == address { "10.1.0.25", 8221 });
    CHECK(settings.peerListenAddress == address { "10.1.0.25", 7600 });
    CHECK(settings.metricsListenAddress == address { "10.1.0.25", 7615 });
    CHECK(settings.grace == seconds(8));
    CHECK(settings.handoverPause == milliseconds(2500));
    CHECK(settings.retrySlack == doctest::Approx(52));
    CHECK(settings.descriptors == 4200);
    CHECK(settings.memoryMegabytes == doctest::Approx(120));
}

TEST_CASE("settings template: bounds that the deployment leaves out have their defaults")
{
    const auto settings = parse(requiredValues());
    CHECK(settings.revocationBound == gateway_settings {}.revocationBound);
    auto values = requiredValues();
    values["bounds.grace-s"] = "2.5";
    CHECK(parse(values).grace == milliseconds(2500));
}

TEST_CASE("settings template: the speeds of upstreams are learned where the health contract is in force")
{
    auto values = requiredValues();
    CHECK_FALSE(parse(values).hasUnsteadyUpstreams);
    values["contracts"] = "rates";
    CHECK_FALSE(parse(values).hasUnsteadyUpstreams);
    values["contracts"] = "rates,health";
    CHECK(parse(values).hasUnsteadyUpstreams);
    CHECK(settingsNeedingRestart(parse(requiredValues()), parse(values))
        == std::vector<std::string> { "deployment.parts" });
}

TEST_CASE("settings: a value out of range or malformed is rejected, naming the key")
{
    auto values = requiredValues();
    values["bounds.revoke-ms"] = "0";
    CHECK_THROWS_WITH_AS(parse(values), doctest::Contains("revoke_ms"), settings_error);
    values = requiredValues();
    values["platform.address"] = "nowhere";
    CHECK_THROWS_WITH_AS(parse(values), doctest::Contains("address"), settings_error);
}

TEST_CASE("settings: without a path from the platform, the error names the option to give")
{
    unsetenv("SAGESADDLE_NODE_FILE");
    CHECK_THROWS_WITH(platform::settingsPath(), doctest::Contains("--config"));
}
