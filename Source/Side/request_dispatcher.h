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

/// \brief Queues the requests to the upstream and runs them on a pool of worker threads; thread-safe.
///
/// `send` is called with no lock held, except for refusals that are sent again. Lock order: the lock of the
/// dispatcher before the lock of the engine control.
class request_dispatcher {
public:
    struct options {
        /// Name of the upstream in the records.
        std::string upstream;
        /// Address of the upstream.
        address target;
        /// Maximum number of requests that run at once.
        std::uint32_t workers { 64 };
        /// Maximum number of requests in the queue.
        std::uint32_t maxWaiting { 1024 };
        queue_order order { queue_order::Fair };
    };

    /// Sends a frame over a connection without blocking; returns false if the connection is closed or its
    /// send queue is full.
    using send_frame = std::function<bool(connection_id, const message&)>;

    request_dispatcher(options settings, send_frame send, metric_registry& metrics, span_exporter& spans);

    /// Cancels the running requests and waits for the workers.
    ~request_dispatcher();

    request_dispatcher(const request_dispatcher&) = delete;
    request_dispatcher& operator=(const request_dispatcher&) = delete;

    /// Sets the view of the records. Requests are refused before the first view.
    /// \param engine control of the engine; null if the upstream is a plain service; must outlive
    ///        this object
    /// \param claims claims calls that may run at most once
    void setView(const side_view& view, engine_control* engine, claim_hooks claims);

    /// Queues a request, parks it until its model is loaded, or refuses it; never blocks.
    /// \param connection the connection to the entry that sent the request
    void onRequest(connection_id connection, request_message request);
    /// Cancels a request, because the entry no longer waits for the answer. A request that has not started is
    /// removed and gets no answer. A running request is interrupted, except for a call to a plain service
    /// that may run at most once, as that would not undo it.
    void onCancel(connection_id connection, std::uint64_t id);
    /// Cancels all requests of a connection that has closed, as onCancel() does, and drops its unsent
    /// refusals.
    void onConnectionClosed(connection_id connection);

    /// Queues or refuses parked requests; to be called after the set of usable models has changed.
    void onModelsChanged();

    /// Refuses new requests from now on, without waiting for those that wait or run.
    void rejectNewRequests();
    bool isDraining() const;

    /// \return whether no request waits or runs and no refusal waits to be sent.
    bool isIdle() const;

    /// Waits until the dispatcher is idle as in isIdle().
    void waitIdle();

    /// \return the current load of the upstream and state of its engine, for the entries.
    load_report load() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
