#include "upstream_speed_replay.h"

#include "Support/test_time.h"

#include <algorithm>
#include <deque>

namespace sagesaddle::testing {

namespace {

constexpr double msPerToken = 0.06;
constexpr double stepMs = 10;
constexpr double chunk = 1024;
constexpr int slots = 32;

struct stream {
    std::size_t gateway { 0 };
    double arrivedAt { 0 };
    double unread { 0 };
    double prompt { 0 };
    double forecast { 0 };
    int tokensLeft { 0 };
    int tokensSent { 0 };
    double lastEventAt { -1 };
    double longestGap { 0 };
};

struct engine {
    double time { 1 };
    double busyUntil { 0 };
    double chunkTokens { 0 };
    std::deque<stream> waiting {};
    std::vector<stream> running {};
};

struct view {
    std::vector<int> inFlight;
    std::vector<double> ahead;

    explicit view(std::size_t engines = 0)
        : inFlight(engines)
        , ahead(engines)
    {
    }
};

struct gateway {
    view own;
    view peers;
    std::vector<upstream_pace> paces;
    std::uint64_t revision { 0 };
};

} // namespace

speed_replay::outcome speed_replay::run() const
{
    std::minstd_rand random(7);
    const auto draw = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
    std::vector<engine> engines;
    for (const double time : times)
        engines.push_back({ time });
    view all(times.size());
    std::vector<gateway> fleet(
        static_cast<std::size_t>(gateways), gateway { all, all, std::vector<upstream_pace>(times.size()) });
    pace_table table;
    outcome result;
    result.sent.resize(times.size());
    const auto finishIteration = [&](engine& one, std::size_t index, double now) {
        const auto end = [&](const stream& done) {
            --all.inFlight[index];
            --fleet[done.gateway].own.inFlight[index];
            result.lateGap += done.longestGap > 300 ? 1 : 0;
        };
        for (auto& item : one.running) {
            --item.tokensLeft;
            if (++item.tokensSent % 7 == 3 || item.tokensSent % 7 == 0) {
                item.longestGap = std::max(item.longestGap, now - item.lastEventAt);
                item.lastEventAt = now;
            }
        }
        for (const auto& item : one.running)
            if (item.tokensLeft <= 0)
                end(item);
        std::erase_if(one.running, [](const stream& item) { return item.tokensLeft <= 0; });
        for (double tokens = one.chunkTokens; tokens > 0 && !one.waiting.empty();) {
            stream& first = one.waiting.front();
            const double read = std::min(tokens, first.unread);
            first.unread -= read;
            tokens -= read;
            if (first.unread > 0)
                break;
            const double elapsed = now - first.arrivedAt;
            result.lateFirst += elapsed > 500 ? 1 : 0;
            all.ahead[index] -= first.prompt;
            fleet[first.gateway].own.ahead[index] -= first.prompt;
            fleet[first.gateway].paces[index].onSample(elapsed, first.forecast, at(static_cast<int>(now)));
            first.lastEventAt = now;
            one.running.push_back(first);
            one.waiting.pop_front();
        }
        one.chunkTokens = 0;
    };
    const auto beginIteration = [&](engine& one, double now) {
        double waiting = 0;
        for (const auto& item : one.waiting)
            waiting += item.unread;
        one.chunkTokens = one.running.size() < slots ? std::min(waiting, chunk) : 0;
        if (one.chunkTokens > 0 || !one.running.empty())
            one.busyUntil
                = now + one.time * (one.chunkTokens * msPerToken + (one.running.empty() ? 0 : stepMs));
    };
    const auto report = [&](gateway& from, double now) {
        for (std::size_t index = 0; index < engines.size(); ++index) {
            from.peers.inFlight[index] = all.inFlight[index] - from.own.inFlight[index];
            from.peers.ahead[index] = all.ahead[index] - from.own.ahead[index];
            table.onSamples(
                std::to_string(index), "desk", from.paces[index].takeUnreported(), at(static_cast<int>(now)));
        }
        table.update(at(static_cast<int>(now)));
        if (learns)
            for (const auto& item : table.changesSince(from.revision))
                from.paces[static_cast<std::size_t>(std::stoi(item.upstream))].onTold(item.factor);
        from.revision = table.revision();
    };
    const auto place = [&](std::size_t number, double now) {
        gateway& from = fleet[number];
        const request_demand demand { 300 + 2200 * draw(), 0, 500, learns ? 300.0 : 0.0 };
        std::vector<upstream_candidate> candidates;
        const double unreported = requestsPerSecond * (gateways - 1) / gateways * reportMilliseconds / 2000;
        for (const auto index : sampleUpstreams(engines.size(), unreported, draw)) {
            upstream_candidate one;
            one.inFlight = from.own.inFlight[index] + from.peers.inFlight[index];
            one.tokensAhead = from.own.ahead[index] + from.peers.ahead[index];
            one.slots = slots;
            one.millisecondsPerToken = msPerToken;
            one.meanRequestMilliseconds = 1500;
            one.timeFactor = from.paces[index].factor(true, at(static_cast<int>(now)));
            one.memoryUsed = static_cast<double>(index);
            candidates.push_back(one);
        }
        ++result.requests;
        const auto choice = chooseUpstream(candidates, demand, 1.2);
        const auto* chosen = std::get_if<chosen_upstream>(&choice);
        if (chosen == nullptr) {
            ++result.lateFirst;
            return;
        }
        const auto index = static_cast<std::size_t>(candidates[chosen->index].memoryUsed);
        stream added { number, now, demand.promptTokens, demand.promptTokens };
        added.forecast = (candidates[chosen->index].tokensAhead + demand.promptTokens) * msPerToken;
        added.tokensLeft = 60 + static_cast<int>(90 * draw());
        engines[index].waiting.push_back(added);
        ++result.sent[index];
        for (auto* one : { &all, &from.own }) {
            ++one->inFlight[index];
            one->ahead[index] += demand.promptTokens;
        }
    };
    for (int now = 0; now < static_cast<int>(replaySeconds * 1000); ++now) {
        for (std::size_t index = 0; index < engines.size(); ++index) {
            engine& one = engines[index];
            while (one.busyUntil <= now) {
                finishIteration(one, index, std::max(one.busyUntil, 0.0));
                const double began = one.busyUntil;
                beginIteration(one, one.busyUntil < now - 1 ? now : one.busyUntil);
                if (one.busyUntil == began) {
                    one.busyUntil = now + 1;
                    break;
                }
            }
        }
        for (std::size_t number = 0; number < fleet.size(); ++number)
            if ((now + static_cast<int>(number) * reportMilliseconds / gateways) % reportMilliseconds == 0)
                report(fleet[number], now);
        if (draw() < requestsPerSecond / 1000)
            place(static_cast<std::size_t>(draw() * gateways), now);
    }
    for (const auto& pace : fleet.front().paces)
        result.factors.push_back(pace.factor(true, at(static_cast<int>(replaySeconds * 1000))));
    return result;
}

} // namespace sagesaddle::testing
