#pragma once

#include "Side/request_job.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace sagesaddle {

using job_ptr = std::shared_ptr<request_job>;

/// \brief The requests that a side process has received and that have not ended; not thread-safe.
class job_table {
public:
    /// Adds a job and sets its ticket.
    /// \return false if the connection already has a request with the same id that has not ended; then the
    ///         job was not added
    bool add(const job_ptr& job);

    /// \throws std::out_of_range if there is no job with the ticket
    const job_ptr& at(std::uint64_t ticket) const { return m_jobs.at(ticket); }

    /// \param id the request's id, unique within its connection
    /// \return the job; null if there is none
    job_ptr find(connection_id connection, std::uint64_t id) const;

    std::vector<job_ptr> jobsOfConnection(connection_id connection) const;

    void markRunning(const request_job& job) { m_running.insert(job.ticket); }
    bool isRunning(const request_job& job) const { return m_running.contains(job.ticket); }
    std::vector<job_ptr> running() const;

    void remove(const request_job& job);

    bool empty() const { return m_jobs.empty(); }

private:
    using job_key = std::pair<connection_id, std::uint64_t>;

    std::map<std::uint64_t, job_ptr> m_jobs;
    std::map<job_key, std::uint64_t> m_tickets;
    std::set<std::uint64_t> m_running;
    std::uint64_t m_nextTicket { 1 };
};

} // namespace sagesaddle
