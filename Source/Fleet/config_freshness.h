#pragma once

#include "Base/clock.h"

#include <optional>

namespace sagesaddle {

/// \brief How old the evidence is that the newest configuration is known here; pure.
///
/// Times are those of a clock that counts suspension. A read that was answered proves what was acknowledged
/// before it was sent, so its evidence dates from its sending.
class config_freshness {
public:
    /// \param keysFor age of the evidence from which requests with keys are refused
    explicit config_freshness(monotonic_span keysFor);

    /// Takes over another bound, which holds for the evidence at hand too.
    void setMaxConfigAge(monotonic_span keysFor) { m_keysFor = keysFor; }

    /// A read of the configuration that was sent at that time was answered and taken in.
    void onConfigConfirmed(monotonic_time sentAt);

    /// \return whether a request with a key may still be sent on.
    bool mayAcceptApiKeys(monotonic_time now) const;

    std::optional<monotonic_span> age(monotonic_time now) const;

private:
    monotonic_span m_keysFor;
    std::optional<monotonic_time> m_provenAt;
};

} // namespace sagesaddle
