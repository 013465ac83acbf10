#include "Side/job_table.h"

namespace sagesaddle {

bool job_table::add(const job_ptr& job)
{
    if (!m_tickets.emplace(job_key(job->connection, job->request.id), m_nextTicket).second)
        return false;
    job->ticket = m_nextTicket++;
    m_jobs.emplace(job->ticket, job);
    return true;
}

job_ptr job_table::find(connection_id connection, std::uint64_t id) const
{
    const auto found = m_tickets.find({ connection, id });
    return found == m_tickets.end() ? nullptr : m_jobs.at(found->second);
}

std::vector<job_ptr> job_table::jobsOfConnection(connection_id connection) const
{
    std::vector<job_ptr> found;
    for (auto it = m_tickets.lower_bound({ connection, 0 });
         it != m_tickets.end() && it->first.first == connection; ++it)
        found.push_back(m_jobs.at(it->second));
    return found;
}

std::vector<job_ptr> job_table::running() const
{
    std::vector<job_ptr> found;
    for (const std::uint64_t ticket : m_running)
        found.push_back(m_jobs.at(ticket));
    return found;
}

void job_table::remove(const request_job& job)
{
    const std::uint64_t ticket = job.ticket;
    m_tickets.erase({ job.connection, job.request.id });
    m_running.erase(ticket);
    m_jobs.erase(ticket);
}

} // namespace sagesaddle
