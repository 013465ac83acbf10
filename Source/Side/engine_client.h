#pragma once

#include "Base/address.h"
#include "Place/engine_report.h"
#include "Serve/http_client.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \brief An engine's reply to an order, with its sequence where it accepted.
struct order_answer {
    order_reply reply { order_reply::Lost };
    std::uint64_t sequence { 0 };

    auto operator<=>(const order_answer&) const = default;
};

/// \brief Prompt prefixes that an engine added to its cache, as far as it says.
struct cache_events {
    std::uint64_t nextSequence { 0 };
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;

    auto operator<=>(const cache_events&) const = default;
};

/// \brief Speaks an engine's control protocol; one thread at a time may use it.
class engine_client {
public:
    explicit engine_client(address target)
        : m_target(std::move(target))
    {
    }

    /// \throws std::exception where the engine gave no report that makes sense
    engine_report fetchReport();

    /// \param from sequence of the first event wanted
    /// \throws std::exception
    cache_events fetchCacheEvents(std::uint64_t from);

    /// Sends an order; a reply that makes no sense counts as lost.
    /// \param mayStillSend asked right before the order leaves; an order that is withheld counts as lost
    order_answer sendOrder(const engine_order& order, const std::function<bool()>& mayStillSend);

private:
    http_response get(const std::string& target);

    address m_target;
    http_client m_client;
};

/// Parses an engine's report.
/// \throws std::exception
engine_report parseEngineReport(const std::string& text);

} // namespace sagesaddle
