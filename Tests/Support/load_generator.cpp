#include "Support/load_generator.h"

#include "Support/calls.h"

#include <algorithm>

namespace sagesaddle::testing {

load_generator::load_generator(options given)
    : m_options(std::move(given))
{
    for (std::size_t i = 0; i < m_options.callers; ++i)
        m_callers.emplace_back([this, i](const std::stop_token& stop) { callAllTheTime(i, stop); });
}

void load_generator::waitFor(milliseconds length)
{
    std::this_thread::sleep_for(length);
}

void load_generator::stopAfter(milliseconds length)
{
    waitFor(length);
    m_callers.clear();
}

void load_generator::callAllTheTime(std::size_t number, const std::stop_token& stop)
{
    // 7 is prime to ten, so that every caller's requests are spread in the same proportion.
    for (std::size_t turn = number; !stop.stop_requested(); turn += 7) {
        callOnce(m_options.entries[turn % 10 < m_options.firstEntryTenths ? 0 : 1]);
        std::this_thread::sleep_for(m_options.pause);
    }
}

void load_generator::callOnce(const address& entry)
{
    http_request request = chatRequest(entry, { .prompt = "oak saddle", .tokens = m_options.size.answer });
    request.timeout = seconds(10);
    const auto sent = monotonicNow();
    const http_response answer = send(request, m_options.team);
    const auto done = monotonicNow();
    const std::lock_guard lock(m_mutex);
    if (answer.status == 200) {
        m_admitted.push_back({ sent, done });
        ++m_report.admitted;
    } else if (answer.status == 429) {
        ++m_report.refusedForRate;
    } else if (answer.status != 0) {
        ++m_report.refusedOtherwise[problemMember(answer, "reason")];
    } else {
        ++m_report.unanswered;
    }
}

load_result load_generator::report() const
{
    const std::lock_guard lock(m_mutex);
    return m_report;
}

double load_generator::maxExcessTokens(double rate, double burst) const
{
    const std::lock_guard lock(m_mutex);
    const double tokens = m_options.size.prompt + m_options.size.answer;
    std::vector<sample> byEnd = m_admitted;
    std::sort(byEnd.begin(), byEnd.end(), [](const sample& a, const sample& b) { return a.done < b.done; });
    double worst = -burst;
    for (const sample& first : m_admitted) {
        double used = 0;
        for (const sample& last : byEnd) {
            if (last.sent < first.sent)
                continue;
            used += tokens;
            const double window = std::chrono::duration<double>(last.done - first.sent).count();
            worst = std::max(worst, used - burst - rate * window);
        }
    }
    return worst;
}

} // namespace sagesaddle::testing
