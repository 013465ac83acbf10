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
    Ready,
    /// It is being loaded, or will be as soon as memory is free.
    Loading,
    /// Pinned models hold the memory that it needs.
    NoMemory,
    /// The records know no such model.
    Unknown,
    /// Nothing may be ordered now.
    NoOrders,
};

/// \brief What is known of the engine at one moment.
struct engine_status {
    std::vector<std::string> residentModels;
    std::vector<std::string> loadingModels;
    std::uint64_t freeMemoryMb { 0 };
    milliseconds reportAge { 0 };
    std::vector<std::uint64_t> cachedPrefixes;
    /// Whether orders may be given, and if not why: `open`, `settling`, `no_fence`, `fenced_off`,
    /// `no_report`.
    std::string orders;
    std::uint64_t fence { 0 };
    std::size_t ordersOutstanding { 0 };
};

/// \brief Watches a model engine and gives it orders, on a thread of its own.
///
/// The ledger decides what memory an order may take, the planner which orders are given.
/// Lock order: the caller's locks, then this object's; `onChange` is called without any.
class engine_control {
public:
    struct options {
        std::string upstream;
        /// Starts the ids of the orders; unique to each start of this process.
        std::string runId;
        address target;
        milliseconds reportPollInterval { 250 };
        milliseconds orderSettlingTime { 10000 };
        /// Asks for this process's fencing number; throws where the log gives none now. May be empty.
        std::function<std::uint64_t()> acquireFence;
    };

    /// \param onChange called on the control's thread after the set of usable models changed
    engine_control(options settings, metric_registry& metrics, std::function<void()> onChange);
    ~engine_control();

    engine_control(const engine_control&) = delete;
    engine_control& operator=(const engine_control&) = delete;

    /// Ends the control's thread: no callback runs and no order is given afterwards.
    void stop();

    void setView(const side_view& view);

    /// Asks for a model on behalf of a request; one that is not loaded is ordered where it fits. Where it is
    /// Ready or Loading it counts as used until endModelUse, and is not evicted meanwhile.
    model_readiness requestModel(const std::string& model, monotonic_time now);

    /// \return whether a model that a request waits for can be used by now.
    model_readiness readiness(const std::string& model) const;

    /// \return the expected time until a model that is being loaded is ready.
    milliseconds expectedLoadTime(const std::string& model, monotonic_time now) const;

    void endModelUse(const std::string& model, monotonic_time now);

    /// The engine said that it does not hold the model, whatever its last report said.
    void markNotLoaded(const std::string& model, monotonic_time now);

    engine_status status(monotonic_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
