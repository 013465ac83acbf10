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

/// \brief The size and the limits of a test's fleet.
struct fleet_options {
    std::size_t entries { 2 };
    std::size_t engines { 2 };
    /// Instances of the plain service `ledger`.
    std::size_t services { 1 };
    std::uint64_t engineMemoryMb { 1000 };
    bool checksFencing { true };
    double teamRate { 1000000 };
    double teamBurst { 1000000 };
    /// Added to the settings of every entry.
    std::string entrySettings;
    /// Added to the settings of every side process.
    std::string sideSettings;
    /// Options added to the command line of every stand-in engine.
    std::vector<std::string> engineOptions;
    /// Options added to the command line of one stand-in engine, by its index.
    std::function<std::vector<std::string>(std::size_t)> optionsOfEngine;
    /// Changes the records before they are applied.
    std::function<void(fleet_records&)> adjustRecords;
};

/// \brief What a run of the `sagesaddle` program gave.
struct command_result {
    int exitCode { 0 };
    std::string output;
};

/// \brief One process of a fleet, that can be started again at the same addresses.
struct fleet_member {
    std::string name;
    std::vector<std::string> command;
    /// Where callers, frames or stand-in calls arrive.
    address listen;
    address admin;
    std::unique_ptr<child_process> process;
};

/// \brief The real daemons and the stand-ins, started on free ports, with records applied and all ready.
///
/// Records: team `walkin` and team `dealer`; model `model-N` pinned on `engine-N`, model `shared` on all
/// engines; `/orders` leads to service `ledger` and may run once, `/stock` leads there too and is idempotent.
class fleet {
public:
    explicit fleet(fleet_options plan = {});

    fleet_member& entry(std::size_t index) { return m_entries.at(index); }
    /// The side process of an engine.
    fleet_member& engineSide(std::size_t index) { return m_engineSides.at(index); }
    fleet_member& serviceSide(std::size_t index) { return m_serviceSides.at(index); }
    fleet_member& engine(std::size_t index) { return m_engines.at(index); }
    fleet_member& service(std::size_t index) { return m_services.at(index); }
    fleet_member& log() { return m_log; }
    fleet_member& hosts() { return m_hosts; }
    /// \return the address of the log that this entry alone uses.
    const address& logOf(std::size_t entryIndex) const { return m_entryLogs.at(entryIndex); }

    fleet_records& records() { return m_records; }

    /// Puts the records into the log with the `sagesaddle` program; safe from any thread.
    command_result apply(const fleet_records& records, const std::string& operatorName = "tester",
        const std::vector<std::string>& options = {});
    command_result apply() { return apply(m_records); }
    /// Runs the `sagesaddle` program; safe from any thread.
    command_result command(const std::vector<std::string>& arguments);

    void restart(fleet_member& member);
    const std::filesystem::path& folder() const { return m_folder.path(); }

private:
    void choosePorts();
    void makeRecords();
    bool startAll();
    bool startMember(fleet_member& member);
    void stopAll();
    void awaitReady();
    /// \return the peer addresses of the other entries, as a TOML list without its brackets.
    std::string seedsOf(std::size_t index) const;
    fleet_member makeEntry(std::size_t index);
    fleet_member makeSide(const std::string& name, const address& target);
    void forEachMember(const std::function<void(fleet_member&)>& visit);

    fleet_options m_plan;
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
