#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Record/side_view.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sagesaddle {

class metric_registry;

/// \brief Whether a model can be used on the engine.
enum class model_readiness {
    /// The model is loaded and may get new requests.
    Ready,
    /// The model is being loaded or will be as soon as memory is free.
    Loading,
    /// Models that are pinned or in use occupy the memory that the model needs, or the model must drain for a
    /// pinned one.
    NoMemory,
    /// The view of the records has no such model.
    Unknown,
    /// The model is not loaded and no orders may be sent now.
    NoOrders,
};

/// \brief State of the engine as known to its side process.
struct engine_status {
    /// Models that can be used.
    std::vector<std::string> residentModels;
    /// Models that were ordered to be loaded and are not usable yet.
    std::vector<std::string> loadingModels;
    /// Memory in MB that no model occupies or may yet occupy.
    std::uint64_t freeMemoryMb { 0 };
    /// Age of the content of the newest report; before the first report, time since this process started.
    milliseconds reportAge { 0 };
    /// Hashes of prompt prefixes that the engine recently reported as cached, oldest first.
    std::vector<std::uint64_t> cachedPrefixes;
    /// `open` if orders may be sent, otherwise why not: `no_fence`, `settling` or `fenced_off`; see
    /// ledger_phase. Empty before the first view.
    std::string orders;
    /// Fencing token of this process; 0 if it has none.
    std::uint64_t fence { 0 };
    /// Number of orders that are not settled.
    std::size_t ordersOutstanding { 0 };
};

/// \brief Polls a model engine for its state and sends it orders to load and unload models, on its own
/// thread.
///
/// planOrders() decides which orders to send, and a memory_ledger how much memory they may take. Thread-safe.
/// Lock order: a caller's locks before the lock of this object; `onChange` is called with no lock held.
class engine_control {
public:
    struct options {
        /// Name of the upstream in the records.
        std::string upstream;
        /// Unique to each start of this process; the ids of its orders begin with it.
        std::string runId;
        /// Address of the engine.
        address target;
        /// Interval between two reads of the report while no order is outstanding and no request waits for a
        /// model.
        milliseconds reportPollInterval { 250 };
        /// See memory_ledger::options::settlingTime.
        milliseconds orderSettlingTime { 10000 };
        /// Returns a new fencing token for this process; throws if the log does not provide one now. May be
        /// empty: then no token is acquired.
        std::function<std::uint64_t()> acquireFence;
    };

    /// \param metrics must outlive this object
    /// \param onChange called on the control's thread after the set of usable models has changed or orders
    ///        have become allowed or disallowed
    engine_control(options settings, metric_registry& metrics, std::function<void()> onChange);
    ~engine_control();

    engine_control(const engine_control&) = delete;
    engine_control& operator=(const engine_control&) = delete;

    /// Waits until the threads have ended: no callback runs and no order is sent afterwards.
    void stop();

    /// Sets the view of the records. No orders are sent before the first one, which also fixes whether the
    /// engine checks fencing tokens.
    void setView(const side_view& view);

    /// Requests a model on behalf of a request; a model that is not loaded will be ordered if room can be
    /// made. If the result is Ready or Loading, the model counts as in use and is not evicted until
    /// endModelUse() is called.
    model_readiness requestModel(const std::string& model, monotonic_time now);

    /// \return whether the model can be used now. Unlike requestModel(), does not request the model.
    model_readiness readiness(const std::string& model) const;

    /// \return the expected remaining time until a model is loaded: an average of past load times, less the
    ///         time since its load was ordered; 0 if that has passed.
    milliseconds expectedLoadTime(const std::string& model, monotonic_time now) const;

    /// Ends one use of a model that requestModel() began.
    void endModelUse(const std::string& model, monotonic_time now);

    /// Marks the model as not usable because the engine answered a request that it is not loaded. Reports
    /// with newer content override this.
    void markNotLoaded(const std::string& model, monotonic_time now);

    engine_status status(monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
