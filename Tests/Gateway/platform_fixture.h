#pragma once

#include "Gateway/engine_stand_in.h"
#include "Gateway/fault_proxy.h"
#include "Gateway/store_stand_in.h"
#include "Support/child_process.h"
#include "Support/loop_until.h"
#include "Support/temp_folder.h"

#include <deque>

namespace sagesaddle {

/// \brief Gateways as real processes before stand-ins of the platform, all on loopback.
class platform_fixture {
public:
    /// A gateway's process with its addresses; each reaches the store through a proxy of its own.
    struct gateway_process {
        gateway_process(event_loop& loop, const address& store);

        std::string name;
        address callers;
        address readiness;
        address peers;
        fault_proxy storeLink;
        std::filesystem::path settings;
        std::filesystem::path output;
        std::unique_ptr<testing::child_process> process;
    };

    /// A caller's attempt with its outcome.
    struct attempt {
        std::string id;
        std::string path;
        std::string key;
        monotonic_time sentAt {};
        std::unique_ptr<scripted_caller> caller;
    };

    explicit platform_fixture(unsigned seed = 1);
    ~platform_fixture();

    /// Bounds of the settings that the processes get, short so that tests are.
    static constexpr milliseconds grace { 3000 };
    static constexpr milliseconds revoke { 3000 };
    static constexpr milliseconds lease { 1000 };

    gateway_process& addGateway();
    void start(gateway_process& which);
    engine_stand_in& addEngine(engine_stand_in::settings value, std::set<std::string> held = {});
    /// Lists the engine as it is now.
    void list(const engine_stand_in& engine);
    /// Writes the next configuration: the teams' keys, and a rate for the first team.
    /// \param moreRoutes further routes, `/more/0/` and so on, to the plain service
    void configure(const std::vector<std::string>& keysOfAtelier, double rate = 1e6, int moreRoutes = 0);

    /// Sends a request on a new connection.
    attempt& send(const gateway_process& to, const std::string& path, const std::string& key = "key-1",
        const std::string& fields = "");
    /// \return the status of a call for readiness; 0 without an answer.
    int readiness(const gateway_process& of);
    bool waitReady(const gateway_process& of);
    bool waitEnd(const attempt& of);
    /// \return whether the answer is whole: all of a body or a stream to its end.
    static bool isWhole(const attempt& of);
    int runsOf(const std::string& id) const;
    /// Checks an attempt that ended against what the engines saw, and notes what is broken.
    void audit(const attempt& of);
    std::string outputOf(const gateway_process& of) const;

    event_loop loop;
    violation_list violations;
    store_stand_in store;
    std::deque<gateway_process> gateways;
    std::deque<engine_stand_in> engines;
    std::deque<attempt> attempts;
    int streamEvents { 5 };

private:
    testing::temp_folder m_folder;
    std::uint64_t m_version { 0 };
    int m_nextId { 0 };
};

} // namespace sagesaddle
