#include "Entry/side_connections.h"

#include "Base/overloaded.h"
#include "Record/side_view.h"
#include "Watch/log.h"
#include "Wire/frame_client.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sagesaddle {

namespace {

using placement_index = std::map<std::string, std::vector<placement>>;

placement_index placementsByUpstream(const fleet_state& state)
{
    placement_index index;
    for (const auto& [key, value] : effectivePlacements(state))
        index[value.upstream].push_back(value);
    return index;
}

// Upstreams whose side view may differ between the two states.
std::set<std::string> changedViews(const fleet_state* before, const fleet_state& after)
{
    const bool sameModels = before && before->models == after.models;
    placement_index oldPlacements;
    placement_index newPlacements;
    if (before && !haveSamePlacements(*before, after)) {
        oldPlacements = placementsByUpstream(*before);
        newPlacements = placementsByUpstream(after);
    }
    std::set<std::string> changed;
    for (const auto& [name, record] : after.upstreams) {
        const bool modelsMatter = record.kind == upstream_kind::Engine && !sameModels;
        const auto old = before ? before->upstreams.find(name) : after.upstreams.end();
        const bool known = before && old != before->upstreams.end() && old->second == record;
        if (modelsMatter || !known || oldPlacements[name] != newPlacements[name])
            changed.insert(name);
    }
    return changed;
}

} // namespace

side_connections::side_connections(io_thread_pool& pool, exchange_table& exchanges, handlers callbacks)
    : m_pool(pool)
    , m_exchanges(exchanges)
    , m_handlers(std::move(callbacks))
{
}

side_connections::~side_connections()
{
    std::map<std::string, side> closing;
    const std::lock_guard lock(m_mutex);
    closing.swap(m_sides);
}

std::shared_ptr<frame_client> side_connections::openClient(
    const std::string& upstream, const address& endpoint)
{
    frame_client::handlers callbacks;
    callbacks.onMessage = [this, upstream](message value) { onMessage(upstream, std::move(value)); };
    callbacks.onUp = [this, upstream] { onUp(upstream); };
    callbacks.onDown = [this, upstream] { onDown(upstream); };
    return std::make_shared<frame_client>(m_pool, endpoint, std::move(callbacks));
}

side_connections::client_list side_connections::removeStaleClients(const fleet_state& state)
{
    client_list staleClients;
    for (auto it = m_sides.begin(); it != m_sides.end();) {
        const auto record = state.upstreams.find(it->first);
        if (record != state.upstreams.end() && record->second.side == it->second.endpoint) {
            ++it;
            continue;
        }
        m_exchanges.onConnectionLost(it->first);
        staleClients.push_back(std::move(it->second.client));
        it = m_sides.erase(it);
    }
    return staleClients;
}

void side_connections::update(const fleet_state_ptr& state)
{
    client_list staleClients;
    std::vector<std::string> pendingViews;
    {
        const std::lock_guard lock(m_mutex);
        const std::set<std::string> changed = changedViews(m_state.get(), *state);
        m_state = state;
        staleClients = removeStaleClients(*state);
        for (const auto& [name, record] : state->upstreams) {
            const auto [found, added] = m_sides.try_emplace(name);
            if (added)
                found->second = { record.side, openClient(name, record.side), false };
            if (found->second.isViewPending || changed.contains(name))
                pendingViews.push_back(name);
        }
    }
    staleClients.clear();
    for (const auto& name : pendingViews)
        sendView(name);
}

void side_connections::sendView(const std::string& upstream)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_sides.find(upstream);
    if (found == m_sides.end() || !m_state)
        return;
    const auto view = makeSideView(*m_state, upstream);
    if (view)
        found->second.isViewPending
            = !found->second.client->send(side_view_message { view->offset, formatSideView(*view) });
}

bool side_connections::send(const std::string& upstream, const message& value)
{
    std::shared_ptr<frame_client> client;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_sides.find(upstream);
        if (found == m_sides.end())
            return false;
        client = found->second.client;
        if (std::holds_alternative<request_message>(value))
            m_liveness.onSent(upstream, monotonicNow());
    }
    return client->send(value);
}

void side_connections::checkLiveness()
{
    liveness_monitor::check_result result;
    const std::set<std::string> busy = m_exchanges.busyUpstreams();
    {
        const std::lock_guard lock(m_mutex);
        result = m_liveness.check(monotonicNow(), busy);
    }
    for (const std::string& upstream : result.toProbe)
        send(upstream, load_ask {});
    for (const std::string& upstream : result.newlySilent) {
        writeLog(log_level::Warning, "a side process has fallen silent", { { "upstream", upstream } });
        m_handlers.onLink(upstream, false);
        m_exchanges.onSilence(upstream);
    }
}

std::map<std::string, bool> side_connections::connectionStates() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, bool> states;
    for (const auto& [name, value] : m_sides)
        states[name] = value.client->isUp();
    return states;
}

void side_connections::onUp(const std::string& upstream)
{
    recordConnection(upstream, true);
    sendView(upstream);
    m_handlers.onLink(upstream, true);
    send(upstream, load_ask {});
}

void side_connections::onDown(const std::string& upstream)
{
    recordConnection(upstream, false);
    m_handlers.onLink(upstream, false);
    m_exchanges.onConnectionLost(upstream);
}

template <typename Frame> void side_connections::deliver(const std::string& upstream, Frame frame)
{
    const std::uint64_t id = frame.id;
    if (!m_exchanges.deliver(upstream, id, std::move(frame)))
        m_handlers.onStrayFrame(upstream);
}

void side_connections::recordConnection(const std::string& upstream, bool up)
{
    const std::lock_guard lock(m_mutex);
    m_liveness.onLink(upstream, up, monotonicNow());
}

void side_connections::onReceived(const std::string& upstream)
{
    bool wasSilent = false;
    {
        const std::lock_guard lock(m_mutex);
        wasSilent = m_liveness.onReceived(upstream, monotonicNow());
    }
    if (!wasSilent)
        return;
    writeLog(log_level::Info, "a side process answers again", { { "upstream", upstream } });
    m_handlers.onLink(upstream, true);
}

void side_connections::onMessage(const std::string& upstream, message value)
{
    const auto report = [this, &upstream](const load_report& load) {
        if (load.upstream != upstream)
            return;
        m_handlers.onLoad(load);
    };
    onReceived(upstream);
    std::visit(overloaded {
                   [&](answer_head& head) { deliver(upstream, std::move(head)); },
                   [&](answer_data& data) { deliver(upstream, std::move(data)); },
                   [&](answer_end& end) {
                       report(end.load);
                       deliver(upstream, std::move(end));
                   },
                   [&](refusal_message& refused) {
                       report(refused.load);
                       deliver(upstream, std::move(refused));
                   },
                   [&](const load_answer& answer) { report(answer.load); },
                   [](const auto&) {},
               },
        value);
}

} // namespace sagesaddle
