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

/// \brief A request that was let go of, and why.
struct pending_refusal {
    job_ptr job;
    refusal_cause cause;
};

/// \brief Holds models on the engine for requests, and keeps requests whose model is being loaded; one thread
/// at a time.
class engine_admission {
public:
    /// \param engine null before a plain service; must outlive this
    void setEngine(engine_control* engine) { m_engine = engine; }

    /// Asks for the request's model.
    /// \return why the request is refused, or nothing where its model is there or the request is parked
    std::optional<refusal_cause> admit(const job_ptr& job);

    bool isParked(const request_job& job) const { return m_parked.contains(job.ticket); }
    std::size_t parked() const { return m_parked.size(); }

    /// \brief A request whose model is there, or will not come.
    struct unparked_job {
        job_ptr job;
        /// Empty where the model can be used.
        std::optional<refusal_cause> cause;
    };

    /// \return requests that need not be parked any longer; they are not parked any more.
    std::vector<unparked_job> takeUnparked();

    /// \return parked requests whose deadline has passed; they stay until they are let go.
    std::vector<pending_refusal> expired(monotonic_time now) const;

    /// The request ended or was given up: its model may go.
    void endRequest(const request_job& job, monotonic_time now);

private:
    std::optional<refusal_cause> park(const job_ptr& job);

    engine_control* m_engine { nullptr };
    std::map<std::uint64_t, job_ptr> m_parked;
    /// Tickets that hold their model on the engine.
    std::set<std::uint64_t> m_holding;
};

} // namespace sagesaddle
