#include "Record/record_error.h"
#include "Record/record_folder.h"

#include <doctest/doctest.h>

using namespace sagesaddle;

namespace {

const std::string secretHash(64, 'a');

record_folder parse(const std::string& text)
{
    record_folder folder;
    parseRecordFile(text, "fleet.toml", folder);
    return folder;
}

std::string failureOf(const std::string& text)
{
    try {
        parse(text);
    } catch (const record_error& error) {
        return error.what();
    }
    return "accepted";
}

// Whether the text contains all parts.
bool containsAll(const std::string& text, std::initializer_list<const char*> parts)
{
    for (const char* part : parts)
        if (text.find(part) == std::string::npos)
            return false;
    return true;
}

} // namespace

TEST_CASE("record folder: every table is read")
{
    const record_folder folder = parse(R"(schema = 2
[[team]]
name = "gold"
rate_tokens_per_s = 10
burst_tokens = 20.5
default_priority = "batch"
[[key]]
id = "gold-1"
team = "gold"
secret_sha256 = ")"
        + secretHash + R"("
[[model]]
name = "draft"
memory_mb = 800
[[upstream]]
name = "drafting-1"
kind = "engine"
region = "r"
zone = "z"
side = "127.0.0.1:1001"
target = "127.0.0.1:1002"
memory_mb = 64000
slots = 8
[[route]]
path_prefix = "/orders"
service = "ledger"
deadline_ms = 500
[[placement]]
model = "draft"
upstream = "drafting-1"
pinned = true
[[entry]]
name = "entry-a"
region = "r"
zone = "z"
peer = "127.0.0.1:1003"
admin = "127.0.0.1:1004"
)");
    REQUIRE(folder.objects.size() == 7);
    CHECK(folder.schema == 2);
    CHECK(std::get<team>(folder.objects[0].value) == team { "gold", 10, 20.5, priority::Batch });
    CHECK(std::get<route>(folder.objects[4].value) == route { "/orders", "ledger", false, false, 500 });
    CHECK(std::get<placement>(folder.objects[5].value).pinned);
    CHECK(std::get<entry_config>(folder.objects[6].value).admin.port == 1004);
}

TEST_CASE("record folder: an error names file, table, key, allowed range and remedy")
{
    const std::string failure
        = failureOf("schema = 1\n[[team]]\nname = \"gold\"\nrate_tokens_per_s = -1\nburst_tokens = 1\n");
    CHECK_MESSAGE(
        containsAll(failure, { "fleet.toml:2", "[[team]]", "rate_tokens_per_s", "-1", "0", "Correct" }),
        failure);
}

TEST_CASE("record folder: unknown, missing and newer fields are rejected")
{
    const std::string team = "[[team]]\nname = \"gold\"\nrate_tokens_per_s = 1\n";
    CHECK(containsAll(failureOf("schema = 1\n" + team), { "burst_tokens", "missing" }));
    CHECK(containsAll(
        failureOf("schema = 1\n" + team + "burst_tokens = 1\nbrust = 2\n"), { "brust", "not a field" }));
    CHECK(containsAll(failureOf("schema = 1\n" + team + "burst_tokens = 1\ndefault_priority = \"batch\"\n"),
        { "default_priority", "schema 2" }));
    CHECK(containsAll(failureOf("schema = 3\n"), { "schema", "1 or 2" }));
    CHECK(containsAll(failureOf(team), { "schema", "missing" }));
    CHECK(containsAll(failureOf("schema = 1\n[[teem]]\nname = \"x\"\n"), { "teem", "[[team]]" }));
    CHECK(containsAll(failureOf("schema = 1\n[team]\nname = \"x\"\n"), { "[[team]]" }));
    CHECK(containsAll(failureOf("schema = 1\n[[team\n"), { "fleet.toml:2", "TOML" }));
}

TEST_CASE("record folder: the change contains only objects that differ")
{
    fleet_state state;
    state.revision = 7;
    state.teams["gold"] = { "gold", 1, 1 };
    state.teams["tin"] = { "tin", 1, 1 };
    const record_folder folder
        = parse("schema = 1\n[[team]]\nname = \"gold\"\nrate_tokens_per_s = 1\nburst_tokens = 1\n"
                "[[team]]\nname = \"iron\"\nrate_tokens_per_s = 1\nburst_tokens = 1\n");
    const change_record change = makeFolderChange(state, folder, "ann");
    CHECK(change.baseRevision == 7);
    REQUIRE(change.put.size() == 1);
    CHECK(refOf(change.put[0].value).name == "iron");
    CHECK(change.remove == std::vector<object_ref> { { object_kind::Team, "tin" } });
}
