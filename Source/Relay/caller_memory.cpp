#include "Relay/caller_memory.h"

#include <algorithm>

namespace sagesaddle {

namespace {

constexpr std::size_t bytesPerMegabyte = 1048576;
// Part of the host's memory that callers may use. The allocator needs up to as much again for buffers that
// grow and for fragments; the rest is the process itself and the upstreams' answers.
constexpr std::size_t budgetDivisor = 3;
// Without a stated memory; a thousand bodies of the largest standard size.
constexpr std::size_t defaultBudgetBytes = std::size_t { 4096 } * bytesPerMegabyte;
// Part of the budget that is kept for small requests.
constexpr std::size_t reserveDivisor = 4;
// Time that is added to the time without progress, so that the size counts among active connections, too.
constexpr milliseconds baseStall { 100 };

/// \return bytes times milliseconds, by which connections are compared.
double shedScore(const caller_account& account, monotonic_time now)
{
    const auto stalled = std::max(now - account.progressAt, monotonic_duration::zero()) + baseStall;
    return static_cast<double>(account.heldBytes)
        * std::chrono::duration<double, std::milli>(stalled).count();
}

} // namespace

caller_memory::caller_memory(std::size_t budgetBytes)
    : m_budgetBytes(budgetBytes)
    , m_largeBytes(budgetBytes - budgetBytes / reserveDivisor)
    , m_resumeBytes(m_largeBytes - m_largeBytes / reserveDivisor)
{
}

std::size_t caller_memory::budgetFor(double memoryMegabytes)
{
    if (memoryMegabytes <= 0)
        return defaultBudgetBytes;
    return static_cast<std::size_t>(memoryMegabytes * static_cast<double>(bytesPerMegabyte)) / budgetDivisor;
}

void caller_memory::replace(const caller_account& before, const caller_account& after)
{
    m_heldBytes += after.heldBytes;
    m_heldBytes -= before.heldBytes;
}

caller_memory_action caller_memory::decideRead(const caller_account& asking) const
{
    const bool isSmall = asking.heldBytes <= smallRequestBytes;
    return m_heldBytes <= (isSmall ? m_budgetBytes : m_largeBytes) ? caller_memory_action::ReadOn
                                                                   : caller_memory_action::Pause;
}

std::optional<caller_memory::shed_decision> caller_memory::chooseShed(
    std::span<const caller_account> accounts, bool hasPaused, monotonic_time now) const
{
    if (m_heldBytes <= (hasPaused ? m_resumeBytes : m_largeBytes))
        return std::nullopt;
    const bool isReserveUsedUp = m_heldBytes > m_budgetBytes;
    std::optional<std::size_t> chosen;
    double chosenScore = 0;
    for (std::size_t position = 0; position < accounts.size(); ++position) {
        const caller_account& account = accounts[position];
        if (account.heldBytes == 0 || account.stage == caller_stage::Running)
            continue;
        const bool isStalled = now - account.progressAt >= shedAfter;
        if (!isStalled && (!isReserveUsedUp || account.stage == caller_stage::Unread))
            continue;
        const double score = shedScore(account, now);
        if (score <= chosenScore)
            continue;
        chosen = position;
        chosenScore = score;
    }
    if (!chosen)
        return std::nullopt;
    return shed_decision { *chosen,
        accounts[*chosen].stage == caller_stage::Unread ? caller_memory_action::Close
                                                        : caller_memory_action::Refuse };
}

} // namespace sagesaddle
