#include "Gateway/store_stand_in.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

extern "C" {
#include <b64/cencode.h>
}

namespace sagesaddle {

namespace {

constexpr milliseconds storePollInterval { 2 };

std::string parameter(const std::string& target, const std::string& name)
{
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int index = bytes - 1; index >= 0; --index)
        text += static_cast<char>((value >> (8 * index)) & 0xffU);
    return text;
}

std::string base64(const std::string& text)
{
    base64_encodestate state {};
    base64_init_encodestate(&state);
    std::string encoded(text.size() * 2 + 8, '\0');
    int size = base64_encode_block(text.data(), static_cast<int>(text.size()), encoded.data(), &state);
    size += base64_encode_blockend(encoded.data() + size, &state);
    encoded.resize(static_cast<std::size_t>(size));
    std::erase(encoded, '\n');
    return encoded;
}

} // namespace

store_stand_in::store_stand_in(event_loop& loop, unsigned seed)
    : m_loop(loop)
    , m_random(seed)
    , m_timer(loop, [this] { poll(); })
    , m_server(loop, "store")
{
    m_server.onRequest = [this](const scripted_upstream::request& call) { onCall(call); };
    m_timer.start(storePollInterval);
}

void store_stand_in::put(const std::string& topic, const std::string& key, const std::string& value)
{
    auto& log = m_topics[topic];
    if (value.empty())
        log.newest.erase(key);
    else
        log.newest[key] = { log.end(), value };
    log.records.push_back({ key, value });
}

std::string store_stand_in::newest(const std::string& topic, const std::string& key) const
{
    const auto log = m_topics.find(topic);
    if (log == m_topics.end() || !log->second.newest.contains(key))
        return {};
    return log->second.newest.at(key).second;
}

void store_stand_in::compact()
{
    for (auto& [name, log] : m_topics) {
        log.first = log.end();
        log.records.clear();
    }
}

void store_stand_in::returnToCopy()
{
    m_topics = m_copy;
    ++era;
    m_waiting.clear();
    m_delayed.clear();
    m_server.cutAll();
}

void store_stand_in::answer(tcp_stream* stream, int status, const std::string& body)
{
    m_delayed.emplace_back(monotonicNow() + delay, stream,
        "HTTP/1.1 " + (statusText ? statusText() : std::to_string(status)) + " X\r\nStore-Era: "
            + std::to_string(era) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void store_stand_in::answerTail(tcp_stream* stream, const topic_log& log, std::uint64_t from)
{
    std::string body = bigEndian(log.end(), 8) + bigEndian(log.first, 8);
    for (std::uint64_t offset = from; offset < log.end(); ++offset) {
        const record& value = log.records[offset - log.first];
        body += bigEndian(1 + value.key.size() + value.value.size(), 4) + bigEndian(value.key.size(), 1)
            + value.key + value.value;
    }
    answer(stream, 200, body);
}

void store_stand_in::onAppend(const scripted_upstream::request& call, const std::string& topic)
{
    auto& log = m_topics[topic];
    const std::string at = parameter(call.head.target, "at");
    if (!at.empty() && std::stoull(at) != log.end()) {
        answer(call.stream, 412, R"({"end":)" + std::to_string(log.end()) + "}");
        return;
    }
    const auto keySize = static_cast<unsigned char>(call.body.at(4));
    const std::uint64_t offset = log.end();
    put(topic, call.body.substr(5, keySize), call.body.substr(5 + keySize));
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < lostAnswers) {
        m_server.cut(call.stream);
        return;
    }
    answer(call.stream, 200, nlohmann::json { { "offset", offset }, { "end", log.end() } }.dump());
}

void store_stand_in::onCall(const scripted_upstream::request& call)
{
    ++calls;
    if (mode == behaviour::Silent)
        return;
    if (mode == behaviour::Resetting) {
        m_server.cut(call.stream);
        return;
    }
    if (mode == behaviour::Busy) {
        answer(call.stream, 503, "");
        return;
    }
    const std::string& target = call.head.target;
    const std::string topic = parameter(target, "topic");
    if (target.find("log-append") != std::string::npos) {
        onAppend(call, topic);
        return;
    }
    auto& log = m_topics[topic];
    if (target.find("log-newest") != std::string::npos) {
        nlohmann::json body { { "items", nlohmann::json::array() }, { "more-pages", false },
            { "end", log.end() } };
        for (const auto& [key, newest] : log.newest)
            body["items"].push_back(
                { { "key", key }, { "value", base64(newest.second) }, { "offset", newest.first } });
        answer(call.stream, 200, body.dump());
        return;
    }
    const std::uint64_t from = std::stoull(parameter(target, "from"));
    const std::string wait = parameter(target, "wait-ms");
    if (from < log.first || from > log.end())
        answer(call.stream, 410, R"({"first":)" + std::to_string(log.first) + "}");
    else if (from < log.end() || wait.empty())
        answerTail(call.stream, log, from);
    else
        m_waiting.push_back({ call.stream, topic, from, monotonicNow() + milliseconds(std::stoi(wait)) });
}

void store_stand_in::poll()
{
    m_timer.start(storePollInterval);
    const monotonic_time now = monotonicNow();
    const auto waiting = std::exchange(m_waiting, {});
    std::copy_if(
        waiting.begin(), waiting.end(), std::back_inserter(m_waiting), [&](const waiting_read& read) {
            const auto& log = m_topics[read.topic];
            if (now < read.until && read.from >= log.end())
                return true;
            if (m_server.isOpen(read.stream) && mode == behaviour::Sound) {
                if (read.from < log.first)
                    answer(read.stream, 410, R"({"first":0})");
                else
                    answerTail(read.stream, log, read.from);
            }
            return false;
        });
    while (!m_delayed.empty() && std::get<0>(m_delayed.front()) <= now) {
        const auto [at, stream, text] = m_delayed.front();
        m_delayed.pop_front();
        if (m_server.isOpen(stream))
            stream->write(text);
    }
}

} // namespace sagesaddle
