#include "Fleet/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sagesaddle {

namespace {

std::string quoted(const std::string& kind, const std::string& name)
{
    return kind + " '" + name + "'";
}

std::string formatMilliseconds(milliseconds value)
{
    return std::to_string(value.count()) + " ms";
}

/// Collects the findings of one configuration.
class checker {
public:
    explicit checker(const fleet_config& config)
        : m_config(config)
    {
    }

    std::vector<config_finding> run()
    {
        if (m_config.version == 0)
            error("version", "is 0; versions begin at 1");
        checkRoutes();
        for (const auto& service : m_config.services)
            checkService(service);
        checkTeams();
        checkLimits();
        return std::move(m_findings);
    }

private:
    void error(const std::string& place, const std::string& text)
    {
        m_findings.push_back({ config_severity::Error, place, text });
    }

    void warn(const std::string& place, const std::string& text)
    {
        m_findings.push_back({ config_severity::Warning, place, text });
    }

    void checkRoutes()
    {
        std::set<std::string> names;
        // First route of each host and path prefix.
        std::map<std::pair<std::string, std::string>, std::string> matches;
        std::set<std::string> services;
        for (const auto& service : m_config.services) {
            if (!services.insert(service.name).second)
                error(quoted("service", service.name), "is listed twice; only the first entry is used");
        }
        std::set<std::string> used;
        for (const auto& route : m_config.routes) {
            const std::string place = quoted("route", route.name);
            if (!names.insert(route.name).second)
                error(place, "is listed twice; give each route its own name");
            const auto [first, isNew]
                = matches.try_emplace({ route.host, route.pathPrefix }, quoted("route", route.name));
            if (!isNew)
                error(place,
                    "never matches: " + first->second + " has the same host and path prefix; remove one");
            checkPrefix(route, place);
            checkTargets(route, place, services);
            checkTimes(route, place);
            for (const auto& target : route.targets)
                used.insert(target.service);
        }
        for (const auto& service : m_config.services) {
            if (!used.contains(service.name))
                warn(quoted("service", service.name), "gets no requests: no route names it");
        }
    }

    void checkPrefix(const route_config& route, const std::string& place)
    {
        const std::string& prefix = route.pathPrefix;
        if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
            error(
                place, "never matches: its path prefix '" + prefix + "' does not begin and end with a slash");
        const bool isUnmatchable = std::any_of(prefix.begin(), prefix.end(),
            [](char byte) { return byte == '?' || byte == '#' || static_cast<unsigned char>(byte) <= ' '; });
        if (isUnmatchable)
            error(place, "never matches: its path prefix '" + prefix + "' holds '?', '#' or a space");
    }

    void checkTargets(const route_config& route, const std::string& place, const std::set<std::string>& known)
    {
        double total = 0;
        for (const auto& target : route.targets) {
            total += target.weight;
            if (!known.contains(target.service))
                error(place, "sends to " + quoted("service", target.service) + ", which is not listed");
            if (target.weight == 0 && route.targets.size() > 1)
                warn(place, "never sends to " + quoted("service", target.service) + ": its weight is 0");
        }
        if (total <= 0)
            error(place, "sends nowhere: the weights of its targets are all 0");
    }

    void checkTimes(const route_config& route, const std::string& place)
    {
        if (route.timeout.count() > 0 && route.objective > route.timeout)
            warn(place,
                "has a latency objective of " + formatMilliseconds(route.objective)
                    + ", longer than its timeout of " + formatMilliseconds(route.timeout));
        if (route.timeout.count() > 0 && route.gapObjective > route.timeout)
            warn(place,
                "allows gaps between events of " + formatMilliseconds(route.gapObjective)
                    + ", longer than its timeout of " + formatMilliseconds(route.timeout));
        if (!route.isStream() && (route.isResumable || route.gapObjective.count() > 0))
            warn(place, "is no stream, so being resumable and the gap objective have no effect");
        if (route.maxAttempts < 1)
            error(place, "allows no attempt; the number of attempts must be at least 1");
        if (route.maxAttempts > 1 && !route.mayRunTwice())
            warn(place,
                "allows " + std::to_string(route.maxAttempts)
                    + " attempts, but its requests may run once only: a further attempt follows only a "
                      "refusal that says that the request has not run");
    }

    void checkService(const service_config& service)
    {
        if (!service.engine)
            return;
        const engine_config& engine = *service.engine;
        const std::string place = quoted("service", service.name);
        if (engine.slots < 1)
            error(place, "has engines that run no request at once; set slots to at least 1");
        if (engine.models.size() > 1 && engine.loadsPerSecond <= 0)
            warn(place, "allows no loads from the weight store, so its models cannot move between engines");
        std::set<std::string> names;
        for (const auto& model : engine.models) {
            const std::string modelPlace = place + ", " + quoted("model", model.name);
            if (!names.insert(model.name).second)
                error(modelPlace, "is listed twice; only the first entry is used");
            if (model.weightsMb > engine.weightMemoryMb)
                error(modelPlace,
                    "never fits: its weights are larger than the engines' memory for weights ("
                        + std::to_string(static_cast<long long>(model.weightsMb)) + " and "
                        + std::to_string(static_cast<long long>(engine.weightMemoryMb)) + " MB)");
            if (model.adapterCount > 0 && engine.adapterSlots == 0)
                error(modelPlace, "has adapters, but the engines have no slots for adapters");
        }
    }

    void checkTeams()
    {
        std::set<std::string> names;
        std::map<std::string, std::string> holders;
        for (const auto& team : m_config.teams) {
            const std::string place = quoted("team", team.name);
            if (!names.insert(team.name).second)
                error(place, "is listed twice; give each team its own name");
            if (team.apiKeys.empty())
                warn(place, "has no API key, so nobody can use it");
            for (const auto& key : team.apiKeys) {
                const auto [holder, isNew] = holders.try_emplace(key, team.name);
                if (!isNew)
                    error(place,
                        "has an API key that " + quoted("team", holder->second)
                            + " has as well; only the first one counts");
            }
            if (team.ratePerSecond > 0 && team.burst < team.defaultRequestTokens)
                warn(place,
                    "has a burst smaller than one request without a token count, which is then always over "
                    "the limit");
            if (team.ratePerSecond <= 0 && team.burst > 0)
                warn(place, "has a burst but no rate: it is not limited");
        }
        const bool isAllPublic = std::all_of(m_config.routes.begin(), m_config.routes.end(),
            [](const route_config& route) { return route.isPublic; });
        if (!m_config.teams.empty() && !m_config.routes.empty() && isAllPublic)
            warn("teams", "have no effect: all routes are public");
    }

    void checkLimits()
    {
        const caller_limits& limits = m_config.limits;
        if (limits.maxHeadBytes == 0)
            error("limits", "allow no request head; set its maximum to at least 1 byte");
        if (limits.headTimeout.count() == 0 || limits.idleTimeout.count() == 0)
            error("limits", "close each connection at once; set both timeouts above 0");
        if (limits.headTimeout > limits.idleTimeout)
            warn("limits",
                "let a head take " + formatMilliseconds(limits.headTimeout)
                    + ", longer than the idle timeout of " + formatMilliseconds(limits.idleTimeout));
    }

    const fleet_config& m_config;
    std::vector<config_finding> m_findings;
};

std::string textOfValue(const std::string& value)
{
    return "'" + value + "'";
}
std::string textOfValue(bool value)
{
    return value ? "yes" : "no";
}
std::string textOfValue(milliseconds value)
{
    return formatMilliseconds(value);
}
std::string textOfValue(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}
std::string textOfValue(int value)
{
    return std::to_string(value);
}
std::string textOfValue(std::size_t value)
{
    return std::to_string(value);
}
std::string textOfValue(const std::optional<int>& value)
{
    return value ? std::to_string(*value) : "none";
}
std::string textOfValue(const std::vector<route_target>& targets)
{
    std::string text;
    for (const auto& target : targets)
        text += (text.empty() ? "" : ", ") + target.service + " " + textOfValue(target.weight);
    return text;
}

/// Collects the differences of one entry.
class comparison {
public:
    comparison(std::vector<config_change>& changes, std::string place)
        : m_changes(changes)
        , m_place(std::move(place))
    {
    }

    template <typename Value> void field(const char* name, const Value& before, const Value& after)
    {
        if (before != after)
            m_changes.push_back(
                { m_place, std::string(name) + ": " + textOfValue(before) + " -> " + textOfValue(after) });
    }

private:
    std::vector<config_change>& m_changes;
    std::string m_place;
};

void compareEntry(std::vector<config_change>& changes, const std::string& place, const route_config& before,
    const route_config& after)
{
    comparison compared(changes, place);
    compared.field("host", before.host, after.host);
    compared.field("path prefix", before.pathPrefix, after.pathPrefix);
    compared.field("type", static_cast<int>(before.type), static_cast<int>(after.type));
    compared.field("timeout", before.timeout, after.timeout);
    compared.field("latency objective", before.objective, after.objective);
    compared.field("gap objective", before.gapObjective, after.gapObjective);
    compared.field("priority", before.priorityLevel, after.priorityLevel);
    compared.field("attempts", before.maxAttempts, after.maxAttempts);
    compared.field("public", before.isPublic, after.isPublic);
    compared.field("resumable", before.isResumable, after.isResumable);
    compared.field("targets", before.targets, after.targets);
}

void compareEngines(std::vector<config_change>& changes, const std::string& place,
    const engine_config& before, const engine_config& after)
{
    comparison compared(changes, place);
    compared.field("slots", before.slots, after.slots);
    compared.field("KV cache", before.kvCacheTokens, after.kvCacheTokens);
    compared.field("memory for weights", before.weightMemoryMb, after.weightMemoryMb);
    compared.field("adapter slots", before.adapterSlots, after.adapterSlots);
    compared.field("loads per second", before.loadsPerSecond, after.loadsPerSecond);
    for (const auto& model : before.models) {
        if (after.find(model.name) == nullptr)
            changes.push_back({ place, quoted("model", model.name) + " is removed" });
    }
    for (const auto& model : after.models) {
        const model_config* const known = before.find(model.name);
        if (known == nullptr)
            changes.push_back({ place, quoted("model", model.name) + " is added" });
        else if (*known != model)
            changes.push_back({ place, quoted("model", model.name) + " has other values" });
    }
}

void compareEntry(std::vector<config_change>& changes, const std::string& place, const service_config& before,
    const service_config& after)
{
    comparison compared(changes, place);
    compared.field("connections", before.maxConnections, after.maxConnections);
    compared.field("runs models", before.engine.has_value(), after.engine.has_value());
    if (before.engine && after.engine)
        compareEngines(changes, place, *before.engine, *after.engine);
}

void compareEntry(std::vector<config_change>& changes, const std::string& place, const team_config& before,
    const team_config& after)
{
    const std::set<std::string> oldKeys(before.apiKeys.begin(), before.apiKeys.end());
    const std::set<std::string> newKeys(after.apiKeys.begin(), after.apiKeys.end());
    const auto missingIn = [](const std::set<std::string>& keys, const std::set<std::string>& other) {
        return std::count_if(
            keys.begin(), keys.end(), [&](const std::string& key) { return !other.contains(key); });
    };
    if (const auto removed = missingIn(oldKeys, newKeys); removed > 0)
        changes.push_back({ place, "API keys withdrawn: " + std::to_string(removed) });
    if (const auto added = missingIn(newKeys, oldKeys); added > 0)
        changes.push_back({ place, "API keys added: " + std::to_string(added) });
    comparison compared(changes, place);
    compared.field("priority", before.priorityLevel, after.priorityLevel);
    compared.field("counts tokens", before.countsTokens, after.countsTokens);
    compared.field("tokens of a request", before.defaultRequestTokens, after.defaultRequestTokens);
    compared.field("rate", before.ratePerSecond, after.ratePerSecond);
    compared.field("burst", before.burst, after.burst);
}

template <typename Entry>
void compareEntries(std::vector<config_change>& changes, const std::string& kind,
    const std::vector<Entry>& before, const std::vector<Entry>& after)
{
    std::map<std::string, const Entry*> known;
    for (const auto& entry : before)
        known.try_emplace(entry.name, &entry);
    std::set<std::string> kept;
    for (const auto& entry : after) {
        const std::string place = quoted(kind, entry.name);
        const auto found = known.find(entry.name);
        if (found == known.end())
            changes.push_back({ place, "is added" });
        else if (kept.insert(entry.name).second)
            compareEntry(changes, place, *found->second, entry);
    }
    for (const auto& [name, entry] : known) {
        if (!kept.contains(name))
            changes.push_back({ quoted(kind, name), "is removed" });
    }
}

} // namespace

std::vector<config_finding> checkConfig(const fleet_config& config)
{
    return checker(config).run();
}

std::vector<config_finding> checkReplacement(const fleet_config& inForce, const fleet_config& next)
{
    if (next.version > inForce.version)
        return {};
    return { { config_severity::Error, "version",
        "is " + std::to_string(next.version) + ", but version " + std::to_string(inForce.version)
            + " is in force: gateways ignore a version that is not higher" } };
}

std::vector<config_change> compareConfigs(const fleet_config& inForce, const fleet_config& next)
{
    std::vector<config_change> changes;
    compareEntries(changes, "route", inForce.routes, next.routes);
    compareEntries(changes, "service", inForce.services, next.services);
    compareEntries(changes, "team", inForce.teams, next.teams);
    comparison limits(changes, "limits");
    limits.field("bytes of a head", inForce.limits.maxHeadBytes, next.limits.maxHeadBytes);
    limits.field("bytes of a body", inForce.limits.maxBodyBytes, next.limits.maxBodyBytes);
    limits.field("timeout of a head", inForce.limits.headTimeout, next.limits.headTimeout);
    limits.field("idle timeout", inForce.limits.idleTimeout, next.limits.idleTimeout);
    return changes;
}

} // namespace sagesaddle
