#include "Support/calls.h"
#include "Support/fleet.h"
#include "Support/until.h"

#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace sagesaddle;
using namespace sagesaddle::testing;

namespace {

constexpr std::size_t cutZone = 1;
constexpr std::size_t callersPerEntry = 3;
constexpr milliseconds requestTimeout { 3000 };
// Far shorter than the timeout of a request, so that a request that waits for a frozen side process is
// noticed.
constexpr milliseconds maxRefusalTime { 1500 };
constexpr milliseconds silenceTimeout { 3000 };
constexpr milliseconds maxAnswerTime = requestTimeout + seconds(2);
// Keeps refused callers from a busy loop; no check depends on it.
constexpr milliseconds requestInterval { 10 };
const std::string onlyInCutZone = "model-2";

http_response timedChat(const address& entry, const chat_call& call, const std::string& id = "probe")
{
    http_request request = chatRequest(entry, call);
    request.headers.emplace_back("X-Request-Timeout-Ms", std::to_string(requestTimeout.count()));
    request.headers.emplace_back("X-Request-Id", id);
    return send(request, "walkin");
}

/// \brief Callers at the entries of the other zones, which check each of their answers.
class zone_callers {
public:
    explicit zone_callers(fleet& fleet)
        : m_fleet(fleet)
    {
        for (const std::size_t entry : { 0, 2 }) {
            for (std::size_t i = 0; i < callersPerEntry; ++i)
                m_threads.emplace_back([this, entry, i](const std::stop_token& stop) {
                    sendRepeatedly(entry, std::to_string(entry) + "-" + std::to_string(i) + "-", stop);
                });
        }
    }

    std::size_t answered() const
    {
        const std::lock_guard lock(m_mutex);
        return m_answered;
    }

    /// \return the ids of the requests that were refused as not_run.
    std::vector<std::string> notRun() const
    {
        const std::lock_guard lock(m_mutex);
        return m_notRun;
    }

    void stop() { m_threads.clear(); }

private:
    void sendRepeatedly(std::size_t entry, const std::string& name, const std::stop_token& stop)
    {
        for (std::size_t index = 0; !stop.stop_requested(); ++index) {
            const std::string id = name + std::to_string(index);
            const chat_call call { .model = index % 2 == 0 ? "shared" : onlyInCutZone,
                .prompt = "caller " + id,
                .tokens = 6,
                .stream = index % 4 < 2 };
            const auto start = monotonicNow();
            const http_response answer = timedChat(m_fleet.entry(entry).listen, call, id);
            check(answer, call, id, monotonicNow() - start);
            std::this_thread::sleep_for(requestInterval);
        }
    }

    void check(const http_response& answer, const chat_call& call, const std::string& id,
        monotonic_duration duration)
    {
        const std::lock_guard lock(m_mutex);
        INFO(id << ": " << answer.body);
        CHECK(duration <= maxAnswerTime);
        const bool isComplete = !textOf(answer).empty();
        const std::string verdict = problemMember(answer, "verdict");
        const bool hasErrorEvent = answer.body.find("event: error") != std::string::npos;
        CHECK((isComplete || hasErrorEvent || verdict == "not_run" || verdict == "may_have_run"));
        if (isComplete)
            CHECK(textOf(answer) == expectedText(call));
        m_answered += isComplete;
        if (verdict == "not_run")
            m_notRun.push_back(id);
    }

    fleet& m_fleet;
    mutable std::mutex m_mutex;
    std::size_t m_answered { 0 };
    std::vector<std::string> m_notRun;
    std::vector<std::jthread> m_threads;
};

bool hasLogged(const fleet_member& member, const std::string& text)
{
    return member.process->output().find(text) != std::string::npos;
}

} // namespace

TEST_CASE(
    "zone: while a zone is cut off and after it is back, other callers get whole answers or true verdicts")
{
    // No engine has room for the model of another zone: the model of the cut zone is loaded only there.
    fleet fleet({ .entries = 3, .engines = 3, .services = 0, .engineMemoryMb = 200 });
    fleet_member* const zone[] { &fleet.entry(cutZone), &fleet.engineSide(cutZone), &fleet.engine(cutZone) };
    setFaults(fleet.engine(cutZone).listen, { { "tokens_per_second", 50 } });
    zone_callers callers(fleet);
    REQUIRE(until([&] { return callers.answered() > 2 * callersPerEntry; }));

    for (fleet_member* member : zone)
        member->process->freeze();
    for (const std::size_t i : { 0, 2 }) {
        CHECK(until(
            [&] { return hasLogged(fleet.entry(i), "a side process has fallen silent"); }, silenceTimeout));
        const auto start = monotonicNow();
        const http_response refused = timedChat(fleet.entry(i).listen, { .model = onlyInCutZone });
        CHECK(monotonicNow() - start <= maxRefusalTime);
        CHECK(problemMember(refused, "verdict") == "not_run");
        CHECK(until([&] { return !textOf(timedChat(fleet.entry(i).listen, {})).empty(); }));
    }

    REQUIRE(until([&] { return !callers.notRun().empty(); }));

    for (fleet_member* member : zone)
        member->process->wake();
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(until(
            [&] { return !textOf(timedChat(fleet.entry(i).listen, { .model = onlyInCutZone })).empty(); }));
    callers.stop();
    for (std::size_t i = 0; i < 3; ++i) {
        const auto executed = getJson(fleet.engine(i).listen, "/admin/stats").at("by_request");
        for (const std::string& id : callers.notRun())
            CHECK_FALSE(executed.contains(id));
    }
}
