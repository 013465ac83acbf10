#include "Command/config_writer.h"

#include "Agree/state_reader.h"
#include "Record/record_error.h"

#include <thread>

namespace sagesaddle {

namespace {

constexpr milliseconds callTimeout { 3000 };
constexpr int maxAppendAttempts = 6;
// Multiplied by the number of failed attempts.
constexpr milliseconds retryDelay { 250 };

std::optional<accepted_change> acceptedChange(
    std::uint64_t offset, const std::string& text, const fold_result& result)
{
    if (result.outcome != fold_outcome::Accepted)
        return std::nullopt;
    const log_record record = parseRecord(text);
    const auto* change = std::get_if<change_record>(&record.body);
    if (!change)
        return std::nullopt;
    return accepted_change { change->operatorName, offset, result.state.revision };
}

// Finds the appended change among the records that follow the known ones, and the last change accepted before
// it.
class appended_change_finder {
public:
    appended_change_finder(std::string id, std::optional<accepted_change> lastAccepted)
        : m_id(std::move(id))
        , m_lastAccepted(std::move(lastAccepted))
    {
    }

    void onRecord(std::uint64_t offset, const std::string& text, const fold_result& result)
    {
        if (m_found)
            return;
        if (isAppendedRecord(text)) {
            m_found = true;
            m_outcome = { result.outcome, result.reason, offset, result.state.revision, m_lastAccepted };
        } else if (const auto other = acceptedChange(offset, text, result)) {
            m_lastAccepted = other;
        }
    }

    bool found() const { return m_found; }
    const std::optional<accepted_change>& lastAccepted() const { return m_lastAccepted; }

    // The winner is left out where its change made the revision that this one is based on.
    change_outcome outcomeFor(std::uint64_t baseRevision) const
    {
        change_outcome result = m_outcome;
        if (result.winner && result.winner->revision == baseRevision)
            result.winner.reset();
        return result;
    }

private:
    bool isAppendedRecord(const std::string& text) const
    {
        // Avoids parsing the records that cannot have the id.
        if (text.find(m_id) == std::string::npos)
            return false;
        try {
            return parseRecord(text).id == m_id;
        } catch (const record_error&) {
            return false;
        }
    }

    std::string m_id;
    std::optional<accepted_change> m_lastAccepted;
    bool m_found { false };
    change_outcome m_outcome;
};

} // namespace

config_writer::config_writer(const address& log)
    : m_log(log, callTimeout)
{
}

fleet_state_ptr config_writer::readState()
{
    readToEnd(m_log, configStream, m_replica,
        [this](std::uint64_t offset, const std::string& text, const fold_result& result) {
            if (const auto change = acceptedChange(offset, text, result))
                m_lastAccepted = change;
        });
    return m_replica.state();
}

void config_writer::append(const std::string& text)
{
    verdict appendVerdict = verdict::NotRun;
    for (int attempt = 1;; ++attempt) {
        try {
            m_log.append(configStream, { text });
            return;
        } catch (const log_error& error) {
            // An earlier attempt may have taken effect although this one did not.
            appendVerdict = laterVerdict(appendVerdict, error.ran());
            if (attempt == maxAppendAttempts)
                throw log_error(std::string(error.what())
                        + (appendVerdict == verdict::NotRun
                                ? "; the change has not taken effect"
                                : "; the change may have taken effect, so run the command again"),
                    error.failure(), appendVerdict);
            std::this_thread::sleep_for(retryDelay * attempt);
        }
    }
}

change_outcome config_writer::submit(const change_record& change, std::uint32_t schema)
{
    const log_record record { makeRecordId(), schema, change };
    append(formatRecord(record));
    appended_change_finder finder(record.id, m_lastAccepted);
    const auto observe = [&](std::uint64_t offset, const std::string& text, const fold_result& result) {
        finder.onRecord(offset, text, result);
    };
    try {
        readToEnd(m_log, configStream, m_replica, observe);
    } catch (const log_error& error) {
        throw log_error(std::string(error.what())
                + "; the change was appended but its outcome is not known, so "
                  "run the command again",
            error.failure(), verdict::MayHaveRun);
    }
    if (!finder.found())
        throw std::runtime_error("the log answered the append, but the change is not among its records; "
                                 "run the command again");
    m_lastAccepted = finder.lastAccepted();
    return finder.outcomeFor(change.baseRevision);
}

} // namespace sagesaddle
