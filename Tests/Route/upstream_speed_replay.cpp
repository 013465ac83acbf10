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

/// \brief State of a replay while it runs.
class running_replay {
public:
    explicit running_replay(const speed_replay& settings)
        : m_settings(settings)
        , m_all(settings.times.size())
        , m_fleet(static_cast<std::size_t>(settings.gateways),
              gateway { m_all, m_all, std::vector<upstream_pace>(settings.times.size()) })
    {
        for (const double time : settings.times)
            m_engines.push_back({ time });
        m_result.sent.resize(settings.times.size());
    }

    speed_replay::outcome run()
    {
        const int end = static_cast<int>(m_settings.replaySeconds * 1000);
        const int pause = m_settings.reportMilliseconds;
        for (int now = 0; now < end; ++now) {
            for (std::size_t index = 0; index < m_engines.size(); ++index)
                advance(index, now);
            for (std::size_t number = 0; number < m_fleet.size(); ++number) {
                if ((now + static_cast<int>(number) * pause / m_settings.gateways) % pause == 0)
                    report(m_fleet[number], now);
            }
            if (draw() < m_settings.requestsPerSecond / 1000)
                place(static_cast<std::size_t>(draw() * m_settings.gateways), now);
        }
        for (const auto& pace : m_fleet.front().paces)
            m_result.factors.push_back(pace.factor(true, at(end)));
        return m_result;
    }

private:
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    /// Runs an engine's iterations up to a time: each reads a chunk and lets all streams make a token step.
    void advance(std::size_t index, int now)
    {
        engine& one = m_engines[index];
        while (one.busyUntil <= now) {
            sendTokens(index, one.busyUntil);
            readChunk(index, one.busyUntil);
            const double began = one.busyUntil;
            double waiting = 0;
            for (const auto& item : one.waiting)
                waiting += item.unread;
            one.chunkTokens = one.running.size() < slots ? std::min(waiting, chunk) : 0;
            const double step = one.running.empty() ? 0 : stepMs;
            one.busyUntil
                = (began < now - 1 ? now : began) + one.time * (one.chunkTokens * msPerToken + step);
            if (one.chunkTokens <= 0 && step <= 0) {
                one.busyUntil = now + 1;
                break;
            }
        }
    }

    void sendTokens(std::size_t index, double now)
    {
        auto& running = m_engines[index].running;
        for (auto& item : running) {
            --item.tokensLeft;
            // Events hold three and four tokens in turn.
            if (++item.tokensSent % 7 == 3 || item.tokensSent % 7 == 0) {
                item.longestGap = std::max(item.longestGap, now - item.lastEventAt);
                item.lastEventAt = now;
            }
            if (item.tokensLeft > 0)
                continue;
            --m_all.inFlight[index];
            --m_fleet[item.gateway].own.inFlight[index];
            m_result.lateGap += item.longestGap > 300 ? 1 : 0;
        }
        std::erase_if(running, [](const stream& item) { return item.tokensLeft <= 0; });
    }

    void readChunk(std::size_t index, double now)
    {
        engine& one = m_engines[index];
        while (one.chunkTokens > 0 && !one.waiting.empty()) {
            stream& first = one.waiting.front();
            const double read = std::min(one.chunkTokens, first.unread);
            first.unread -= read;
            one.chunkTokens -= read;
            if (first.unread > 0)
                break;
            const double elapsed = now - first.arrivedAt;
            m_result.lateFirst += elapsed > 500 ? 1 : 0;
            gateway& from = m_fleet[first.gateway];
            m_all.ahead[index] -= first.prompt;
            from.own.ahead[index] -= first.prompt;
            from.paces[index].onSample(elapsed, first.forecast, at(static_cast<int>(now)));
            first.lastEventAt = now;
            one.running.push_back(first);
            one.waiting.pop_front();
        }
    }

    void report(gateway& from, int now)
    {
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            from.peers.inFlight[index] = m_all.inFlight[index] - from.own.inFlight[index];
            from.peers.ahead[index] = m_all.ahead[index] - from.own.ahead[index];
            m_table.onSamples(std::to_string(index), "desk", from.paces[index].takeUnreported(), at(now));
        }
        m_table.update(at(now));
        if (m_settings.learns) {
            for (const auto& item : m_table.changesSince(from.revision))
                from.paces[static_cast<std::size_t>(std::stoi(item.upstream))].onTold(item.factor);
        }
        from.revision = m_table.revision();
    }

    void place(std::size_t number, int now)
    {
        gateway& from = m_fleet[number];
        const request_demand demand { 300 + 2200 * draw(), 0, 500, m_settings.learns ? 300.0 : 0.0 };
        const double others = (m_settings.gateways - 1.0) / m_settings.gateways;
        const auto indices = sampleUpstreams(m_engines.size(),
            m_settings.requestsPerSecond * others * m_settings.reportMilliseconds / 2000,
            [this] { return draw(); });
        std::vector<upstream_candidate> candidates;
        for (const auto index : indices) {
            upstream_candidate one;
            one.inFlight = from.own.inFlight[index] + from.peers.inFlight[index];
            one.tokensAhead = from.own.ahead[index] + from.peers.ahead[index];
            one.slots = slots;
            one.millisecondsPerToken = msPerToken;
            one.meanRequestMilliseconds = 1500;
            one.timeFactor = from.paces[index].factor(true, at(now));
            candidates.push_back(one);
        }
        ++m_result.requests;
        const auto choice = chooseUpstream(candidates, demand, 1.2);
        const auto* chosen = std::get_if<chosen_upstream>(&choice);
        if (chosen == nullptr) {
            ++m_result.lateFirst;
            return;
        }
        const std::size_t index = indices[chosen->index];
        stream added { number, static_cast<double>(now), demand.promptTokens, demand.promptTokens };
        added.forecast = (candidates[chosen->index].tokensAhead + demand.promptTokens) * msPerToken;
        added.tokensLeft = 60 + static_cast<int>(90 * draw());
        m_engines[index].waiting.push_back(added);
        ++m_result.sent[index];
        for (auto* known : { &m_all, &from.own }) {
            ++known->inFlight[index];
            known->ahead[index] += demand.promptTokens;
        }
    }

    const speed_replay& m_settings;
    std::minstd_rand m_random { 7 };
    view m_all;
    std::vector<gateway> m_fleet;
    std::vector<engine> m_engines;
    pace_table m_table;
    speed_replay::outcome m_result;
};

} // namespace

speed_replay::outcome speed_replay::run() const
{
    return running_replay(*this).run();
}

} // namespace sagesaddle::testing
