#include "Side/engine_admission.h"

#include "Side/engine_control.h"

namespace sagesaddle {

namespace {

// Retry time for models that are not loaded and for which no load time is known.
constexpr milliseconds modelRetryAfter { 1000 };

refusal_cause notRun(std::string reason, std::string detail, milliseconds retryAfter)
{
    return { verdict::NotRun, std::move(reason), std::move(detail), retryAfter };
}

} // namespace

std::optional<refusal_cause> engine_admission::admit(const job_ptr& job)
{
    const std::string& name = job->request.model;
    switch (m_engine->requestModel(name, job->arrived)) {
    case model_readiness::Ready:
        m_usingModel.insert(job->ticket);
        return std::nullopt;
    case model_readiness::Loading:
        m_usingModel.insert(job->ticket);
        return park(job);
    case model_readiness::NoMemory:
        return notRun("no_memory",
            "the model \"" + name + "\" is not loaded and does not fit beside the pinned ones",
            modelRetryAfter);
    case model_readiness::NoOrders:
        return notRun("model_not_loaded",
            "the model \"" + name + "\" is not loaded and cannot be ordered now", modelRetryAfter);
    case model_readiness::Unknown:
        break;
    }
    return notRun("unknown_model", "the records that this side process holds name no model \"" + name + "\"",
        milliseconds(0));
}

std::optional<refusal_cause> engine_admission::park(const job_ptr& job)
{
    const std::string& name = job->request.model;
    const milliseconds expected = m_engine->expectedLoadTime(name, job->arrived);
    if (job->arrived + expected > job->deadline) {
        return notRun(
            "model_loading", "the model \"" + name + "\" is being loaded and will be late", expected);
    }
    m_parked.emplace(job->ticket, job);
    return std::nullopt;
}

std::vector<engine_admission::unparked_job> engine_admission::takeUnparked()
{
    std::vector<unparked_job> unparked;
    for (const auto& [ticket, job] : m_parked) {
        const std::string& name = job->request.model;
        const model_readiness readiness = m_engine->readiness(name);
        if (readiness == model_readiness::Ready)
            unparked.push_back({ job, std::nullopt });
        else if (readiness != model_readiness::Loading) {
            unparked.push_back({ job,
                notRun(
                    "model_not_loaded", "the model \"" + name + "\" could not be loaded", modelRetryAfter) });
        }
    }
    for (const unparked_job& entry : unparked)
        m_parked.erase(entry.job->ticket);
    return unparked;
}

std::vector<pending_refusal> engine_admission::expired(monotonic_time now) const
{
    std::vector<pending_refusal> refusals;
    for (const auto& [ticket, job] : m_parked) {
        if (job->deadline > now)
            continue;
        const std::string& name = job->request.model;
        refusals.push_back({ job,
            notRun("model_loading", "the model \"" + name + "\" was not loaded in time",
                m_engine->expectedLoadTime(name, now)) });
    }
    return refusals;
}

void engine_admission::endRequest(const request_job& job, monotonic_time now)
{
    if (m_usingModel.erase(job.ticket) > 0)
        m_engine->endModelUse(job.request.model, now);
    m_parked.erase(job.ticket);
}

} // namespace sagesaddle
