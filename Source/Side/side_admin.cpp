#include "Side/side_admin.h"

#include "Base/http_status.h"
#include "Serve/http_server.h"
#include "Watch/metric_registry.h"

#include <nlohmann/json.hpp>

namespace sagesaddle {

namespace {

using nlohmann::json;

const http_call::header_list plainText { { "Content-Type", "text/plain; charset=utf-8" } };
const http_call::header_list jsonText { { "Content-Type", "application/json" } };

json engineDocument(const engine_status& engine)
{
    return { { "orders", engine.orders }, { "fence", engine.fence },
        { "orders_outstanding", engine.ordersOutstanding }, { "free_memory_mb", engine.freeMemoryMb },
        { "report_age_ms", engine.reportAge.count() }, { "resident_models", engine.residentModels } };
}

json statusDocument(const std::string& name, const side_status& status)
{
    json document { { "name", name }, { "ready", status.hasView && !status.draining },
        { "draining", status.draining }, { "view_offset", status.viewOffset },
        { "queued", status.load.queued }, { "running", status.load.running }, { "slots", status.load.slots },
        { "wait_ms", status.load.waitMs } };
    if (status.engine)
        document["engine"] = engineDocument(*status.engine);
    return document;
}

void answerReady(const side_status& status, http_call& call)
{
    if (status.draining)
        call.respond(statusUnavailable, plainText, "draining\n");
    else if (!status.hasView)
        call.respond(statusUnavailable, plainText, "no view of the records yet\n");
    else
        call.respond(statusOk, plainText, "ready\n");
}

void answerMetrics(const side_admin_sources& sources, http_call& call)
{
    const side_status status = sources.status();
    metric_registry& metrics = sources.metrics;
    metrics.set("sagesaddle_side_queued", "Requests that wait.", status.load.queued);
    metrics.set("sagesaddle_side_running", "Requests that run on the upstream.", status.load.running);
    metrics.set("sagesaddle_side_slots", "Requests that may run at once.", status.load.slots);
    metrics.set("sagesaddle_side_view_offset", "Offset of the records in force.",
        static_cast<double>(status.viewOffset));
    if (status.engine) {
        const engine_status& engine = *status.engine;
        metrics.set("sagesaddle_side_free_memory_mb", "Memory that no model holds or may yet take.",
            static_cast<double>(engine.freeMemoryMb));
        metrics.set("sagesaddle_side_report_age_seconds", "Age of what the engine last reported.",
            std::chrono::duration<double>(engine.reportAge).count());
        metrics.set("sagesaddle_side_orders_outstanding", "Orders that are not settled.",
            static_cast<double>(engine.ordersOutstanding));
    }
    call.respond(statusOk, { { "Content-Type", metric_registry::contentType } }, metrics.serialize());
}

} // namespace

void handleAdminRequest(const side_admin_sources& sources, http_call& call)
{
    const std::string path = call.path();
    if (path == "/healthz")
        call.respond(statusOk, plainText, "ok\n");
    else if (path == "/readyz")
        answerReady(sources.status(), call);
    else if (path == "/metrics")
        answerMetrics(sources, call);
    else if (path == "/admin/status")
        call.respond(statusOk, jsonText, statusDocument(sources.name, sources.status()).dump());
    else
        call.respond(statusNotFound, plainText, "no such page: " + path + "\n");
}

} // namespace sagesaddle
