#include "Command/change_text.h"
#include "Command/commands.h"
#include "Command/outcome_report.h"
#include "Record/change_check.h"
#include "Record/record_error.h"
#include "Record/record_folder.h"

namespace sagesaddle {

namespace {

command_report unchangedReport(const apply_request& request, const fleet_state& state)
{
    command_report report;
    report.text = "no change: revision " + std::to_string(state.revision) + " declares the same\n";
    report.document = { { "outcome", "unchanged" }, { "revision", state.revision } };
    addActivationReport(report, request.entries, state.revision);
    return report;
}

} // namespace

command_report run(const apply_request& request)
{
    const record_folder folder = readRecordFolder(request.folder);
    config_writer writer(request.log);
    const fleet_state_ptr state = writer.readState();
    change_record change = makeFolderChange(*state, folder, request.operatorName);
    if (change.put.empty() && change.remove.empty())
        return unchangedReport(request, *state);
    change.baseRevision = request.revision.value_or(state->revision);
    const std::string conflict = findConflict(*state, change);
    if (!conflict.empty())
        throw record_error(request.folder + ": " + conflict + ". Correct the records; nothing was changed.");
    command_report report = reportOutcome(writer.submit(change, folder.schema), change);
    if (report.code != exit_code::Done)
        return report;
    report.text = formatChangeText(*state, change) + report.text;
    addActivationReport(report, request.entries, report.document.at("revision").get<std::uint64_t>());
    return report;
}

} // namespace sagesaddle
