#pragma once

#include "Side/job_table.h"
#include "Side/request_telemetry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sagesaddle {

class engine_control;

/// \brief A request that must be refused, and why.
struct pending_refusal {
    job_ptr job;
    refusal_cause cause;
};

/// \brief Makes sure that a request is queued only when its model is loaded on the engine.
///
/// Marks the models of admitted requests as in use, so that they are not evicted. Parks requests whose model
/// is being loaded until it is usable. Not thread-safe.
class engine_admission {
public:
    /// \param engine null if the upstream is a plain service; must outlive this object
    void setEngine(engine_control* engine) { m_engine = engine; }

    /// Requests the model of the request from the engine control, which must be set. Parks the request if the
    /// model is being loaded.
    /// \return why the request is refused; empty if its model is usable or the request was parked
    std::optional<refusal_cause> admit(const job_ptr& job);

    bool isParked(const request_job& job) const { return m_parked.contains(job.ticket); }
    /// \return the number of parked requests.
    std::size_t parked() const { return m_parked.size(); }

    /// \brief A request that no longer waits for its model.
    struct unparked_job {
        job_ptr job;
        /// Why the request is refused; empty if the model is usable.
        std::optional<refusal_cause> cause;
    };

    /// Unparks the requests whose model is usable or cannot be loaded.
    /// \return the requests that were unparked
    std::vector<unparked_job> takeUnparked();

    /// \return the parked requests whose deadline has passed. They stay parked until endRequest() is called.
    std::vector<pending_refusal> expired(monotonic_time now) const;

    /// Ends the use of the model by a request that has ended or was cancelled: the model may be evicted.
    void endRequest(const request_job& job, monotonic_time now);

private:
    std::optional<refusal_cause> park(const job_ptr& job);

    engine_control* m_engine { nullptr };
    std::map<std::uint64_t, job_ptr> m_parked;
    /// Tickets of the requests that count as users of their model.
    std::set<std::uint64_t> m_usingModel;
};

} // namespace sagesaddle
