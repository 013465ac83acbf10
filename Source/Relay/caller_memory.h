#pragma once

#include "Base/clock.h"

#include <cstddef>
#include <optional>
#include <span>

namespace sagesaddle {

/// \brief What a caller's connection does, as far as its memory can be released.
enum class caller_stage {
    /// Its request is not complete: it can be refused, since it has not run.
    Reading,
    /// Its request is complete, and none of its bytes were sent to an upstream: it can be refused.
    Waiting,
    /// Its request may run: neither refused nor closed.
    Running,
    /// It has answers that the caller has not read: it can only be closed.
    Unread,
};

/// \brief The memory that one connection makes the process hold.
struct caller_account {
    std::size_t heldBytes { 0 };
    caller_stage stage { caller_stage::Reading };
    /// When the caller last sent or read a substantial number of bytes.
    monotonic_time progressAt {};

    auto operator<=>(const caller_account&) const = default;
};

/// \brief What happens to a connection.
enum class caller_memory_action {
    ReadOn,
    /// Nothing is read from it until memory was released.
    Pause,
    /// Its request is answered 503 with the verdict `not_run`.
    Refuse,
    Close,
};

/// \brief Decides which connections may hold more memory, and which must release theirs.
///
/// Large requests share the budget without its reserve. Above that, connections with large requests are
/// paused, and those that made no progress for shedAfter are shed, most bytes times time first. The reserve
/// serves small requests; when it is used up, connections that are reading are shed at once.
class caller_memory {
public:
    /// Time without progress after which a connection is shed although the reserve is not in use.
    static constexpr milliseconds shedAfter { 500 };
    /// Largest memory of a connection that may use the reserve.
    static constexpr std::size_t smallRequestBytes = 32768;

    explicit caller_memory(std::size_t budgetBytes);

    /// \param memoryMegabytes stated memory of the host; 0 if it is not stated
    /// \return the budget in bytes: a third of the memory, or a default that callers within the limits do not
    /// reach
    static std::size_t budgetFor(double memoryMegabytes);

    std::size_t budgetBytes() const { return m_budgetBytes; }
    std::size_t heldBytes() const { return m_heldBytes; }

    /// \brief Replaces the account of a connection; an empty one stands for a new or closed connection.
    void replace(const caller_account& before, const caller_account& after);

    /// \return ReadOn, or Pause if the connection must hold no more for now.
    caller_memory_action decideRead(const caller_account& asking) const;

    /// \return whether connections that were paused may read again.
    bool mayResume() const { return m_heldBytes <= m_resumeBytes; }

    /// \brief A connection to be shed, and how.
    struct shed_decision {
        /// Position in the list of accounts.
        std::size_t position { 0 };
        caller_memory_action action { caller_memory_action::Close };

        auto operator<=>(const shed_decision&) const = default;
    };

    /// \param accounts all connections, as replace() was told
    /// \param hasPaused whether any connection is paused; memory is then released until it may resume
    /// \return the connection to be shed next, nothing if none has to be or can be shed
    std::optional<shed_decision> chooseShed(
        std::span<const caller_account> accounts, bool hasPaused, monotonic_time now) const;

private:
    std::size_t m_budgetBytes;
    /// Bytes that large requests may use: the budget without the reserve.
    std::size_t m_largeBytes;
    /// Bytes below which paused connections resume, so that they get substantially further.
    std::size_t m_resumeBytes;
    std::size_t m_heldBytes { 0 };
};

} // namespace sagesaddle
