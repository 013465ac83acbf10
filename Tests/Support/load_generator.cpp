#include "Support/load_generator.h"

#include "Support/calls.h"

#include <algorithm>

namespace sagesaddle::testing {

load_generator::load_generator(options given)
    : m_options(std::move(given))
{
    for (std::size_t i = 0; i < m_options.callers; ++i)
        m_callers.emplace_back([this, i](const std::stop_token& stop) { sendRepeatedly(i, stop); });
}

void load_generator::waitFor(milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

void load_generator::stopAfter(milliseconds duration)
{
    waitFor(duration);
    m_callers.clear();
}

void load_generator::sendRepeatedly(std::size_t callerIndex, const std::stop_token& stop)
{
    // 7 and 10 have no common factor, so that every caller spreads its requests in the same proportion.
    for (std::size_t turn = callerIndex; !stop.stop_requested(); turn += 7) {
        sendOnce(m_options.entries[turn % 10 < m_options.firstEntryTenths ? 0 : 1]);
        std::this_thread::sleep_for(m_options.pause);
    }
}

void load_generator::sendOnce(const address& entry)
{
    http_request request = chatRequest(entry, { .prompt = "oak saddle", .tokens = m_options.tokens.answer });
    request.timeout = seconds(10);
    const auto sent = monotonicNow();
    const http_response answer = send(request, m_options.team);
    const auto done = monotonicNow();
    const std::lock_guard lock(m_mutex);
    if (answer.status == 200) {
        m_admitted.push_back({ sent, done });
        ++m_result.admitted;
    } else if (answer.status == 429) {
        ++m_result.refusedForRate;
    } else if (answer.status != 0) {
        ++m_result.refusedOtherwise[problemMember(answer, "reason")];
    } else {
        ++m_result.unanswered;
    }
}

load_result load_generator::result() const
{
    const std::lock_guard lock(m_mutex);
    return m_result;
}

double load_generator::maxExcessTokens(double rate, double burst) const
{
    const std::lock_guard lock(m_mutex);
    const double tokens = m_options.tokens.prompt + m_options.tokens.answer;
    std::vector<sample> byEnd = m_admitted;
    std::sort(byEnd.begin(), byEnd.end(), [](const sample& a, const sample& b) { return a.done < b.done; });
    double maxExcess = -burst;
    for (const sample& first : m_admitted) {
        double used = 0;
        for (const sample& last : byEnd) {
            if (last.sent < first.sent)
                continue;
            used += tokens;
            const double window = std::chrono::duration<double>(last.done - first.sent).count();
            maxExcess = std::max(maxExcess, used - burst - rate * window);
        }
    }
    return maxExcess;
}

} // namespace sagesaddle::testing
