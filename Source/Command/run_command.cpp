#include "Command/run_command.h"

#include "Agree/log_client.h"
#include "Command/commands.h"
#include "Record/record_error.h"

#include <exception>

namespace sagesaddle {

namespace {

command_report failureReport(exit_code code, const std::string& message)
{
    return { code, message + "\n", { { "error", message } } };
}

} // namespace

command_report runCommand(const command_request& request)
{
    try {
        return std::visit([](const auto& value) { return run(value); }, request);
    } catch (const record_error& error) {
        return failureReport(exit_code::InvalidRecords, error.what());
    } catch (const log_error& error) {
        return failureReport(exit_code::LogUnreachable, error.what());
    } catch (const std::exception& error) {
        return failureReport(exit_code::Failed, error.what());
    }
}

} // namespace sagesaddle
