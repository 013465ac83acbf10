#include "Loop/http_reader.h"

#include <algorithm>
#include <utility>

namespace sagesaddle {

namespace {

bool isToken(std::string_view name)
{
    static constexpr std::string_view specials = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char value) {
        return (value >= '0' && value <= '9') || (value >= 'a' && value <= 'z')
            || (value >= 'A' && value <= 'Z') || specials.find(value) != std::string_view::npos;
    });
}

bool isValidFieldValue(std::string_view value)
{
    return std::none_of(value.begin(), value.end(),
        [](char byte) { return (static_cast<unsigned char>(byte) < ' ' && byte != '\t') || byte == '\x7f'; });
}

bool isValidTarget(std::string_view target)
{
    return !target.empty() && std::none_of(target.begin(), target.end(), [](char byte) {
        return static_cast<unsigned char>(byte) <= ' ' || byte == '\x7f';
    });
}

// "HTTP/1.x ddd" and the byte after it.
constexpr std::size_t statusLineBytes = 13;
constexpr std::size_t statusOffset = 9;
// Interim answers that are skipped before an answer.
constexpr int maxInterimAnswers = 16;
constexpr int firstInterimStatus = 100;
constexpr int lastInterimStatus = 199;

// Answers with these statuses have no body.
bool isBodyless(int status)
{
    return (status >= firstInterimStatus && status <= lastInterimStatus) || status == 204 || status == 304;
}

} // namespace

http_reader::http_reader(message kind, std::size_t maxHeadBytes, handlers value)
    : m_handlers(std::move(value))
    , m_maxHeadBytes(maxHeadBytes)
{
    http_parser_init(&m_parser, kind == message::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

bool http_reader::checkStatusLine(std::string_view bytes)
{
    if (m_parser.type == HTTP_REQUEST || m_statusLine.size() == statusLineBytes)
        return true;
    // The parser skips empty lines before a message.
    if (m_statusLine.empty())
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    m_statusLine.append(bytes.substr(0, statusLineBytes - m_statusLine.size()));
    if (m_statusLine.size() < statusLineBytes)
        return m_statusLine.find('\n') == std::string::npos;
    const auto isDigit = [](char value) { return value >= '0' && value <= '9'; };
    const char* const status = m_statusLine.data() + statusOffset;
    return m_statusLine.starts_with("HTTP/1.") && isDigit(m_statusLine[statusOffset - 2])
        && m_statusLine[statusOffset - 1] == ' ' && *status >= '1' && *status <= '5' && isDigit(status[1])
        && isDigit(status[2]) && (status[3] == ' ' || status[3] == '\r' || status[3] == '\n');
}

bool http_reader::countHeadBytes(std::size_t bytes)
{
    m_headBytes += bytes;
    m_isHeadTooLarge = m_headBytes > m_maxHeadBytes;
    return !m_isHeadTooLarge;
}

const http_parser_settings& http_reader::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings value {};
        http_parser_settings_init(&value);
        value.on_message_begin = [](http_parser* parser) {
            auto& self = readerOf(parser);
            self.m_head = {};
            self.m_headBytes = 0;
            self.m_lastWasValue = true;
            self.m_isInMessage = true;
            return 0;
        };
        value.on_url = [](http_parser* parser, const char* at, std::size_t size) {
            readerOf(parser).m_head.target.append(at, size);
            return readerOf(parser).countHeadBytes(size) ? 0 : 1;
        };
        value.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
            auto& self = readerOf(parser);
            if (self.m_lastWasValue)
                self.m_head.fields.emplace_back();
            self.m_lastWasValue = false;
            self.m_head.fields.back().name.append(at, size);
            return self.countHeadBytes(size) ? 0 : 1;
        };
        value.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
            auto& self = readerOf(parser);
            self.m_lastWasValue = true;
            self.m_head.fields.back().value.append(at, size);
            return self.countHeadBytes(size) ? 0 : 1;
        };
        value.on_headers_complete = [](http_parser* parser) { return readerOf(parser).onHeadersComplete(); };
        value.on_body = [](http_parser* parser, const char* at, std::size_t size) {
            readerOf(parser).m_handlers.onBody({ at, size });
            return 0;
        };
        value.on_message_complete = [](http_parser* parser) { return readerOf(parser).onMessageComplete(); };
        return value;
    }();
    return settings;
}

bool http_reader::isHeadValid() const
{
    int lengthCount = 0;
    int codingCount = 0;
    for (const auto& field : m_head.fields) {
        if (!isToken(field.name) || !isValidFieldValue(field.value))
            return false;
        lengthCount += equalsIgnoringCase(field.name, "content-length") ? 1 : 0;
        if (equalsIgnoringCase(field.name, "transfer-encoding")) {
            ++codingCount;
            if (!equalsIgnoringCase(field.value, "chunked"))
                return false;
        }
    }
    return lengthCount + codingCount <= 1;
}

int http_reader::onHeadersComplete()
{
    m_head.status = static_cast<int>(m_parser.status_code);
    if (m_parser.type == HTTP_REQUEST)
        m_head.method = http_method_str(static_cast<http_method>(m_parser.method));
    if (!isHeadValid() || m_parser.upgrade != 0
        || (m_parser.type == HTTP_REQUEST && !isValidTarget(m_head.target)))
        return -1;
    m_head.keepsAlive = http_should_keep_alive(&m_parser) != 0;
    m_head.isDelimited = m_expectsNoBody || m_parser.type == HTTP_REQUEST || isBodyless(m_head.status)
        || m_head.find("Content-Length") != nullptr || m_head.find("Transfer-Encoding") != nullptr;
    if (m_head.status < firstInterimStatus || m_head.status > lastInterimStatus)
        m_handlers.onHead(std::move(m_head));
    return m_expectsNoBody ? 1 : 0;
}

int http_reader::onMessageComplete()
{
    m_isInMessage = false;
    const int status = static_cast<int>(m_parser.status_code);
    m_isInterim
        = m_parser.type == HTTP_RESPONSE && status >= firstInterimStatus && status <= lastInterimStatus;
    m_isComplete = !m_isInterim;
    // Stops the parser at the end of the message.
    http_parser_pause(&m_parser, 1);
    return 0;
}

std::size_t http_reader::feed(std::string_view bytes)
{
    if (m_failed || bytes.empty())
        return 0;
    std::size_t readBytes = 0;
    while (readBytes < bytes.size()) {
        const std::string_view rest = bytes.substr(readBytes);
        if (!m_isInMessage)
            m_statusLine.clear();
        if (!checkStatusLine(rest)) {
            m_failed = true;
            return readBytes;
        }
        m_isComplete = false;
        m_isInterim = false;
        readBytes += http_parser_execute(&m_parser, &callbacks(), rest.data(), rest.size());
        const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
        if (error == HPE_PAUSED && m_isComplete) {
            http_parser_pause(&m_parser, 0);
            m_interimAnswers = 0;
            m_handlers.onEnd();
            return readBytes;
        }
        if (error == HPE_PAUSED && m_isInterim && ++m_interimAnswers <= maxInterimAnswers) {
            http_parser_pause(&m_parser, 0);
            continue;
        }
        m_isHeadTooLarge = m_isHeadTooLarge || error == HPE_HEADER_OVERFLOW;
        m_failed = error != HPE_OK;
        if (m_failed)
            return readBytes;
    }
    return readBytes;
}

void http_reader::abandon()
{
    m_failed = true;
    // An assignment of an empty target would keep its memory.
    static_cast<void>(std::exchange(m_head, {}));
}

bool http_reader::feedEnd()
{
    if (m_failed || !m_isInMessage)
        return false;
    m_isComplete = false;
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    if (!m_isComplete)
        return false;
    m_handlers.onEnd();
    return true;
}

} // namespace sagesaddle
