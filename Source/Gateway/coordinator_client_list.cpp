// How a gateway applies the list of upstreams and their load as the coordinator tells them.
#include "Gateway/coordinator_client.h"

namespace sagesaddle {

namespace {

std::vector<loaded_model> parseLoadedModels(const std::vector<std::string>& modelRefs)
{
    std::vector<loaded_model> models;
    for (const auto& modelRef : modelRefs) {
        const model_ref parts = parseModelRef(modelRef);
        if (parts.adapter.empty())
            models.push_back({ modelRef, {} });
        else if (!models.empty() && models.back().name == parts.model)
            models.back().adapters.push_back(parts.adapter);
    }
    return models;
}

} // namespace

void coordinator_client::applyWork(const fleet_update& update)
{
    for (const auto& item : update.listed) {
        if (m_upstreamsByNumber.size() <= item.number)
            m_upstreamsByNumber.resize(item.number + 1U);
        m_upstreamsByNumber[item.number] = item.isRemoved ? std::string() : item.upstream;
    }
    for (const auto& work : update.work) {
        if (work.number < m_upstreamsByNumber.size())
            m_relay.onPeerLoad(m_upstreamsByNumber[work.number],
                { work.inFlight, static_cast<double>(work.tokensAhead),
                    static_cast<double>(work.kvCacheTokens) });
    }
    for (const auto& item : update.timeFactors) {
        if (item.number < m_upstreamsByNumber.size())
            m_relay.onSpeedTold(m_upstreamsByNumber[item.number], item.factor);
    }
    for (const auto& item : update.startLimits) {
        if (item.number < m_upstreamsByNumber.size())
            m_relay.onStartLimitTold(m_upstreamsByNumber[item.number], item.limit);
    }
}

void coordinator_client::applyList(const std::vector<listed_upstream>& listed, bool isWhole)
{
    std::vector<upstream_record> records;
    for (const auto& item : listed) {
        upstream_record record { item.upstream, item.offset, std::nullopt };
        if (!item.isRemoved) {
            upstream_entry entry;
            entry.id = item.upstream;
            entry.service = item.service;
            entry.endpoint = parseAddress(item.address);
            entry.zone = item.zone;
            entry.slots = static_cast<int>(item.slots);
            entry.isDraining = item.isDraining;
            entry.startedAt = item.startedAt;
            entry.acceptedOrders = item.orders;
            entry.coldRemaining = item.coldRemaining;
            entry.models = parseLoadedModels(item.loadedModels);
            record.entry = std::move(entry);
        }
        records.push_back(std::move(record));
    }
    m_hooks.onUpstreamRecords(records, isWhole);
}

} // namespace sagesaddle
