#include "Settings/settings_reader.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

std::string faultsOf(settings_reader& reader)
{
    try {
        reader.finish();
    } catch (const settings_error& error) {
        return error.what();
    }
    return {};
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("settings: values are read, and absent ones have their fallback")
{
    settings_reader reader("a.toml",
        "[process]\nname = \"entry-a\"\n[callers]\nlisten = \"127.0.0.1:80\"\nworkers = 8\nshare = 0.5\non = "
        "true\n");
    CHECK(reader.requiredName("process", "name") == "entry-a");
    CHECK(reader.requiredAddress("callers", "listen") == address { "127.0.0.1", 80 });
    CHECK(reader.integer("callers", "workers", 1, { 1, 10 }) == 8);
    CHECK(reader.number("callers", "share", 0, 0, 1) == 0.5);
    CHECK(reader.flag("callers", "on", false));
    CHECK(reader.duration("callers", "wait_ms", milliseconds(5), { 0, 10 }) == milliseconds(5));
    CHECK_FALSE(reader.optionalAddress("hosts", "address").has_value());
    CHECK(faultsOf(reader).empty());
}

TEST_CASE("settings: one error lists all faults of a file with file, key, range and remedy")
{
    settings_reader reader("a.toml",
        "[process]\nname = \"a b\"\n[callers]\nlisten = \"127.0.0.1\"\nworkers = 0\nshare = nan\nlevel = "
        "3\n");
    reader.requiredName("process", "name");
    reader.requiredAddress("callers", "listen");
    reader.requiredAddress("log", "address");
    CHECK(reader.integer("callers", "workers", 4, { 1, 512 }) == 4);
    reader.number("callers", "share", 0, 0, 1);
    reader.choice("callers", "level", "info", { "info", "error" });
    const std::string faults = faultsOf(reader);
    CHECK(contains(faults, "a.toml: [process] name: \"a b\" is no name"));
    CHECK(contains(faults, "a.toml: [callers] listen: "));
    CHECK(contains(faults, "a.toml: [log] address: is missing; set it to ip:port"));
    CHECK(contains(faults, "[callers] workers: 0 is out of range; allowed: 1 to 512; set a value"));
    CHECK(contains(faults, "[callers] share: nan is out of range"));
    CHECK(contains(faults, "[callers] level: must be a text"));
}

TEST_CASE("settings: unknown sections and keys are rejected")
{
    settings_reader reader("a.toml", "[callers]\nworker = 3\n[cal]\nx = 1\n");
    reader.integer("callers", "workers", 4, { 1, 512 });
    const std::string faults = faultsOf(reader);
    CHECK(contains(faults, "a.toml: [callers] worker: unknown key; allowed: workers;"));
    CHECK(contains(faults, "a.toml: [cal]: unknown section; allowed: callers"));
}

TEST_CASE("settings: invalid TOML is reported with its line")
{
    try {
        const settings_reader reader("a.toml", "[callers]\nworkers = = 3\n");
        FAIL("accepted invalid TOML");
    } catch (const settings_error& error) {
        CHECK(contains(error.what(), "a.toml: line 2: is no TOML"));
    }
}

TEST_CASE("settings: a list of strings is read, and anything else in its place is a fault that names the key")
{
    settings_reader reader("file", "[deployment]\nparts = [\"health\", \"rates\"]\n");
    CHECK(reader.textList("deployment", "parts") == std::vector<std::string> { "health", "rates" });
    CHECK(reader.textList("deployment", "absent").empty());
    reader.finish();
    settings_reader wrong("file", "[deployment]\nparts = [\"health\", 7]\n");
    CHECK(wrong.textList("deployment", "parts").empty());
    CHECK_THROWS_WITH_AS(wrong.finish(), doctest::Contains("parts"), settings_error);
}
