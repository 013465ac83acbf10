#include "Command/request_explanation.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <functional>
#include <string_view>

namespace sagesaddle {

namespace {

using nlohmann::json;

// How long before a request's end an event at an engine or a lost dependency still counts as its cause: the
// longest load of a model is 9 s, and orders stop for 5 s where the coordinator was lost.
constexpr std::int64_t causeWindowMs = 15000;
// How far the clocks of two hosts may lie apart, as far as known.
constexpr std::int64_t clockSkewMs = 3000;

// `2026-12-04T04:11:05.123Z` as milliseconds since 1970; nothing where it is no such time.
std::optional<std::int64_t> parseWallTime(const std::string& text)
{
    std::tm parts {};
    const char* const rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr)
        return std::nullopt;
    std::int64_t milliseconds = 0;
    if (*rest == '.') {
        const std::string digits = std::string(rest + 1).substr(0, 3);
        milliseconds = std::strtoll(digits.c_str(), nullptr, 10);
    }
    return static_cast<std::int64_t>(timegm(&parts)) * 1000 + milliseconds;
}

std::string trimmedPrefix(std::string_view text)
{
    const auto last = text.find_last_not_of(" \t:|");
    return std::string(last == std::string_view::npos ? std::string_view() : text.substr(0, last + 1));
}

// The last word of what stands before the object: a time that the collector adds comes before the name.
std::string processOf(std::string_view prefix, const std::string& standard)
{
    const std::string text = trimmedPrefix(prefix);
    const auto space = text.find_last_of(" \t]");
    const std::string word = space == std::string::npos ? text : text.substr(space + 1);
    return word.empty() ? standard : word;
}

std::string textOf(const decision_line& line, const char* field)
{
    const auto found = line.fields.find(field);
    if (found == line.fields.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

bool isAbout(const decision_line& line, const char* field, const std::string& value)
{
    return !value.empty() && textOf(line, field) == value;
}

// What the search for a cause looks at.
struct case_file {
    const gateway_log& log;
    /// The line that ended the request, by its place in the log.
    std::size_t end;

    const decision_line& line() const { return log.lines[end]; }

    // The newest line of the same process before the end for which the condition holds.
    const decision_line* before(const std::function<bool(const decision_line&)>& holds) const
    {
        for (std::size_t index = end; index-- > 0;) {
            const auto& candidate = log.lines[index];
            if (candidate.process == line().process && holds(candidate))
                return &candidate;
        }
        return nullptr;
    }

    // Lines of any process around the end for which the condition holds.
    std::vector<const decision_line*> around(const std::function<bool(const decision_line&)>& holds) const
    {
        std::vector<const decision_line*> found;
        for (const auto& candidate : log.lines) {
            const std::int64_t age = line().writtenAtMs - candidate.writtenAtMs;
            const bool isOwn = candidate.process == line().process;
            if (age <= causeWindowMs && age >= (isOwn ? 0 : -clockSkewMs) && holds(candidate))
                found.push_back(&candidate);
        }
        return found;
    }
};

using evidence_list = std::vector<const decision_line*>;

evidence_list only(const decision_line* line)
{
    return line == nullptr ? evidence_list {} : evidence_list { line };
}

std::function<bool(const decision_line&)> isKind(std::initializer_list<const char*> kinds)
{
    return [names = std::vector<std::string>(kinds.begin(), kinds.end())](const decision_line& line) {
        return std::find(names.begin(), names.end(), line.kind) != names.end();
    };
}

evidence_list ordersFor(const case_file& request)
{
    const std::string model = textOf(request.line(), "model");
    const std::string adapter = textOf(request.line(), "adapter");
    return request.around([&](const decision_line& line) {
        return line.kind == "duty_taken" || line.kind == "duty_lost"
            || (line.kind == "order"
                && (isAbout(line, "holding", model) || isAbout(line, "holding", model + "/" + adapter)));
    });
}

evidence_list upstreamTrouble(const case_file& request)
{
    const std::string upstream = textOf(request.line(), "upstream");
    return request.around([&](const decision_line& line) {
        static const auto isTrouble = isKind(
            { "upstream_failed", "upstream_gone", "upstream_draining", "upstream_silent", "foreign_answer" });
        return isTrouble(line) && isAbout(line, "upstream", upstream);
    });
}

evidence_list roomFor(const case_file& request)
{
    const std::string id = textOf(request.line(), "id");
    evidence_list found = only(request.before(
        [&](const decision_line& line) { return line.kind == "no_room" && isAbout(line, "id", id); }));
    if (!found.empty())
        return found;
    // The line of this request may have been left out under load; those of its model tell the same forecast.
    const std::string model = textOf(request.line(), "model");
    return only(request.before(
        [&](const decision_line& line) { return line.kind == "no_room" && isAbout(line, "model", model); }));
}

evidence_list limitOf(const case_file& request)
{
    const std::string team = textOf(request.line(), "team");
    return only(request.before([&](const decision_line& line) {
        return line.kind == "limit_in_force" && isAbout(line, "team", team);
    }));
}

evidence_list lastOf(const case_file& request, std::initializer_list<const char*> kinds)
{
    return only(request.before(isKind(kinds)));
}

// What each outcome means, and where its cause stands.
struct outcome_rule {
    const char* outcome;
    const char* sentence;
    std::function<evidence_list(const case_file&)> find;
};

const std::vector<outcome_rule>& outcomeRules()
{
    static const std::vector<outcome_rule> rules {
        { "answered", "the upstream's answer was passed on", upstreamTrouble },
        { "overloaded",
            "refused, not run: every upstream that could take it was forecast to miss its objective",
            roomFor },
        { "model_absent", "refused, not run: no upstream held its model or adapter", ordersFor },
        { "over_limit", "refused, not run: its team was over its limit", limitOf },
        { "limit_unknown", "refused, not run: no coordinator granted credit and the own share was spent",
            [](const case_file& it) {
                return lastOf(it, { "coordinator_away", "duty_lost" });
            } },
        { "keys_not_proven",
            "refused, not run: it was too long since the store showed that its keys are valid",
            [](const case_file& it) {
                return lastOf(it, { "store_away", "started" });
            } },
        { "unknown_key", "refused, not run: the configuration in force does not have its key",
            [](const case_file& it) { return lastOf(it, { "config_in_force" }); } },
        { "unknown_route", "refused, not run: the configuration in force has no route for it",
            [](const case_file& it) { return lastOf(it, { "config_in_force" }); } },
        { "no_configuration", "refused, not run: this gateway had read no configuration yet",
            [](const case_file& it) {
                return lastOf(it, { "started", "store_away" });
            } },
        { "no_upstream", "refused, not run: no upstream of its service was listed",
            [](const case_file& it) {
                return lastOf(it, { "upstream_gone", "upstream_draining" });
            } },
        { "bad_request", "refused, not run: it could not be read, or the upstream found it malformed",
            [](const case_file& it) { return lastOf(it, { "bad_request" }); } },
        { "draining", "refused, not run: this gateway was stopping",
            [](const case_file& it) { return lastOf(it, { "draining" }); } },
        { "declined_by_upstream", "refused, not run: the upstreams that it was sent to declined it",
            [](const case_file& it) {
                evidence_list found = upstreamTrouble(it);
                const evidence_list orders = ordersFor(it);
                found.insert(found.end(), orders.begin(), orders.end());
                return found;
            } },
        { "upstream_broke", "failed, may have run: its upstream broke off", upstreamTrouble },
        { "upstream_garbled", "failed, may have run: its upstream sent what is no answer to it",
            upstreamTrouble },
        { "no_answer_in_time", "failed, may have run: its upstream gave no whole answer in time",
            upstreamTrouble },
        { "not_sent_in_time", "refused, not run: its time ended before an upstream could take it",
            ordersFor },
        { "caller_left", "its caller closed the connection",
            [](const case_file& it) { return only(&it.line()); } },
    };
    return rules;
}

const outcome_rule* ruleOf(const std::string& outcome)
{
    const auto& rules = outcomeRules();
    const auto found = std::find_if(
        rules.begin(), rules.end(), [&](const outcome_rule& rule) { return outcome == rule.outcome; });
    return found == rules.end() ? nullptr : &*found;
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
        const bool isLine = fields.is_object() && fields.value("message", json()).is_string()
            && fields.value("time", json()).is_string();
        const auto time = isLine ? parseWallTime(fields.at("time").get<std::string>()) : std::nullopt;
        if (!time) {
            ++log.unreadable;
            continue;
        }
        const std::string kind = fields.at("message").get<std::string>();
        log.lines.push_back(
            { processOf(std::string_view(text).substr(0, begin), name), *time, kind, std::move(fields) });
    }
}

request_explanation explainFromLogs(const gateway_log& log, const std::string& requestId)
{
    request_explanation story;
    std::optional<std::size_t> end;
    for (std::size_t index = 0; index < log.lines.size(); ++index) {
        const auto& line = log.lines[index];
        if (!isAbout(line, "id", requestId))
            continue;
        story.evidence.push_back(line);
        if (line.kind == "ended" || line.kind == "answered")
            end = index;
    }
    if (story.evidence.empty())
        return story;
    if (!end) {
        story.cause
            = "its end is not in these lines: they end before it, or its line was left out under load";
        return story;
    }
    const case_file request { log, *end };
    const std::string outcome = textOf(request.line(), "outcome");
    const outcome_rule* const rule = ruleOf(outcome);
    if (rule == nullptr) {
        story.cause = "ended as \"" + outcome + "\", which this program does not know";
        return story;
    }
    story.cause = rule->sentence;
    const evidence_list found = rule->find(request);
    // An upstream's own failure status is its answer; nothing of ours decided it.
    story.isExplained = !found.empty() || outcome == "answered";
    for (const decision_line* line : found) {
        if (!isAbout(*line, "id", requestId))
            story.evidence.push_back(*line);
    }
    return story;
}

} // namespace sagesaddle
