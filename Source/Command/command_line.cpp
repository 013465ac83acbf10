#include "Command/command_line.h"

#include "Record/field_reader.h"

#include <charconv>
#include <docopt/docopt.h>
#include <map>
#include <stdexcept>

namespace sagesaddle {

namespace {

using option_values = std::map<std::string, docopt::value>;

const std::string& optionText(const option_values& options, const std::string& name)
{
    return options.at(name).asString();
}

std::string nameOption(const option_values& options, const std::string& name)
{
    const std::string& text = optionText(options, name);
    if (!isObjectName(text))
        throw std::invalid_argument(
            name + " is \"" + text + "\"; allowed: 1 to 128 letters, digits and ._:/-");
    return text;
}

address parseAddressOption(const std::string& name, const std::string& text)
{
    try {
        return parseAddress(text);
    } catch (const std::invalid_argument& error) {
        throw std::invalid_argument(name + ": " + error.what());
    }
}

address addressOption(const option_values& options, const std::string& name)
{
    return parseAddressOption(name, optionText(options, name));
}

std::vector<address> entriesOption(const option_values& options)
{
    std::vector<address> entries;
    const docopt::value& values = options.at("--entry");
    if (values.isStringList())
        for (const std::string& text : values.asStringList())
            entries.push_back(parseAddressOption("--entry", text));
    return entries;
}

std::optional<std::uint64_t> revisionOption(const option_values& options)
{
    const docopt::value& value = options.at("--revision");
    if (!value)
        return std::nullopt;
    const std::string& text = value.asString();
    std::uint64_t revision = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (error != std::errc() || end != text.data() + text.size())
        throw std::invalid_argument(
            "--revision is \"" + text + "\"; allowed: a whole number, as `diff` prints it");
    return revision;
}

command_request parseKeysRequest(const option_values& options)
{
    if (options.at("new").asBool())
        return keys_new_request { nameOption(options, "--team"),
            options.at("--id") ? nameOption(options, "--id") : std::string() };
    if (options.at("withdraw").asBool())
        return keys_withdraw_request { nameOption(options, "ID"), addressOption(options, "--log"),
            nameOption(options, "--operator"), entriesOption(options) };
    return keys_list_request { addressOption(options, "--log") };
}

command_request parseRequest(const option_values& options)
{
    if (options.at("check").asBool())
        return check_request { optionText(options, "DIR") };
    if (options.at("diff").asBool())
        return diff_request { optionText(options, "DIR"), addressOption(options, "--log") };
    if (options.at("apply").asBool())
        return apply_request { optionText(options, "DIR"), addressOption(options, "--log"),
            nameOption(options, "--operator"), revisionOption(options), entriesOption(options) };
    if (options.at("check-config").asBool())
        return check_config_request { optionText(options, "FILE"),
            options.at("--in-force") ? optionText(options, "--in-force") : std::string() };
    if (options.at("status").asBool())
        return status_request { entriesOption(options) };
    if (options.at("explain").asBool() && options.at("ID"))
        return explain_logs_request { optionText(options, "ID"), options.at("--lines").asStringList() };
    if (options.at("explain").asBool())
        return explain_request { optionText(options, "TRACE"), entriesOption(options) };
    return parseKeysRequest(options);
}

} // namespace

const std::string& commandUsage()
{
    static const std::string usage
        = R"(Checks, applies and inspects the records that drive a sagesaddle fleet.

Usage:
  sagesaddle check DIR [--json]
  sagesaddle diff DIR --log=ADDR [--json]
  sagesaddle apply DIR --log=ADDR --operator=NAME [--revision=N] [--entry=ADDR]... [--json]
  sagesaddle status (--entry=ADDR)... [--json]
  sagesaddle explain TRACE (--entry=ADDR)... [--json]
  sagesaddle explain ID (--lines=FILE)... [--json]
  sagesaddle check-config FILE [--in-force=FILE] [--json]
  sagesaddle keys new --team=NAME [--id=ID] [--json]
  sagesaddle keys withdraw ID --log=ADDR --operator=NAME [--entry=ADDR]... [--json]
  sagesaddle keys list --log=ADDR [--json]
  sagesaddle (--help | --version)

Options:
  --log=ADDR       Address of the log service, as ip:port.
  --entry=ADDR     Admin address of an entry, as ip:port; may be given more than once.
  --lines=FILE     Log lines of gateways, or - for standard input; may be given more than once.
  --in-force=FILE  Configuration that FILE replaces, to show what differs.
  --operator=NAME  Who makes the change; shown to an operator who loses a race against it.
  --revision=N     Revision that DIR was prepared against; the newest where it is not given.
  --team=NAME      Team that the new key is for.
  --id=ID          Id of the new key; a random one where it is not given.
  --json           Print one JSON object.
  --help           Print this text.
  --version        Print the version.

Exit codes: 0 done, 1 wrong arguments or another failure, 2 records not valid, 3 another operator's change
came first, 4 the log is away, 5 accepted but not confirmed at every entry, 6 nothing of that name.
)";
    return usage;
}

command_line parseCommandLine(const std::vector<std::string>& arguments)
{
    const option_values options = docopt::docopt_parse(commandUsage(), arguments, true, true);
    return { parseRequest(options), options.at("--json").asBool() };
}

} // namespace sagesaddle
