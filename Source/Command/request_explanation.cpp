#include "Command/request_explanation.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <functional>
#include <string_view>

namespace sagesaddle {

namespace {

using nlohmann::json;

// Maximum time between an event and the end of the request that it explains. The longest load of a model
// takes 9 s, and no orders are sent for 5 s after the coordinator was lost.
constexpr std::int64_t causeWindowMs = 15000;
// Maximum known difference between the clocks of two hosts.
constexpr std::int64_t maxClockSkewMs = 3000;

// Parses a UTC time such as `2026-12-04T04:11:05.123Z` into milliseconds since 1970; nullopt where it is
// malformed.
std::optional<std::int64_t> parseWallTime(const std::string& text)
{
    std::tm dateTime {};
    const char* const fraction = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &dateTime);
    if (fraction == nullptr)
        return std::nullopt;
    std::int64_t milliseconds = 0;
    if (*fraction == '.') {
        const std::string digits = std::string(fraction + 1).substr(0, 3);
        milliseconds = std::strtoll(digits.c_str(), nullptr, 10);
    }
    return static_cast<std::int64_t>(timegm(&dateTime)) * 1000 + milliseconds;
}

std::string trimmedPrefix(std::string_view text)
{
    const auto last = text.find_last_not_of(" \t:|");
    return std::string(last == std::string_view::npos ? std::string_view() : text.substr(0, last + 1));
}

// Returns the last word before the JSON object, since a log collector may put a time before the process's
// name.
std::string parseProcessName(std::string_view prefix, const std::string& defaultName)
{
    const std::string text = trimmedPrefix(prefix);
    const auto space = text.find_last_of(" \t]");
    const std::string word = space == std::string::npos ? text : text.substr(space + 1);
    return word.empty() ? defaultName : word;
}

std::string fieldText(const decision_line& line, const char* field)
{
    const auto found = line.fields.find(field);
    if (found == line.fields.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool hasFieldValue(const decision_line& line, const char* field, const std::string& value)
{
    return !value.empty() && fieldText(line, field) == value;
}

// A request that ended, and the lines among which its cause is searched.
struct ended_request {
    const gateway_log& log;
    /// Index of the line that ended the request.
    std::size_t end;

    const decision_line& endLine() const { return log.lines[end]; }

    // Returns the newest line of the same process before the end that meets the condition, or null.
    const decision_line* newestBeforeEnd(const std::function<bool(const decision_line&)>& condition) const
    {
        for (std::size_t index = end; index-- > 0;) {
            const auto& candidate = log.lines[index];
            if (candidate.process == endLine().process && condition(candidate))
                return &candidate;
        }
        return nullptr;
    }

    // Returns the lines of all processes that meet the condition and were written near the end. Lines of the
    // same process that were written after the end cannot explain it; those of other hosts may only seem
    // later.
    std::vector<const decision_line*> nearEnd(
        const std::function<bool(const decision_line&)>& condition) const
    {
        std::vector<const decision_line*> found;
        for (const auto& candidate : log.lines) {
            const std::int64_t age = endLine().writtenAtMs - candidate.writtenAtMs;
            const bool isOwn = candidate.process == endLine().process;
            if (age <= causeWindowMs && age >= (isOwn ? 0 : -maxClockSkewMs) && condition(candidate))
                found.push_back(&candidate);
        }
        return found;
    }
};

using evidence_list = std::vector<const decision_line*>;

evidence_list listOf(const decision_line* line)
{
    return line == nullptr ? evidence_list {} : evidence_list { line };
}

std::function<bool(const decision_line&)> isOneOf(std::initializer_list<const char*> kinds)
{
    return [names = std::vector<std::string>(kinds.begin(), kinds.end())](const decision_line& line) {
        return std::find(names.begin(), names.end(), line.kind) != names.end();
    };
}

evidence_list findOrders(const ended_request& request)
{
    const std::string model = fieldText(request.endLine(), "model");
    const std::string adapter = fieldText(request.endLine(), "adapter");
    return request.nearEnd([&](const decision_line& line) {
        return line.kind == "duty_taken" || line.kind == "duty_lost"
            || (line.kind == "order"
                && (hasFieldValue(line, "holding", model)
                    || hasFieldValue(line, "holding", model + "/" + adapter)));
    });
}

evidence_list findUpstreamFailures(const ended_request& request)
{
    const std::string upstream = fieldText(request.endLine(), "upstream");
    return request.nearEnd([&](const decision_line& line) {
        static const auto isUpstreamFailure = isOneOf({ "upstream_failed", "upstream_crashed",
            "upstream_gone", "upstream_draining", "upstream_silent", "foreign_answer" });
        return isUpstreamFailure(line) && hasFieldValue(line, "upstream", upstream);
    });
}

evidence_list findForecast(const ended_request& request)
{
    const std::string id = fieldText(request.endLine(), "id");
    evidence_list found = listOf(request.newestBeforeEnd(
        [&](const decision_line& line) { return line.kind == "no_room" && hasFieldValue(line, "id", id); }));
    if (!found.empty())
        return found;
    // The request's own line may have been dropped under load; other lines of its model have the same
    // forecast.
    const std::string model = fieldText(request.endLine(), "model");
    return listOf(request.newestBeforeEnd([&](const decision_line& line) {
        return line.kind == "no_room" && hasFieldValue(line, "model", model);
    }));
}

evidence_list findRateLimit(const ended_request& request)
{
    const std::string team = fieldText(request.endLine(), "team");
    return listOf(request.newestBeforeEnd([&](const decision_line& line) {
        return line.kind == "limit_in_force" && hasFieldValue(line, "team", team);
    }));
}

evidence_list findNewest(const ended_request& request, std::initializer_list<const char*> kinds)
{
    return listOf(request.newestBeforeEnd(isOneOf(kinds)));
}

// What an outcome means, and how to find the lines that explain it.
struct outcome_explanation {
    const char* outcome;
    const char* sentence;
    std::function<evidence_list(const ended_request&)> find;
};

const std::vector<outcome_explanation>& outcomeExplanations()
{
    static const std::vector<outcome_explanation> table {
        { "answered", "the upstream's answer was passed on", findUpstreamFailures },
        { "overloaded",
            "refused, not run: every upstream that could take it was forecast to miss its objective",
            findForecast },
        { "model_absent", "refused, not run: no upstream held its model or adapter", findOrders },
        { "over_limit", "refused, not run: its team was over its limit", findRateLimit },
        { "limit_unknown", "refused, not run: no coordinator granted credit and the own share was spent",
            [](const ended_request& request) {
                return findNewest(request, { "coordinator_away", "duty_lost" });
            } },
        { "keys_not_proven",
            "refused, not run: it was too long since the store showed that its keys are valid",
            [](const ended_request& request) {
                return findNewest(request, { "store_away", "started" });
            } },
        { "prompt_quarantined",
            "refused, not run: a part of its prompt crashed the upstreams that answered it",
            [](const ended_request& request) {
                return findNewest(request, { "quarantine_in_force", "quarantine_decided" });
            } },
        { "zone_evacuated", "refused, not run: only upstreams of evacuated zones could have served it",
            [](const ended_request& request) { return findNewest(request, { "zone_evacuated" }); } },
        { "unknown_key", "refused, not run: the configuration in force does not have its key",
            [](const ended_request& request) { return findNewest(request, { "config_in_force" }); } },
        { "unknown_route", "refused, not run: the configuration in force has no route for it",
            [](const ended_request& request) { return findNewest(request, { "config_in_force" }); } },
        { "no_configuration", "refused, not run: this gateway had read no configuration yet",
            [](const ended_request& request) {
                return findNewest(request, { "started", "store_away" });
            } },
        { "no_upstream", "refused, not run: no upstream of its service was listed",
            [](const ended_request& request) {
                return findNewest(request, { "upstream_gone", "upstream_draining" });
            } },
        { "bad_request", "refused, not run: it could not be read, or the upstream found it malformed",
            [](const ended_request& request) { return findNewest(request, { "bad_request" }); } },
        { "draining", "refused, not run: this gateway was stopping",
            [](const ended_request& request) { return findNewest(request, { "draining" }); } },
        { "declined_by_upstream", "refused, not run: the upstreams that it was sent to declined it",
            [](const ended_request& request) {
                evidence_list found = findUpstreamFailures(request);
                const evidence_list orders = findOrders(request);
                found.insert(found.end(), orders.begin(), orders.end());
                return found;
            } },
        { "upstream_broke", "failed, may have run: its upstream broke off", findUpstreamFailures },
        { "upstream_garbled", "failed, may have run: its upstream sent what is no answer to it",
            findUpstreamFailures },
        { "no_answer_in_time", "failed, may have run: its upstream gave no whole answer in time",
            findUpstreamFailures },
        { "not_sent_in_time", "refused, not run: its time ended before an upstream could take it",
            findOrders },
        { "caller_left", "its caller closed the connection",
            [](const ended_request& request) { return listOf(&request.endLine()); } },
    };
    return table;
}

const outcome_explanation* findOutcomeExplanation(const std::string& outcome)
{
    const auto& table = outcomeExplanations();
    const auto found = std::find_if(table.begin(), table.end(),
        [&](const outcome_explanation& known) { return outcome == known.outcome; });
    return found == table.end() ? nullptr : &*found;
}

} // namespace

void readDecisionLog(std::istream& input, const std::string& name, gateway_log& log)
{
    std::string text;
    while (std::getline(input, text)) {
        const auto begin = text.find('{');
        if (begin == std::string::npos) {
            log.unreadable += text.find_first_not_of(" \t\r") == std::string::npos ? 0 : 1;
            continue;
        }
        json fields = json::parse(text.substr(begin), nullptr, false);
        const bool isDecision = fields.is_object() && fields.value("message", json()).is_string()
            && fields.value("time", json()).is_string();
        const auto time = isDecision ? parseWallTime(fields.at("time").get<std::string>()) : std::nullopt;
        if (!time) {
            ++log.unreadable;
            continue;
        }
        const std::string kind = fields.at("message").get<std::string>();
        log.lines.push_back({ parseProcessName(std::string_view(text).substr(0, begin), name), *time, kind,
            std::move(fields) });
    }
}

request_explanation explainFromLogs(const gateway_log& log, const std::string& requestId)
{
    request_explanation explanation;
    std::optional<std::size_t> end;
    for (std::size_t index = 0; index < log.lines.size(); ++index) {
        const auto& line = log.lines[index];
        if (!hasFieldValue(line, "id", requestId))
            continue;
        explanation.evidence.push_back(line);
        if (line.kind == "ended" || line.kind == "answered")
            end = index;
    }
    if (explanation.evidence.empty())
        return explanation;
    if (!end) {
        explanation.cause
            = "its end is not in these lines: they end before it, or its line was left out under load";
        return explanation;
    }
    const ended_request request { log, *end };
    const std::string outcome = fieldText(request.endLine(), "outcome");
    const outcome_explanation* const known = findOutcomeExplanation(outcome);
    if (known == nullptr) {
        explanation.cause = "ended as \"" + outcome + "\", which this program does not know";
        return explanation;
    }
    explanation.cause = known->sentence;
    const evidence_list found = known->find(request);
    // An answer of the upstream, also one with a failure status, needs no cause at the gateway.
    explanation.isExplained = !found.empty() || outcome == "answered";
    for (const decision_line* line : found) {
        if (!hasFieldValue(*line, "id", requestId))
            explanation.evidence.push_back(*line);
    }
    return explanation;
}

} // namespace sagesaddle
