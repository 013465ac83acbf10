#include "Support/fleet.h"

#include "Support/calls.h"
#include "Support/free_port.h"
#include "Support/until.h"

#include <stdexcept>

namespace sagesaddle::testing {

namespace {

constexpr int maxStartRetries = 5;
constexpr std::uint64_t modelMemoryMb = 100;
constexpr std::uint32_t upstreamSlots = 16;
constexpr milliseconds startTimeout { 20000 };
constexpr milliseconds commandTimeout { 30000 };
const std::string probeTeam = "probe";

std::string program(const std::string& name)
{
    return std::string(SAGESADDLE_BIN) + "/" + name;
}

std::string zoneOf(std::size_t index)
{
    return std::string(1, static_cast<char>('a' + index % 3));
}

std::string numbered(const std::string& name, std::size_t index)
{
    return name + "-" + std::to_string(index + 1);
}

bool isReady(const address& admin)
{
    return statusOf(admin, "/readyz") == 200;
}

fleet_member makeFake(const std::string& name, const std::string& programName)
{
    const address listen = freeAddress();
    return { name, { program(programName), "--listen", formatAddress(listen) }, listen, listen, nullptr };
}

} // namespace

fleet::fleet(fleet_options options)
    : m_options(std::move(options))
{
    for (int attempt = 0;; ++attempt) {
        choosePorts();
        makeRecords();
        if (startAll())
            break;
        stopAll();
        if (attempt == maxStartRetries)
            throw std::runtime_error(
                "the fleet does not start; output of the process that failed: " + m_startFailure);
    }
    if (const command_result applied = apply(); applied.exitCode != 0)
        throw std::runtime_error("`sagesaddle apply` failed: " + applied.output);
    awaitReady();
}

void fleet::choosePorts()
{
    m_log = makeFake("log", "fake-log");
    m_entryLogs.clear();
    m_entryPeers.clear();
    for (std::vector<fleet_member>* list :
        { &m_engines, &m_services, &m_entries, &m_engineSides, &m_serviceSides })
        list->clear();
    for (std::size_t i = 0; i < m_options.entries; ++i) {
        m_entryLogs.push_back(freeAddress());
        m_entryPeers.push_back(freeAddress());
        m_log.command.insert(m_log.command.end(), { "--listen", formatAddress(m_entryLogs.back()) });
    }
    m_hosts = makeFake("hosts", "fake-hosts");
    for (std::size_t i = 0; i < m_options.engines; ++i) {
        fleet_member engine = makeFake(numbered("fake-engine", i), "fake-engine");
        engine.command.insert(engine.command.end(),
            { "--memory-mb", std::to_string(m_options.engineMemoryMb), "--check-fencing",
                m_options.checksFencing ? "yes" : "no" });
        engine.command.insert(
            engine.command.end(), m_options.engineOptions.begin(), m_options.engineOptions.end());
        if (m_options.optionsOfEngine) {
            const auto engineOptions = m_options.optionsOfEngine(i);
            engine.command.insert(engine.command.end(), engineOptions.begin(), engineOptions.end());
        }
        m_engineSides.push_back(makeSide(numbered("engine", i), engine.listen));
        m_engines.push_back(std::move(engine));
    }
    for (std::size_t i = 0; i < m_options.services; ++i) {
        m_services.push_back(makeFake(numbered("fake-service", i), "fake-service"));
        m_serviceSides.push_back(makeSide(numbered("ledger", i), m_services.back().listen));
    }
    for (std::size_t i = 0; i < m_options.entries; ++i)
        m_entries.push_back(makeEntry(i));
}

std::string fleet::seedsOf(std::size_t index) const
{
    std::string seeds;
    for (std::size_t i = 0; i < m_entryPeers.size(); ++i) {
        if (i != index)
            seeds += (seeds.empty() ? "\"" : ", \"") + formatAddress(m_entryPeers[i]) + '"';
    }
    return seeds;
}

fleet_member fleet::makeEntry(std::size_t index)
{
    fleet_member member;
    member.name = numbered("entry", index);
    member.listen = freeAddress();
    member.admin = freeAddress();
    const auto settings = folder() / (member.name + ".toml");
    writeFile(settings,
        "[process]\nname = \"" + member.name + "\"\nregion = \"north\"\nzone = \"" + zoneOf(index)
            + "\"\n[callers]\nlisten = \"" + formatAddress(member.listen) + "\"\n[admin]\nlisten = \""
            + formatAddress(member.admin) + "\"\n[peers]\nlisten = \"" + formatAddress(m_entryPeers[index])
            + "\"\nseeds = [" + seedsOf(index) + "]\n[log]\naddress = \"" + formatAddress(m_entryLogs[index])
            + "\"\n[hosts]\naddress = \"" + formatAddress(m_hosts.listen) + "\"\n" + m_options.entrySettings);
    member.command = { program("sagesaddle-entry"), "--config", settings.string() };
    return member;
}

fleet_member fleet::makeSide(const std::string& name, const address& target)
{
    fleet_member member;
    member.name = name;
    member.listen = freeAddress();
    member.admin = freeAddress();
    const auto settings = folder() / (name + ".toml");
    writeFile(settings,
        "[process]\nname = \"" + name + "\"\n[frames]\nlisten = \"" + formatAddress(member.listen)
            + "\"\n[target]\naddress = \"" + formatAddress(target) + "\"\n[admin]\nlisten = \""
            + formatAddress(member.admin) + "\"\n[log]\naddress = \"" + formatAddress(m_log.listen) + "\"\n"
            + m_options.sideSettings);
    member.command = { program("sagesaddle-side"), "--config", settings.string() };
    return member;
}

void fleet::makeRecords()
{
    m_records = {};
    m_records.addTeam(probeTeam, 1000000, 1000000);
    for (const char* name : { "walkin", "dealer" })
        m_records.addTeam(name, m_options.teamRate, m_options.teamBurst);
    if (m_options.engines > 0)
        m_records.models.push_back({ "shared", modelMemoryMb, "" });
    for (std::size_t i = 0; i < m_options.engines; ++i) {
        const std::string name = m_engineSides[i].name;
        m_records.upstreams.push_back(
            { name, upstream_kind::Engine, "north", zoneOf(i), m_engineSides[i].listen, m_engines[i].listen,
                "", m_options.engineMemoryMb, upstreamSlots, m_options.checksFencing, false });
        m_records.models.push_back({ numbered("model", i), modelMemoryMb, "" });
        m_records.placements.push_back({ numbered("model", i), name, true });
        m_records.placements.push_back({ "shared", name, true });
    }
    for (std::size_t i = 0; i < m_options.services; ++i)
        m_records.upstreams.push_back({ m_serviceSides[i].name, upstream_kind::Service, "north", zoneOf(i),
            m_serviceSides[i].listen, m_services[i].listen, "ledger", 0, upstreamSlots, false, false });
    if (m_options.services > 0) {
        m_records.routes.push_back({ "/orders", "ledger", false, false });
        m_records.routes.push_back({ "/stock", "ledger", false, true });
    }
    for (std::size_t i = 0; i < m_options.entries; ++i)
        m_records.entries.push_back(
            { m_entries[i].name, "north", zoneOf(i), m_entryPeers[i], m_entries[i].admin });
    if (m_options.adjustRecords)
        m_options.adjustRecords(m_records);
}

void fleet::forEachMember(const std::function<void(fleet_member&)>& visit)
{
    visit(m_log);
    visit(m_hosts);
    for (std::vector<fleet_member>* list :
        { &m_engines, &m_services, &m_entries, &m_engineSides, &m_serviceSides }) {
        for (fleet_member& member : *list)
            visit(member);
    }
}

bool fleet::startAll()
{
    bool started = true;
    forEachMember([&](fleet_member& member) { started = started && startMember(member); });
    return started;
}

bool fleet::startMember(fleet_member& member)
{
    const std::string log = member.name + "-run" + std::to_string(++m_runs) + ".log";
    member.process = std::make_unique<child_process>(member.command, folder() / log);
    // Another process may have bound a port since it was found free, so that a connection proves nothing:
    // only the message of the process itself shows that it listens.
    const auto hasStartedOrEnded = [&] {
        return !member.process->isRunning()
            || member.process->output().find("started\"") != std::string::npos;
    };
    if (until(hasStartedOrEnded, startTimeout) && member.process->isRunning())
        return true;
    m_startFailure = member.process->output();
    return false;
}

void fleet::stopAll()
{
    forEachMember([](fleet_member& member) { member.process.reset(); });
}

void fleet::restart(fleet_member& member)
{
    member.process.reset();
    if (!until([&] { return startMember(member); }))
        throw std::runtime_error(member.name + " does not restart: " + m_startFailure);
}

void fleet::awaitReady()
{
    forEachMember([&](fleet_member& member) {
        const bool isDaemon = member.listen != member.admin;
        if (isDaemon && !until([&] { return isReady(member.admin); }))
            throw std::runtime_error(member.name + " does not become ready: " + member.process->output());
    });
    for (const fleet_member& entry : m_entries) {
        http_response stock;
        const auto serviceAnswers = [&] {
            stock = callService(entry.listen, probeTeam, "/stock/probe", "");
            return stock.status == 200;
        };
        if (!m_services.empty() && !until(serviceAnswers))
            throw std::runtime_error("the service does not answer at " + entry.name + ": " + stock.body);
        for (const model& wanted : m_records.models) {
            http_response last;
            const auto answers = [&] {
                last = chat(entry.listen, probeTeam, { .model = wanted.name });
                return last.status == 200;
            };
            if (!until(answers))
                throw std::runtime_error(
                    wanted.name + " does not answer at " + entry.name + ": " + last.body);
        }
    }
}

command_result fleet::apply(
    const fleet_records& records, const std::string& operatorName, const std::vector<std::string>& options)
{
    const auto target = folder() / ("records-" + std::to_string(++m_commands));
    std::filesystem::create_directories(target);
    writeFile(target / "fleet.toml", formatToml(records));
    std::vector<std::string> arguments { "apply", target.string(), "--log", formatAddress(m_log.listen),
        "--operator", operatorName };
    arguments.insert(arguments.end(), options.begin(), options.end());
    return command(arguments);
}

command_result fleet::command(const std::vector<std::string>& arguments)
{
    std::vector<std::string> words { program("sagesaddle") };
    words.insert(words.end(), arguments.begin(), arguments.end());
    child_process process(words, folder() / ("command-" + std::to_string(++m_commands) + ".log"));
    const auto code = process.waitFor(commandTimeout);
    return { code.value_or(-1), process.output() };
}

} // namespace sagesaddle::testing
