#include "Agree/fake_log_server.h"
#include "Command/record_fixture.h"
#include "Command/run_command.h"
#include "Record/json_text.h"

#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

TEST_CASE("check: says whether a folder is valid, references included")
{
    const record_fixture records(teamFile("gold"));
    CHECK(runCommand(check_request { records.path() }).code == exit_code::Done);
    records.write("schema = 1\n[[placement]]\nmodel = \"m\"\nupstream = \"u\"\n");
    const command_report report = runCommand(check_request { records.path() });
    CHECK(report.code == exit_code::InvalidRecords);
    CHECK(report.text.find("model \"m\", which does not exist") != std::string::npos);
    CHECK(runCommand(check_request { "/nowhere" }).code == exit_code::InvalidRecords);
}

TEST_CASE("apply: a folder takes effect once, and applying it again changes nothing")
{
    fake_log_server log;
    const record_fixture records(teamFile("gold"));
    const command_report first = runCommand(records.makeApplyRequest(log.first(), "ann"));
    CHECK(first.code == exit_code::Done);
    CHECK(first.document.at("outcome") == "accepted");
    CHECK(first.text.find("accepted at offset 0: revision 1") != std::string::npos);
    const command_report second = runCommand(records.makeApplyRequest(log.first(), "ann"));
    CHECK(second.document.at("outcome") == "unchanged");
    CHECK(log.end() == 1);
}

TEST_CASE("apply: the operator who loses a race is told who won")
{
    fake_log_server log;
    const record_fixture records(teamFile("gold"));
    runCommand(records.makeApplyRequest(log.first(), "ann"));
    records.write(teamFile("tin"));
    apply_request late = records.makeApplyRequest(log.first(), "bob");
    late.revision = 0;
    const command_report report = runCommand(late);
    CHECK(report.code == exit_code::LostRace);
    CHECK(report.document.at("winner").at("operator") == "ann");
    CHECK(report.text.find("\"ann\" won") != std::string::npos);
}

TEST_CASE("apply: an append that is repeated after its answer was lost takes effect once")
{
    fake_log_server log;
    log.setFaults(R"({"lose_answers":2})");
    const record_fixture records(teamFile("gold"));
    const command_report report = runCommand(records.makeApplyRequest(log.first(), "ann"));
    CHECK(report.code == exit_code::Done);
    CHECK(report.document.at("offset") == 0);
    CHECK(log.end() == 3);
}

TEST_CASE("apply: an unreachable log is reported")
{
    fake_log_server log;
    log.setFaults(R"({"away":true})");
    const record_fixture records(teamFile("gold"));
    const command_report report = runCommand(records.makeApplyRequest(log.first(), "ann"));
    CHECK(report.code == exit_code::LogUnreachable);
    CHECK(report.document.at("error").get<std::string>().find("the log answered that it is unavailable")
        != std::string::npos);
}

TEST_CASE("apply: records that the fleet cannot accept are not appended")
{
    fake_log_server log;
    const record_fixture records("schema = 1\n[[route]]\npath_prefix = \"/x\"\nservice = \"none\"\n");
    CHECK(runCommand(records.makeApplyRequest(log.first(), "ann")).code == exit_code::InvalidRecords);
    CHECK(log.end() == 0);
}

TEST_CASE("diff: shows what apply would do and against which revision")
{
    fake_log_server log;
    const record_fixture records(teamFile("gold"));
    runCommand(records.makeApplyRequest(log.first(), "ann"));
    records.write(teamFile("tin"));
    const command_report report = runCommand(diff_request { records.path(), log.first() });
    CHECK(report.text.find("+ team \"tin\"") != std::string::npos);
    CHECK(report.text.find("- team \"gold\"") != std::string::npos);
    CHECK(report.document.at("revision") == 1);
    CHECK(log.end() == 1);
}

TEST_CASE("keys: the record of a new key contains only the hash of the secret")
{
    const command_report report = runCommand(keys_new_request { "gold", "gold-2" });
    const std::string secret = report.document.at("secret");
    CHECK(report.document.at("key").at("secret_sha256") == sha256Hex(secret));
    CHECK(secret.size() == 64);
    const command_report other = runCommand(keys_new_request { "gold", "" });
    CHECK(other.document.at("secret") != secret);
}

TEST_CASE("keys: a withdrawn key is listed as such, and a stale folder cannot bring it back")
{
    fake_log_server log;
    const record_fixture records(teamFile("gold"));
    runCommand(records.makeApplyRequest(log.first(), "ann"));
    const keys_withdraw_request withdraw { "gold-key", log.first(), "bob", {} };
    CHECK(runCommand(withdraw).code == exit_code::Done);
    CHECK(runCommand(withdraw).document.at("outcome") == "unchanged");
    CHECK(runCommand(keys_list_request { log.first() }).document.at("keys").at(0).at("withdrawn") == true);
    CHECK(runCommand(records.makeApplyRequest(log.first(), "ann")).code == exit_code::InvalidRecords);
    CHECK(runCommand(keys_withdraw_request { "none", log.first(), "bob", {} }).code == exit_code::NotFound);
}
