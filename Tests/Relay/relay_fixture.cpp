#include "Relay/relay_fixture.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>

namespace sagesaddle {

relay_fixture::relay_fixture(std::size_t callerMemoryBytes)
    : lines(::open("/dev/null", O_WRONLY | O_CLOEXEC), log_level::Info)
    , tested(loop, { "z", seconds(4), 0.5, 50, 100, false, callerMemoryBytes }, telemetry,
          { [this](const relay_exchange_ptr& request) {
               request->onCreditDecision(grantsCredit ? credit_outcome::Granted : credit_outcome::OverLimit,
                   grantsCredit ? std::nullopt : std::optional(milliseconds(1500)));
           },
              [this](const std::string&, double tokens) { refunded += tokens; },
              [this](const std::string&, const std::string&, const std::string&) { ++missingModels; }, {},
              [this] { return grantsSendCredit(); } })
    , listener(loop, { "127.0.0.1", 0 }, [this](evutil_socket_t socket) { tested.accept(socket); })
{
    // As in the gateway: writing to a closed connection returns an error instead of raising a signal.
    std::signal(SIGPIPE, SIG_IGN);
    tested.onConfig(std::make_shared<fleet_config>(config(1)));
    tested.onConfigConfirmed(bootTimeNow());
}

bool relay_fixture::grantsSendCredit()
{
    const monotonic_time now = bootTimeNow();
    for (const auto& asked : tested.sendCredit().takeRequests(now)) {
        if (asked.needed > 0)
            tested.sendCredit().onGrant(asked.limit.upstream, sendCreditPerRequest,
                sendCreditPerRequest > 0 ? milliseconds(0) : sendRetryAfter, now, now);
    }
    tested.schedulePlacement();
    return hasCoordinator;
}

fleet_config relay_fixture::config(std::uint64_t version)
{
    fleet_config value;
    value.version = version;
    const auto add = [&](const std::string& prefix, route_type repeats, bool isResumable, bool isOpen) {
        route_config route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        route.type = repeats;
        route.isResumable = isResumable;
        route.isPublic = isOpen;
        route.timeout = seconds(8);
        route.objective = seconds(1);
        route.maxAttempts = 2;
        route.targets = { { "desk", 1 } };
        value.routes.push_back(route);
    };
    add("/safe/", route_type::Idempotent, false, false);
    add("/unsafe/", route_type::NonIdempotent, false, false);
    add("/stream/", route_type::Stream, false, false);
    add("/resume/", route_type::Stream, true, false);
    add("/open/", route_type::Idempotent, false, true);
    team_config team;
    team.name = "atelier";
    team.apiKeys = { "key-1" };
    team.ratePerSecond = 1000;
    team.defaultRequestTokens = 10;
    team.countsTokens = true;
    value.teams = { team };
    return value;
}

scripted_upstream& relay_fixture::addUpstream(const std::string& id, std::vector<loaded_model> models)
{
    upstreams.emplace_back(loop, id);
    upstreams.back().models = std::move(models);
    publishUpstreams();
    return upstreams.back();
}

void relay_fixture::publishUpstreams()
{
    std::map<std::string, upstream_entry> entries;
    for (const auto& upstream : upstreams) {
        const auto entry = upstream.entry();
        entries.emplace(entry.id, entry);
    }
    tested.onUpstreams(entries);
}

scripted_caller& relay_fixture::addCaller()
{
    callers.emplace_back(loop, listener.port());
    return callers.back();
}

bool relay_fixture::ended(const scripted_caller& caller)
{
    return loopUntil(loop, [&] { return caller.status() != 0 || caller.isClosed(); });
}

void answerAll(scripted_upstream& upstream)
{
    upstream.onRequest = [](const scripted_upstream::request& asked) {
        asked.stream->write(scripted_upstream::answer(asked, 200, "ok"));
    };
}

} // namespace sagesaddle
