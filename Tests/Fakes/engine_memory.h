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

/// \brief The memory of a stand-in engine, the orders that change it and its lagged report.
class engine_memory {
public:
    struct options {
        std::uint64_t totalMb { 64000 };
        /// Where weights come from; without one a load takes `loadMs`.
        std::optional<address> store;
        std::uint32_t loadMs { 20 };
        bool checksFencing { false };
        /// Models loaded from the start, each as `name=MB`.
        std::vector<std::string> preload;
    };

    explicit engine_memory(const options& given);

    /// Answers `POST /control/orders`.
    void order(http_call& call);

    bool isLoaded(const std::string& model);

    /// \return the report as it stood the lag ago.
    nlohmann::json report();

    nlohmann::json stats();
    void setFaults(const nlohmann::json& document);

private:
    struct order_document {
        std::string id;
        std::uint64_t fence { 0 };
        bool load { false };
        std::string model;
        std::uint64_t memoryMb { 0 };
    };

    struct resident {
        std::uint64_t memoryMb { 0 };
        std::string state;
    };

    struct snapshot {
        monotonic_time since;
        nlohmann::json document;
    };

    struct faults {
        std::uint32_t loseOrders { 0 };
        std::uint32_t loseOrderAnswers { 0 };
        std::uint32_t delayOrdersMs { 0 };
        std::uint32_t reportLagMs { 0 };
        bool refuseOvercommit { true };
    };

    struct acceptance {
        std::uint16_t status { 202 };
        nlohmann::json body;
    };

    static order_document parseOrder(const nlohmann::json& document);
    /// Takes an order in and starts it.
    acceptance accept(const order_document& order);
    void start(const order_document& order);
    void runOrder(const order_document& order, milliseconds delay);
    bool reserve(const order_document& order);
    void fetchWeights(const order_document& order);
    void settle(const order_document& order, const std::string& outcome);
    std::uint64_t usedMb() const;
    // Called with the mutex held, after each change.
    void publish();

    options m_options;
    std::mutex m_mutex;
    faults m_faults;
    bool m_checksFencing;
    std::map<std::string, resident> m_models;
    std::deque<std::pair<std::string, std::string>> m_orders;
    std::map<std::string, std::uint64_t> m_sequenceOfOrder;
    std::deque<snapshot> m_history;
    std::uint64_t m_sequence { 0 };
    std::uint64_t m_highestFence { 0 };
    std::uint64_t m_peakMb { 0 };
    std::uint64_t m_overcommits { 0 };
    std::uint64_t m_fencedOff { 0 };
    std::map<std::string, std::uint64_t> m_loads;
    // Last, so that it ends first: its threads use the others.
    worker_set m_workers;
};

} // namespace sagesaddle::testing
