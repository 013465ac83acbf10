#pragma once

#include "Base/address.h"
#include "Base/clock.h"
#include "Fakes/worker_set.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace sagesaddle {
class http_call;
}

namespace sagesaddle::testing {

/// \brief The memory of a fake engine: the models in it, the orders that load and unload them, and the report
///        of both, which can lag behind.
class engine_memory {
public:
    struct options {
        std::uint64_t totalMb { 64000 };
        /// Weight store that weights are loaded from; without one a load takes `loadMs`.
        std::optional<address> store;
        std::uint32_t loadMs { 20 };
        /// Whether orders with an old fencing token are rejected.
        bool checksFencing { false };
        /// Models that are loaded at the start, each as `name=MB`.
        std::vector<std::string> preload;
    };

    /// \throws std::invalid_argument where a preloaded model has no size
    explicit engine_memory(const options& given);

    /// \brief Answers `POST /control/orders`.
    void handleOrder(http_call& call);

    /// \return whether the model is ready for requests; false while it is being loaded or unloaded.
    bool isLoaded(const std::string& model);

    /// \return the report as it was `report_lag_ms` ago.
    nlohmann::json report();

    /// \return counters for the tests, as they are now.
    nlohmann::json stats();
    /// \brief Sets the faults that the document names.
    void setFaults(const nlohmann::json& document);

private:
    struct order_document {
        std::string id;
        /// Fencing token of the sender.
        std::uint64_t fence { 0 };
        /// Load the model; otherwise unload it.
        bool isLoad { false };
        std::string model;
        std::uint64_t memoryMb { 0 };
    };

    struct model_in_memory {
        std::uint64_t memoryMb { 0 };
        /// loading, loaded or unloading
        std::string state;
    };

    struct snapshot {
        /// From when on the document was current.
        monotonic_time since;
        nlohmann::json document;
    };

    struct faults {
        /// Number of the next orders that are dropped without effect and answer.
        std::uint32_t loseOrders { 0 };
        /// Number of the next orders that take effect, after `delayOrdersMs`, but are not answered.
        std::uint32_t loseOrderAnswers { 0 };
        /// Time from an order's answer until it takes effect. Only then is the memory checked: an order that
        /// does not fit was accepted and gets the outcome `refused`.
        std::uint32_t delayOrdersMs { 0 };
        std::uint32_t reportLagMs { 0 };
        /// Whether loads beyond the memory are rejected; otherwise they are only counted.
        bool refuseOvercommit { true };
    };

    struct order_answer {
        std::uint16_t status { 202 };
        nlohmann::json body;
    };

    static order_document parseOrder(const nlohmann::json& document);
    /// \brief Accepts an order and starts it, or rejects it. A repeated order is answered but not run again.
    order_answer accept(const order_document& order);
    void start(const order_document& order);
    /// \brief Runs an accepted order to its end, on a worker thread.
    void runOrder(const order_document& order, milliseconds delay);
    /// \brief Reserves the memory of a model, with the mutex held.
    /// \return false where it does not fit and must be rejected
    bool reserve(const order_document& order);
    void fetchWeights(const order_document& order);
    /// \brief Records the outcome of an order and its effect on the memory.
    void finishOrder(const order_document& order, const std::string& outcome);
    std::uint64_t usedMb() const;
    /// \brief Adds the present state to the history of reports, after each change and with the mutex held.
    void addSnapshot();

    options m_options;
    std::mutex m_mutex;
    faults m_faults;
    bool m_checksFencing;
    std::map<std::string, model_in_memory> m_models;
    // Newest orders: id and outcome.
    std::deque<std::pair<std::string, std::string>> m_orders;
    std::map<std::string, std::uint64_t> m_sequenceOfOrder;
    std::deque<snapshot> m_history;
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_highestFence { 0 };
    std::uint64_t m_peakMb { 0 };
    std::uint64_t m_overcommits { 0 };
    std::uint64_t m_staleOrders { 0 };
    std::map<std::string, std::uint64_t> m_loads;
    // Declared last, so that it is destroyed first: its threads use the other members.
    worker_set m_workers;
};

} // namespace sagesaddle::testing
