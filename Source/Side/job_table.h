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

/// \brief The requests that a side process has taken on and not ended yet; one thread at a time.
class job_table {
public:
    /// Takes a job in and gives it its ticket.
    /// \return false where its connection has an open request of the same id
    bool add(const job_ptr& job);

    /// \throws std::out_of_range where there is none
    const job_ptr& at(std::uint64_t ticket) const { return m_jobs.at(ticket); }

    /// \return the job, or null.
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
