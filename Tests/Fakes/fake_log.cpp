#include "Fakes/fake_log.h"

#include "Fakes/fake_program.h"

#include <algorithm>
#include <thread>

namespace sagesaddle::testing {

namespace {

constexpr std::uint64_t defaultLimit = 500;
constexpr std::string_view streamsPrefix = "/v1/streams/";
constexpr std::string_view recordsSuffix = "/records";

std::string streamNameOf(const std::string& path)
{
    if (!path.starts_with(streamsPrefix) || !path.ends_with(recordsSuffix)
        || path.size() <= streamsPrefix.size() + recordsSuffix.size())
        return {};
    return path.substr(streamsPrefix.size(), path.size() - streamsPrefix.size() - recordsSuffix.size());
}

void respondUnavailable(http_call& call)
{
    respondJson(call, 503, { { "error", "away" } });
}

} // namespace

void fake_log::handle(http_call& call, const address& listener)
{
    const std::string path = call.path();
    if (path == "/admin/faults") {
        setFaults(readJson(call));
        return respondJson(call, 200, nlohmann::json::object());
    }
    if (path == "/admin/stats")
        return respondJson(call, 200, stats());

    std::this_thread::sleep_for(delay());
    const std::string name = streamNameOf(path);
    if (name.empty())
        return respondJson(call, 404, { { "error", "no such path: " + path } });
    if (isUnavailable(listener))
        return respondUnavailable(call);
    if (call.method() == "POST")
        append(call, name);
    else
        read(call, name, listener);
}

void fake_log::append(http_call& call, const std::string& name)
{
    const auto records = readJson(call).at("records").get<std::vector<std::string>>();
    std::unique_lock lock(m_mutex);
    if (!tryCountAppend(monotonicNow())) {
        lock.unlock();
        return respondJson(call, 429, { { "error", "too many appends a second" } });
    }
    stream& target = m_streams[name];
    const std::uint64_t first = target.end();
    target.records.insert(target.records.end(), records.begin(), records.end());
    const std::uint64_t next = target.end();
    while (target.records.size() > m_faults.retain) {
        target.records.pop_front();
        ++target.earliest;
    }
    const bool loseAnswer = consumeFault(m_faults.loseAnswers);
    lock.unlock();
    m_changed.notify_all();
    if (loseAnswer)
        call.abandon();
    else
        respondJson(call, 200, { { "first", first }, { "next", next } });
}

void fake_log::read(http_call& call, const std::string& name, const address& listener)
{
    const std::uint64_t from = queryNumber(call, "from", 0);
    const std::uint64_t limit = queryNumber(call, "limit", defaultLimit);
    const auto until = monotonicNow() + milliseconds(queryNumber(call, "wait_ms", 0));
    std::unique_lock lock(m_mutex);
    ++m_reads;
    const auto isUnavailableNow
        = [&] { return m_faults.isUnavailable || m_faults.unavailableAt.contains(formatAddress(listener)); };
    m_changed.wait_until(lock, until, [&] { return isUnavailableNow() || m_streams[name].end() > from; });
    const bool unavailable = isUnavailableNow();
    const stream& source = m_streams[name];
    const std::uint64_t earliest = source.earliest;
    const nlohmann::json batch
        = from < earliest || unavailable ? nlohmann::json() : batchOf(source, from, limit);
    lock.unlock();
    if (unavailable)
        return respondUnavailable(call);
    if (batch.is_null())
        return respondJson(call, 410, { { "earliest", earliest } });
    respondJson(call, 200, batch);
}

nlohmann::json fake_log::batchOf(const stream& source, std::uint64_t from, std::uint64_t limit)
{
    const std::uint64_t first = std::min(from, source.end());
    const std::uint64_t next = std::min(source.end(), first + limit);
    nlohmann::json records = nlohmann::json::array();
    for (std::uint64_t offset = first; offset < next; ++offset)
        records.push_back(source.records[offset - source.earliest]);
    return { { "first", first }, { "next", next }, { "end", source.end() }, { "earliest", source.earliest },
        { "records", std::move(records) } };
}

void fake_log::setFaults(const nlohmann::json& document)
{
    {
        const std::lock_guard lock(m_mutex);
        setIfPresent(document, "away", m_faults.isUnavailable);
        setIfPresent(document, "away_for", m_faults.unavailableAt);
        setIfPresent(document, "delay_ms", m_faults.delayMs);
        setIfPresent(document, "lose_answers", m_faults.loseAnswers);
        setIfPresent(document, "retain", m_faults.retain);
        setIfPresent(document, "appends_per_second", m_faults.appendsPerSecond);
    }
    m_changed.notify_all();
}

nlohmann::json fake_log::stats() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json streams = nlohmann::json::object();
    for (const auto& [name, value] : m_streams)
        streams[name] = { { "earliest", value.earliest }, { "end", value.end() } };
    return { { "appends", m_appends }, { "throttled", m_throttled }, { "reads", m_reads },
        { "streams", streams } };
}

bool fake_log::isUnavailable(const address& listener) const
{
    const std::lock_guard lock(m_mutex);
    return m_faults.isUnavailable || m_faults.unavailableAt.contains(formatAddress(listener));
}

bool fake_log::tryCountAppend(monotonic_time now)
{
    if (m_faults.appendsPerSecond > 0) {
        const double passed = std::chrono::duration<double>(now - m_appendTokensAt).count();
        m_appendTokens
            = std::min(m_faults.appendsPerSecond, m_appendTokens + passed * m_faults.appendsPerSecond);
        m_appendTokensAt = now;
        if (m_appendTokens < 1) {
            ++m_throttled;
            return false;
        }
        m_appendTokens -= 1;
    }
    ++m_appends;
    return true;
}

milliseconds fake_log::delay()
{
    const std::lock_guard lock(m_mutex);
    return milliseconds(m_faults.delayMs);
}

} // namespace sagesaddle::testing
