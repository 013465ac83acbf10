#pragma once

#include "Fleet/upstream_list.h"
#include "Loop/timer.h"
#include "Quarantine/crash_detector.h"
#include "Relay/relay_request.h"
#include "Relay/relay_telemetry.h"

namespace sagesaddle {

/// \brief Watches the connections of this gateway's requests for crashes of upstreams, logs and reports them.
class crash_watch {
public:
    using on_crash = std::function<void(const upstream_crash&)>;

    crash_watch(event_loop& loop, relay_telemetry& telemetry, on_crash onCrash);

    /// \brief Notes that a connection broke before the answer to a request was complete.
    /// \param isUnderWay whether the answer began long enough before that its beginning was no cause
    void onConnectionBroken(const upstream_entry& upstream, const relay_request& request, bool isUnderWay);
    /// \brief Notes that an upstream sent something.
    void onActivity(const std::string& upstream);
    /// \brief Notes that an upstream accepted a connection that was opened to find out whether it lives.
    void onConnectionAccepted(const std::string& upstream) { m_detector.onConnectionAccepted(upstream); }

private:
    void reportCrashes();
    void startTimer();

    crash_detector m_detector;
    relay_telemetry& m_telemetry;
    on_crash m_onCrash;
    timer m_timer;
};

} // namespace sagesaddle
