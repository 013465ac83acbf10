#pragma once

#include "Base/clock.h"

#include <compare>
#include <memory>
#include <string>

namespace sagesaddle {

class log_client;

/// \brief Whether a call that may run once may run now.
enum class claim_outcome {
    /// This process owns the claim and has not run it: run it now.
    Granted,
    /// An earlier claim for the key exists: the call may have run.
    Taken,
    /// The key is older than what is remembered: the call may have run.
    TooOld,
    /// The claim could not be settled and no run of this call can follow from it.
    Unavailable,
};

/// \brief The answer to a wish to run a call.
struct claim_result {
    claim_outcome outcome { claim_outcome::Unavailable };
    /// Names the claim where it was granted; empty otherwise.
    std::string claimId;
    std::string keyHash;

    auto operator<=>(const claim_result&) const = default;
};

/// \brief Claims calls that may run at most once in the log, in groups; safe from any thread.
///
/// The first claim of a key in offset order wins, whichever process appended it.
class key_claimer {
public:
    /// \param log the platform's log; must outlive the gate
    /// \param service the plain service whose calls are claimed
    /// \param self unique name of this process's run
    key_claimer(log_client& log, const std::string& service, std::string self);
    ~key_claimer();

    key_claimer(const key_claimer&) = delete;
    key_claimer& operator=(const key_claimer&) = delete;

    /// Claims a call and waits for the log's word.
    /// \param team whose key space it is
    /// \param key the caller's idempotency key
    /// \param deadline when to give up; the claim is then void
    claim_result claim(const std::string& team, const std::string& key, monotonic_time deadline);

    /// Gives a granted claim back: the call surely did not run and this process will not run it.
    void release(const claim_result& granted);

    /// \return whether the claims of the log are known, so that calls can be granted.
    bool isReady() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace sagesaddle
