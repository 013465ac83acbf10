#pragma once

#include "Base/clock.h"

#include <compare>
#include <memory>
#include <string>

namespace sagesaddle {

class log_client;

/// \brief Whether a call that may run at most once may run now.
enum class claim_outcome {
    /// This process holds the key and has not run the call: it may run it now.
    Granted,
    /// An earlier claim holds the key: the call may have run.
    Taken,
    /// The key may belong to a forgotten claim: the call may have run.
    TooOld,
    /// The claim was not decided: the deadline passed, the process is stopping, or records lapsed before they
    /// were read. It is void: no run of the call can follow from it.
    Unavailable,
};

/// \brief The result of a claim.
struct claim_result {
    claim_outcome outcome { claim_outcome::Unavailable };
    /// Id of a granted claim; empty otherwise.
    std::string claimId;
    std::string keyHash;

    auto operator<=>(const claim_result&) const = default;
};

/// \brief Claims the idempotency keys of calls that may run at most once, in the log; thread-safe.
///
/// The first claim of a key in the order of offsets wins, whichever process appended it. The claims of
/// concurrent calls are appended together.
class key_claimer {
public:
    /// \param log the platform's log; must outlive this object
    /// \param service the plain service whose calls are claimed
    /// \param self name of this process, unique to each of its runs
    key_claimer(log_client& log, const std::string& service, std::string self);
    ~key_claimer();

    key_claimer(const key_claimer&) = delete;
    key_claimer& operator=(const key_claimer&) = delete;

    /// Claims the key of a call and waits until the claim is read back from the log.
    /// \param team the team that the key belongs to; teams may use the same keys
    /// \param key the caller's idempotency key
    /// \param deadline when to give up; the claim is void then
    claim_result claim(const std::string& team, const std::string& key, monotonic_time deadline);

    /// Releases the key of a granted claim. To be called only where the call certainly did not run and this
    /// process will not run it. Does nothing for other outcomes.
    void release(const claim_result& granted);

    /// \return whether the claims in the log are known, so that claims can be granted.
    bool isReady() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
