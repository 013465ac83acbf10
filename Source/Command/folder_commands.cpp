#include "Command/change_text.h"
#include "Command/commands.h"
#include "Command/config_writer.h"
#include "Record/change_check.h"
#include "Record/record_error.h"
#include "Record/record_folder.h"

namespace sagesaddle {

command_report run(const check_request& request)
{
    const record_folder folder = readRecordFolder(request.folder);
    const std::string conflict = findConflict({}, makeFolderChange({}, folder, "check"));
    if (!conflict.empty())
        throw record_error(request.folder + ": " + conflict + ". Correct the records.");
    const std::string count = std::to_string(folder.objects.size());
    return { exit_code::Done, request.folder + ": " + count + " objects, valid\n",
        { { "objects", folder.objects.size() }, { "schema", folder.schema } } };
}

command_report run(const diff_request& request)
{
    const record_folder folder = readRecordFolder(request.folder);
    config_writer writer(request.log);
    const fleet_state_ptr state = writer.readState();
    const change_record change = makeFolderChange(*state, folder, "diff");
    command_report report;
    report.text
        = formatChangeText(*state, change) + "against revision " + std::to_string(state->revision) + "\n";
    report.document = formatChangeJson(*state, change);
    return report;
}

} // namespace sagesaddle
