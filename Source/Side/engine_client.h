#pragma once

#include "Base/address.h"
#include "Place/engine_report.h"
#include "Serve/http_client.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace sagesaddle {

/// \brief Answer of an engine to an order.
struct order_answer {
    order_reply reply { order_reply::Lost };
    /// Sequence of the engine when it accepted the order; 0 if it did not.
    std::uint64_t sequence { 0 };

    auto operator<=>(const order_answer&) const = default;
};

/// \brief Changes of an engine's cache of prompt prefixes, as reported by the engine. Prefixes are hashes.
struct cache_events {
    /// Sequence of the first event that is not included.
    std::uint64_t nextSequence { 0 };
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;

    auto operator<=>(const cache_events&) const = default;
};

/// \brief Client of an engine's control protocol over HTTP; not thread-safe.
///
/// Each call blocks for at most 1 s.
class engine_client {
public:
    explicit engine_client(address target)
        : m_target(std::move(target))
    {
    }

    /// \throws std::exception if the engine does not answer with a valid report
    engine_report fetchReport();

    /// \param from sequence of the first event to return
    /// \throws std::exception if the engine does not answer with valid events
    cache_events fetchCacheEvents(std::uint64_t from);

    /// Sends an order. If the answer is missing or invalid, the reply is Lost: the engine may have accepted
    /// the order.
    /// \param mayStillSend asked right before the order is sent; if it returns false, the order is not sent
    ///        and the reply is Lost
    order_answer sendOrder(const engine_order& order, const std::function<bool()>& mayStillSend);

private:
    http_response get(const std::string& target);

    address m_target;
    http_client m_client;
};

/// Parses the JSON text of an engine's report.
/// \throws std::exception if the text is not a valid report
engine_report parseEngineReport(const std::string& text);

} // namespace sagesaddle
