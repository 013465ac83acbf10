#include "Command/outcome_report.h"

#include "Command/entry_status.h"

namespace sagesaddle {

namespace {

command_report acceptedReport(const change_outcome& outcome)
{
    return { exit_code::Done,
        "accepted at offset " + std::to_string(outcome.offset) + ": revision "
            + std::to_string(outcome.revision) + "\n",
        { { "outcome", "accepted" }, { "offset", outcome.offset }, { "revision", outcome.revision } } };
}

// A change that is based on another revision than the current one lost a race, whether the other change was
// accepted before or after this one was prepared.
command_report rejectedReport(const change_outcome& outcome, const change_record& change)
{
    command_report report;
    const bool lostRace = outcome.revision != change.baseRevision;
    report.code = lostRace ? exit_code::LostRace : exit_code::InvalidRecords;
    report.text = "not accepted: " + outcome.reason + "\n";
    report.document = { { "outcome", nameOf(outcome.outcome) }, { "reason", outcome.reason },
        { "offset", outcome.offset }, { "revision", outcome.revision } };
    if (outcome.winner) {
        report.text += "operator \"" + outcome.winner->operatorName + "\" won with the change at offset "
            + std::to_string(outcome.winner->offset) + ", revision "
            + std::to_string(outcome.winner->revision) + "\n";
        report.document["winner"] = { { "operator", outcome.winner->operatorName },
            { "offset", outcome.winner->offset }, { "revision", outcome.winner->revision } };
    }
    if (lostRace)
        report.text += "nothing was changed; look at the newest records with diff and apply again\n";
    return report;
}

} // namespace

command_report reportOutcome(const change_outcome& outcome, const change_record& change)
{
    if (outcome.outcome == fold_outcome::Accepted)
        return acceptedReport(outcome);
    return rejectedReport(outcome, change);
}

void addActivationReport(command_report& report, const std::vector<address>& entries, std::uint64_t revision)
{
    if (entries.empty())
        return;
    const activation_report activation = awaitInForce(entries, revision);
    report.text += formatActivationText(activation);
    report.document["in_force"] = activation.inForce;
    report.document["unconfirmed"] = activation.unconfirmed;
    if (!activation.unconfirmed.empty())
        report.code = exit_code::Unconfirmed;
}

} // namespace sagesaddle
