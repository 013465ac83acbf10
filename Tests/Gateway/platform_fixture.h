#pragma once

#include "Gateway/engine_stand_in.h"
#include "Gateway/fault_proxy.h"
#include "Gateway/store_stand_in.h"
#include "Support/child_process.h"
#include "Support/loop_until.h"
#include "Support/temp_folder.h"

#include <deque>

namespace sagesaddle {

/// \brief Gateways as real processes with stand-ins for the platform's store, engines and services, all on
/// loopback.
class platform_fixture {
public:
    /// A gateway process and its addresses; each gateway reaches the store through a proxy of its own.
    struct gateway_process {
        gateway_process(event_loop& loop, const address& store);

        std::string name;
        address callers;
        address readiness;
        address peers;
        fault_proxy storeProxy;
        std::filesystem::path settings;
        std::filesystem::path output;
        std::unique_ptr<testing::child_process> process;
    };

    /// A caller's request, with the connection that receives the answer.
    struct attempt {
        std::string id;
        std::string path;
        std::string key;
        monotonic_time sentAt {};
        std::unique_ptr<scripted_caller> caller;
    };

    explicit platform_fixture(unsigned seed = 1);
    ~platform_fixture();

    /// Bounds in the settings of the gateways, short to keep the tests short.
    static constexpr milliseconds grace { 3000 };
    static constexpr milliseconds revocationBound { 3000 };

    gateway_process& addGateway();
    void start(gateway_process& target);
    engine_stand_in& addEngine(engine_stand_in::settings value, std::set<std::string> held = {});
    /// Writes the engine's current entry to the store's list of upstreams.
    void publishListing(const engine_stand_in& engine);
    /// Writes the next configuration to the store.
    /// \param keysOfAtelier API keys of the team `atelier`
    /// \param rate rate of that team in tokens a second, and its burst in tokens
    /// \param moreRoutes number of further routes, `/more/0/` and so on, to the service without an engine
    void configure(const std::vector<std::string>& keysOfAtelier, double rate = 1e6, int moreRoutes = 0);

    /// Sends a request on a new connection.
    attempt& send(const gateway_process& to, const std::string& path, const std::string& key = "key-1",
        const std::string& fields = "");
    /// \return the status of a readiness check; 0 without an answer.
    int readiness(const gateway_process& target);
    bool waitReady(const gateway_process& target);
    bool waitEnd(const attempt& checked);
    /// \return whether the answer is complete: a whole body, or a stream with its last chunk.
    static bool isWhole(const attempt& checked);
    /// \return how often a request ran, over all engines.
    int runsOf(const std::string& id) const;
    /// Compares the answer of an attempt with what the engines ran, and records violations.
    void audit(const attempt& checked);
    std::string outputOf(const gateway_process& target) const;

    event_loop loop;
    violation_list violations;
    store_stand_in store;
    std::deque<gateway_process> gateways;
    std::deque<engine_stand_in> engines;
    std::deque<attempt> attempts;
    int streamEvents { 5 };
    /// Set before gateways and engines are added.
    milliseconds handoverPause { 1000 };
    /// Requests a second that a cold instance of the service without an engine takes; set before configure().
    double coldPerSecond { 0 };
    /// Latency objective of all routes. Set before configure() is called.
    milliseconds objective { 2000 };
    /// Time for which API keys are valid without a confirmation, over 0.86. Set before gateways are added.
    milliseconds revocation { revocationBound };
    /// Further lines of the gateways' settings, such as a table `[limits]`.
    std::string moreSettings;
    /// Largest body of a request in the next configuration, in bytes; 0 leaves the gateway's default.
    std::size_t maxBodyBytes { 0 };

private:
    testing::temp_folder m_folder;
    std::uint64_t m_version { 0 };
    int m_nextId { 0 };
};

} // namespace sagesaddle
