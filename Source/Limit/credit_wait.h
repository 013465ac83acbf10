#pragma once

#include "Base/clock.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <variant>

namespace sagesaddle {

/// \brief What a gateway knows about who grants credit.
struct coordination_state {
    /// Time since a coordinator last answered; since the start of the process where none has.
    milliseconds silentFor { 0 };
    /// A coordinator has answered this process.
    bool hasAnswered { false };
    /// The coordinator that fell silent named a successor.
    bool hasSuccessor { false };
    /// Nobody can acquire the lease, as far as this gateway knows.
    bool isStoreUnreachable { false };
    /// Number of gateways in the fleet; 0 counts as 1.
    unsigned gateways { 1 };

    auto operator<=>(const coordination_state&) const = default;
};

/// \brief A request for which no credit has been granted yet.
struct uncredited_request {
    /// Latency objective of its route.
    milliseconds objective { 0 };
    /// Time until its deadline.
    milliseconds timeLeft { 0 };
    /// Time for which it has waited for credit.
    milliseconds waitedFor { 0 };
    /// Number of other requests that wait for credit at this gateway.
    std::size_t othersWaiting { 0 };

    auto operator<=>(const uncredited_request&) const = default;
};

/// The request waits until the next decision.
struct wait_for_credit {
    /// Time until a coordinator is due; 0 where it is expected to answer at once.
    milliseconds dueIn { 0 };

    auto operator<=>(const wait_for_credit&) const = default;
};

/// The request is refused, since its limit will not be known in time.
struct refuse_uncredited {
    milliseconds retryAfter { 0 };

    auto operator<=>(const refuse_uncredited&) const = default;
};

using credit_wait_decision = std::variant<wait_for_credit, refuse_uncredited>;

/// Requests that may wait for credit at one gateway.
inline constexpr std::size_t maxCreditWaits = 512;

/// \return the time until a coordinator is due: 0 while one answers, nothing where none can be expected.
std::optional<milliseconds> coordinatorDueIn(const coordination_state& state);

/// Decides whether a request without credit waits. It is to be called when the request arrives, and again
/// while it waits, since a coordinator may not come when it is due.
///
/// A late answer is worth more than a refusal, after which the caller comes back late as well. A request
/// therefore waits for a coordinator that is due early enough for the request to be served after that.
credit_wait_decision decideCreditWait(const coordination_state& state, const uncredited_request& request);

} // namespace sagesaddle
