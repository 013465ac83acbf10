#pragma once

#include "Wire/messages.h"

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sagesaddle {

/// Most bytes that wait on one connection for its receiver.
inline constexpr std::size_t maxQueuedBytes = 2 * 16 * 1024 * 1024;

/// \brief One TCP connection that carries frames both ways.
///
/// Reads and writes run on the strand of its socket. Frames are written whole, one after the other.
/// The send queue has a lock of its own, which is held over nothing else.
class frame_connection : public std::enable_shared_from_this<frame_connection> {
public:
    struct handlers {
        std::function<void(message)> onMessage;
        /// Called once, with the reason; a send that succeeded came before it.
        std::function<void(const std::string& reason)> onClosed;
    };

    /// \param socket connected, its executor a strand
    frame_connection(asio::ip::tcp::socket socket, handlers callbacks);

    /// Starts reading.
    void start();

    /// Queues an encoded frame; safe from any thread.
    /// \return false where the connection is closed or its queue is full
    bool send(std::vector<std::uint8_t> frame);

    /// Sends what is queued and then tells the peer that nothing more comes; safe from any thread.
    void endSending();

    /// Closes the connection; safe from any thread.
    void close(const std::string& reason);

private:
    void readSome();
    void takeFrames();
    bool takeFrame();
    void writeQueued();
    void shutdownSending();
    void onWritten(std::size_t bytes);
    void closeNow(const std::string& reason);

    asio::ip::tcp::socket m_socket;
    handlers m_handlers;

    // Used on the strand only.
    std::vector<std::uint8_t> m_input;
    std::size_t m_inputBegin { 0 };
    std::size_t m_inputEnd { 0 };
    std::deque<std::vector<std::uint8_t>> m_writing;

    std::mutex m_queueMutex;
    std::deque<std::vector<std::uint8_t>> m_queue;
    std::size_t m_queuedBytes { 0 };
    bool m_isWriting { false };
    bool m_isEnding { false };
    bool m_isClosed { false };
};

} // namespace sagesaddle
