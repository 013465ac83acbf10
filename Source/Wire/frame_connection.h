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

/// Most bytes that may wait to be sent on one connection: two of the largest frames.
inline constexpr std::size_t maxQueuedBytes = 2 * 16 * 1024 * 1024;

/// \brief One TCP connection that carries frames in both directions.
///
/// Reads and writes run on the strand of the socket. Frames are written whole, in the order in which they
/// were queued. The send queue has its own mutex; no callback runs and no other mutex is locked while it is
/// held.
class frame_connection : public std::enable_shared_from_this<frame_connection> {
public:
    struct handlers {
        std::function<void(message)> onMessage;
        /// Called once, with the reason, when the connection has closed. No send() succeeds afterwards.
        std::function<void(const std::string& reason)> onClosed;
    };

    /// \param socket a connected socket whose executor is a strand
    frame_connection(asio::ip::tcp::socket socket, handlers callbacks);

    /// Starts reading.
    void start();

    /// Queues an encoded frame; safe from any thread.
    /// \return false if the connection is closed or closing, or if the frame does not fit into its queue
    bool send(std::vector<std::uint8_t> frame);

    /// Sends the queued frames and then shuts down the sending side; safe from any thread.
    void endSending();

    /// Closes the connection and discards the queued frames; safe from any thread.
    void close(const std::string& reason);

private:
    void readSome();
    void readFrames();
    bool readFrame();
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
