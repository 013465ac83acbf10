#include "Command/commands.h"
#include "Command/outcome_report.h"
#include "Record/field_reader.h"
#include "Record/json_text.h"
#include "Record/object_table.h"

#include <array>
#include <openssl/rand.h>
#include <stdexcept>

namespace sagesaddle {

namespace {

constexpr std::size_t secretBytes = 32;
constexpr std::size_t idBytes = 6;
constexpr int maxWithdrawalAttempts = 10;

template <std::size_t Size> std::string randomHex()
{
    std::array<unsigned char, Size> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("no random bytes for a key: RAND_bytes failed");
    return formatHex(bytes);
}

std::string formatKeyRecord(const api_key& key)
{
    return "[[key]]\nid = \"" + key.id + "\"\nteam = \"" + key.team + "\"\nsecret_sha256 = \""
        + key.secretSha256 + "\"\nwithdrawn = false\n";
}

command_report notFoundReport(const std::string& id)
{
    const std::string message = "no key \"" + id + "\"; list them with sagesaddle keys list";
    return { exit_code::NotFound, message + "\n", { { "error", message } } };
}

command_report alreadyWithdrawnReport(const std::string& id, std::uint64_t revision)
{
    return { exit_code::Done, "key \"" + id + "\" is withdrawn already\n",
        { { "outcome", "unchanged" }, { "revision", revision } } };
}

} // namespace

command_report run(const keys_new_request& request)
{
    const std::string secret = randomHex<secretBytes>();
    api_key key;
    key.id = request.id.empty() ? request.team + "-" + randomHex<idBytes>() : request.id;
    key.team = request.team;
    key.secretSha256 = sha256Hex(secret);
    return { exit_code::Done,
        "Secret, shown this once; give it to the team:\n" + secret + "\n\nAdd to the records and apply:\n"
            + formatKeyRecord(key),
        { { "secret", secret }, { "key", formatObject({ key, {} }, newestSchema) } } };
}

command_report run(const keys_withdraw_request& request)
{
    config_writer writer(request.log);
    command_report report;
    for (int attempt = 0; attempt < maxWithdrawalAttempts; ++attempt) {
        const fleet_state_ptr state = writer.readState();
        auto found = findObject(*state, { object_kind::Key, request.id });
        if (!found)
            return notFoundReport(request.id);
        auto& key = std::get<api_key>(found->value);
        if (key.withdrawn) {
            report = alreadyWithdrawnReport(request.id, state->revision);
        } else {
            key.withdrawn = true;
            const change_record change { state->revision, request.operatorName, { *found }, {} };
            report = reportOutcome(writer.submit(change, newestSchema), change);
        }
        if (report.code != exit_code::LostRace)
            break;
    }
    if (report.code == exit_code::Done)
        addActivationReport(report, request.entries, report.document.at("revision").get<std::uint64_t>());
    return report;
}

command_report run(const keys_list_request& request)
{
    config_writer writer(request.log);
    const fleet_state_ptr state = writer.readState();
    command_report report;
    report.document["keys"] = nlohmann::json::array();
    for (const auto& [hash, key] : state->keys) {
        report.text += key.id + "  team " + key.team + (key.withdrawn ? "  withdrawn" : "") + "\n";
        report.document["keys"].push_back(
            { { "id", key.id }, { "team", key.team }, { "withdrawn", key.withdrawn } });
    }
    return report;
}

} // namespace sagesaddle
