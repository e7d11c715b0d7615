#include "status_handler.h"

#include "plantainpitch/runtime/error_response.h"

namespace plantainpitch::agent {

status_handler::status_handler(const runtime::metrics &counters,
                               std::function<std::string()> status)
    : m_metrics(counters)
    , m_status(std::move(status))
{}

void status_handler::onRequest(std::uint64_t /*requestNumber*/, runtime::http_request request,
                               runtime::http_responder respond)
{
    if (request.target == "/healthz") {
        respond({ .body = R"({"status":"ok"})" });
    } else if (request.target == "/metrics") {
        respond({ .contentType = "text/plain; version=0.0.4", .body = m_metrics.text() });
    } else if (request.target == "/status") {
        respond({ .body = m_status() });
    } else {
        respond(runtime::errorResponse(404, "not_found", "there is no such path on this port",
                                       "use /healthz, /metrics or /status"));
    }
}

void status_handler::onClientGone(std::uint64_t /*requestNumber*/) {}

} // namespace plantainpitch::agent
