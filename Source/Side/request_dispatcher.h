#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Record/side_view.h"
#include "Route/waiting_queue.h"
#include "Side/claimed_exchange.h"
#include "Wire/frame_server.h"
#include "Wire/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sagesaddle {

class engine_control;
class metric_registry;
class span_exporter;

/// \brief Queues requests before the upstream and runs them on a pool of workers.
///
/// Lock order: the dispatcher's own, then the engine control's; frames are sent with none held.
class request_dispatcher {
public:
    struct options {
        std::string upstream;
        address target;
        std::uint32_t workers { 64 };
        std::uint32_t maxWaiting { 1024 };
        queue_order order { queue_order::Fair };
    };

    /// Sends a frame over a connection; false where it is gone or its queue is full.
    using send_frame = std::function<bool(connection_id, const message&)>;

    request_dispatcher(options settings, send_frame send, metric_registry& metrics, span_exporter& spans);

    /// Cancels what runs and waits for the workers.
    ~request_dispatcher();

    request_dispatcher(const request_dispatcher&) = delete;
    request_dispatcher& operator=(const request_dispatcher&) = delete;

    /// Takes in what the records say; requests are refused before the first view.
    /// \param engine control of the engine, or null where the upstream is a plain service; must outlive this
    void setView(const side_view& view, engine_control* engine, claim_hooks claims);

    void onRequest(connection_id connection, request_message request);
    void onCancel(connection_id connection, std::uint64_t id);
    void onConnectionClosed(connection_id connection);

    /// The set of usable models changed.
    void onModelsChanged();

    /// Refuses new requests from now on; those taken go on.
    void rejectNewRequests();
    bool isDraining() const;

    /// \return whether no request waits or runs.
    bool isIdle() const;

    /// Waits until no request waits or runs.
    void waitIdle();

    load_report load() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
