#pragma once

#include "Serve/http_client.h"
#include "Support/child_process.h"
#include "Support/fleet_records.h"
#include "Support/temp_folder.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sagesaddle::testing {

/// \brief The processes, limits and settings of a test's fleet.
struct fleet_options {
    std::size_t entries { 2 };
    std::size_t engines { 2 };
    /// Instances of the plain service `ledger`.
    std::size_t services { 1 };
    std::uint64_t engineMemoryMb { 1000 };
    /// Whether the engines reject orders with an old fencing token.
    bool checksFencing { true };
    /// Rate limit of the teams `walkin` and `dealer`, in tokens per second.
    double teamRate { 1000000 };
    /// Burst of these teams, in tokens.
    double teamBurst { 1000000 };
    /// TOML text added to the settings of every entry.
    std::string entrySettings;
    /// TOML text added to the settings of every side process.
    std::string sideSettings;
    /// Options added to the command line of every fake engine.
    std::vector<std::string> engineOptions;
    /// Options added to the command line of one fake engine, by its index.
    std::function<std::vector<std::string>(std::size_t)> optionsOfEngine;
    /// Changes the declared records before they are first applied.
    std::function<void(fleet_records&)> adjustRecords;
};

/// \brief Exit code and output of a run of the `sagesaddle` program.
struct command_result {
    /// -1 where the program did not end in time.
    int exitCode { 0 };
    std::string output;
};

/// \brief One process of a fleet, which can be restarted at the same addresses.
struct fleet_member {
    std::string name;
    std::vector<std::string> command;
    /// Address for the requests of callers (entry), frames (side process) or requests to a fake.
    address listen;
    /// The same as `listen` for a fake.
    address admin;
    std::unique_ptr<child_process> process;
};

/// \brief The real daemons with fakes of the outside systems, on free ports of the loopback interface.
///
/// The constructor returns when the records are applied, all daemons are ready and every entry serves every
/// model and service. Records: teams `walkin` and `dealer`; model `model-N` pinned on `engine-N`, model
/// `shared` pinned on all engines; route `/orders` to service `ledger`, whose requests may run at most once;
/// route `/stock` to the same service, idempotent.
class fleet {
public:
    /// \throws std::runtime_error where a process does not start or does not become ready
    explicit fleet(fleet_options options = {});

    fleet_member& entry(std::size_t index) { return m_entries.at(index); }
    /// \return the side process of an engine.
    fleet_member& engineSide(std::size_t index) { return m_engineSides.at(index); }
    fleet_member& serviceSide(std::size_t index) { return m_serviceSides.at(index); }
    fleet_member& engine(std::size_t index) { return m_engines.at(index); }
    fleet_member& service(std::size_t index) { return m_services.at(index); }
    fleet_member& log() { return m_log; }
    fleet_member& hosts() { return m_hosts; }
    /// \return the address of the log that only this entry uses, so that a test can make the log unreachable
    ///         for it alone.
    const address& logOf(std::size_t entryIndex) const { return m_entryLogs.at(entryIndex); }

    fleet_records& records() { return m_records; }

    /// \brief Applies the records with `sagesaddle apply`, which writes them to the log. Thread-safe.
    command_result apply(const fleet_records& records, const std::string& operatorName = "tester",
        const std::vector<std::string>& options = {});
    command_result apply() { return apply(m_records); }
    /// \brief Runs the `sagesaddle` program and waits for its end. Thread-safe.
    command_result command(const std::vector<std::string>& arguments);

    /// \brief Kills the process if it runs, and starts it again.
    /// \throws std::runtime_error where it does not start
    void restart(fleet_member& member);
    const std::filesystem::path& folder() const { return m_folder.path(); }

private:
    void choosePorts();
    void makeRecords();
    bool startAll();
    bool startMember(fleet_member& member);
    void stopAll();
    void awaitReady();
    /// \return the peer addresses of the other entries, as the elements of a TOML array.
    std::string seedsOf(std::size_t index) const;
    fleet_member makeEntry(std::size_t index);
    fleet_member makeSide(const std::string& name, const address& target);
    void forEachMember(const std::function<void(fleet_member&)>& visit);

    fleet_options m_options;
    temp_folder m_folder;
    fleet_records m_records;
    fleet_member m_log;
    fleet_member m_hosts;
    std::vector<address> m_entryLogs;
    std::vector<address> m_entryPeers;
    std::vector<fleet_member> m_engines;
    std::vector<fleet_member> m_services;
    std::vector<fleet_member> m_entries;
    std::vector<fleet_member> m_engineSides;
    std::vector<fleet_member> m_serviceSides;
    std::string m_startFailure;
    std::atomic<int> m_commands { 0 };
    int m_runs { 0 };
};

} // namespace sagesaddle::testing
