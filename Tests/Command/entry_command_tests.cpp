#include "Agree/fake_log_server.h"
#include "Command/record_fixture.h"
#include "Command/run_command.h"
#include "Support/free_port.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

// Admin server of an entry that has a given revision and knows one trace.
class fake_admin_server {
public:
    explicit fake_admin_server(std::uint64_t revision)
        : m_revision(revision)
        , m_listen(freeAddress())
        , m_server({ .listen = m_listen }, [this](http_call& call) { answer(call); })
    {
    }

    const address& listen() const { return m_listen; }

private:
    void answer(http_call& call)
    {
        const bool isKnown = call.query() == "trace=" + std::string(32, '1');
        if (call.path() == "/admin/explain")
            return call.respond(
                200, {}, isKnown ? R"({"decisions":[{"steps":["routed to u"]}]})" : R"({"decisions":[]})");
        const nlohmann::json status { { "name", "entry-a" }, { "revision", m_revision }, { "fresh", true } };
        call.respond(200, {}, status.dump());
    }

    std::uint64_t m_revision;
    address m_listen;
    http_server m_server;
};

} // namespace

TEST_CASE("apply: reports the entries where the change is in force and those that did not confirm it")
{
    fake_log_server log;
    const record_fixture records(teamFile("gold"));
    const fake_admin_server current(1);
    const fake_admin_server behind(0);
    apply_request request = records.makeApplyRequest(log.first(), "ann");
    request.entries = { current.listen() };
    const command_report confirmed = runCommand(request);
    CHECK(confirmed.code == exit_code::Done);
    CHECK(confirmed.document.at("in_force").size() == 1);
    request.entries = { current.listen(), behind.listen(), freeAddress() };
    const command_report report = runCommand(request);
    CHECK(report.code == exit_code::Unconfirmed);
    CHECK(report.document.at("in_force").size() == 1);
    CHECK(report.document.at("unconfirmed").size() == 2);
}

TEST_CASE("status: shows each entry, also one that does not answer")
{
    const fake_admin_server entry(7);
    const command_report report = runCommand(status_request { { entry.listen(), freeAddress() } });
    CHECK(report.code == exit_code::Unconfirmed);
    CHECK(report.text.find("name=\"entry-a\"") != std::string::npos);
    CHECK(report.text.find("cannot be asked") != std::string::npos);
    CHECK(report.document.at("entries").at(0).at("status").at("revision") == 7);
}

TEST_CASE("explain: finds the entry that knows the trace")
{
    const fake_admin_server entry(7);
    const command_report found = runCommand(explain_request { std::string(32, '1'), { entry.listen() } });
    CHECK(found.code == exit_code::Done);
    CHECK(found.text.find("- routed to u") != std::string::npos);
    CHECK(
        runCommand(explain_request { std::string(32, '2'), { entry.listen() } }).code == exit_code::NotFound);
    CHECK(runCommand(explain_request { "short", { entry.listen() } }).code == exit_code::Failed);
}
