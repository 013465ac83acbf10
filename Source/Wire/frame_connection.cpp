#include "Wire/frame_connection.h"

#include "Wire/frame_codec.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace sagesaddle {

namespace {

constexpr std::size_t inputBytes = 64 * 1024;
constexpr std::size_t maxSpareBytes = 1024 * 1024;
constexpr int keepAliveIdleSeconds = 5;
constexpr int keepAliveIntervalSeconds = 2;
constexpr int keepAliveProbes = 3;
constexpr unsigned maxUnacknowledgedMs = 10'000;

template <typename Value> void setTcpOption(int socket, int option, Value value)
{
    // Failure is ignored: without the option the connection still works, but detects a lost peer later.
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value)));
}

// Sends small frames without delay, and detects a host that no longer answers.
void setOptions(asio::ip::tcp::socket& socket)
{
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setTcpOption(socket.native_handle(), TCP_KEEPIDLE, keepAliveIdleSeconds);
    setTcpOption(socket.native_handle(), TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setTcpOption(socket.native_handle(), TCP_KEEPCNT, keepAliveProbes);
    setTcpOption(socket.native_handle(), TCP_USER_TIMEOUT, maxUnacknowledgedMs);
}

std::size_t readLittleEndian(const std::uint8_t* bytes)
{
    std::size_t value = 0;
    for (std::size_t i = 0; i < sizePrefixBytes; ++i)
        value |= static_cast<std::size_t>(bytes[i]) << (8 * i);
    return value;
}

} // namespace

frame_connection::frame_connection(asio::ip::tcp::socket socket, handlers callbacks)
    : m_socket(std::move(socket))
    , m_handlers(std::move(callbacks))
    , m_input(inputBytes)
{
    setOptions(m_socket);
}

void frame_connection::start()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->readSome(); });
}

bool frame_connection::send(std::vector<std::uint8_t> frame)
{
    const std::scoped_lock lock(m_queueMutex);
    if (m_isClosed || m_isEnding || m_queuedBytes + frame.size() > maxQueuedBytes)
        return false;
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    if (!m_isWriting) {
        m_isWriting = true;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->writeQueued(); });
    }
    return true;
}

void frame_connection::endSending()
{
    const std::scoped_lock lock(m_queueMutex);
    m_isEnding = true;
    if (!m_isWriting) {
        m_isWriting = true;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->writeQueued(); });
    }
}

void frame_connection::close(const std::string& reason)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), reason] { self->closeNow(reason); });
}

void frame_connection::readSome()
{
    if (!m_socket.is_open())
        return;
    const auto space = asio::buffer(m_input.data() + m_inputEnd, m_input.size() - m_inputEnd);
    m_socket.async_read_some(space, [self = shared_from_this()](std::error_code error, std::size_t bytes) {
        if (error) {
            self->closeNow("connection lost: " + error.message());
            return;
        }
        self->m_inputEnd += bytes;
        self->readFrames();
    });
}

void frame_connection::readFrames()
{
    try {
        while (readFrame()) { }
    } catch (const std::exception& error) {
        closeNow(error.what());
    }
    readSome();
}

// Passes the first frame of the input to onMessage if it is complete; otherwise makes room for the rest of
// it. Returns whether a frame was passed on.
bool frame_connection::readFrame()
{
    if (!m_socket.is_open())
        return false;
    const std::size_t available = m_inputEnd - m_inputBegin;
    std::size_t needed = sizePrefixBytes;
    if (available >= sizePrefixBytes) {
        const std::size_t size = readLittleEndian(m_input.data() + m_inputBegin);
        if (size > maxFrameBytes)
            throw frame_error("invalid frame: a length of " + std::to_string(size)
                + " bytes is over the limit of " + std::to_string(maxFrameBytes));
        needed += size;
    }
    if (available >= sizePrefixBytes && available >= needed) {
        const std::span<const std::uint8_t> frame(
            m_input.data() + m_inputBegin + sizePrefixBytes, needed - sizePrefixBytes);
        message value = decodeFrame(frame);
        m_inputBegin += needed;
        m_handlers.onMessage(std::move(value));
        return true;
    }
    std::memmove(m_input.data(), m_input.data() + m_inputBegin, available);
    m_inputBegin = 0;
    m_inputEnd = available;
    m_input.resize(std::max(needed, inputBytes));
    if (m_input.capacity() > m_input.size() + maxSpareBytes)
        m_input.shrink_to_fit();
    return false;
}

void frame_connection::writeQueued()
{
    std::vector<asio::const_buffer> buffers;
    {
        const std::scoped_lock lock(m_queueMutex);
        if (m_isClosed || m_queue.empty()) {
            m_isWriting = false;
            if (m_isEnding && !m_isClosed)
                shutdownSending();
            return;
        }
        m_writing.swap(m_queue);
    }
    buffers.reserve(m_writing.size());
    for (const std::vector<std::uint8_t>& frame : m_writing)
        buffers.emplace_back(frame.data(), frame.size());
    asio::async_write(
        m_socket, buffers, [self = shared_from_this()](std::error_code error, std::size_t bytes) {
            if (error) {
                self->closeNow("connection lost: " + error.message());
                return;
            }
            self->onWritten(bytes);
        });
}

void frame_connection::shutdownSending()
{
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void frame_connection::onWritten(std::size_t bytes)
{
    m_writing.clear();
    {
        const std::scoped_lock lock(m_queueMutex);
        m_queuedBytes -= bytes;
    }
    writeQueued();
}

void frame_connection::closeNow(const std::string& reason)
{
    {
        const std::scoped_lock lock(m_queueMutex);
        if (m_isClosed)
            return;
        m_isClosed = true;
        m_queue.clear();
    }
    std::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_handlers.onClosed(reason);
}

} // namespace sagesaddle
