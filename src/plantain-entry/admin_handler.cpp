#include "admin_handler.h"

#include "plantainpitch/runtime/error_response.h"

namespace plantainpitch::entry {

admin_handler::admin_handler(const runtime::metrics &counters, std::function<bool()> ready,
                             deliver deliverEvent)
    : m_metrics(counters)
    , m_ready(std::move(ready))
    , m_deliver(std::move(deliverEvent))
{}

void admin_handler::onRequest(std::uint64_t requestNumber, runtime::http_request request,
                              runtime::http_responder respond)
{
    if (request.target == "/healthz") {
        respond({ .body = R"({"status":"ok"})" });
    } else if (request.target == "/readyz") {
        if (m_ready()) {
            respond({ .body = R"({"status":"ready"})" });
        } else {
            respond(runtime::errorResponse(503, "not_ready", "the entry is starting or stopping",
                                           "send requests to another entry"));
        }
    } else if (request.target == "/metrics") {
        respond({ .contentType = "text/plain; version=0.0.4", .body = m_metrics.text() });
    } else {
        m_pending.add(requestNumber, std::move(respond));
        m_deliver(admin_request{ .adminId = requestNumber,
                                 .method = std::move(request.method),
                                 .target = std::move(request.target),
                                 .body = std::move(request.body) });
    }
}

void admin_handler::onClientGone(std::uint64_t requestNumber)
{
    m_pending.remove(requestNumber);
}

void admin_handler::answer(const answer_admin &answer)
{
    m_pending.respond(answer.adminId, { .status = answer.status, .body = answer.body });
}

} // namespace plantainpitch::entry
