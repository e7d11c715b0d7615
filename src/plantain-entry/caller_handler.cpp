#include "caller_handler.h"

#include "plantainpitch/runtime/caller_http.h"

namespace plantainpitch::entry {

caller_handler::caller_handler(const runtime::clock &time, deliver deliverEvent)
    : m_time(time)
    , m_deliver(std::move(deliverEvent))
{}

void caller_handler::onRequest(std::uint64_t requestNumber, runtime::http_request request,
                               runtime::http_responder respond)
{
    auto parsed = runtime::parseCallerRequest(requestNumber, std::move(request), m_time.wallMs());
    if (auto *refused = std::get_if<runtime::http_response>(&parsed)) {
        respond(std::move(*refused));
        return;
    }
    m_pending.add(requestNumber, std::move(respond));
    m_deliver(std::get<caller_request>(std::move(parsed)));
}

void caller_handler::onClientGone(std::uint64_t requestNumber)
{
    if (m_pending.remove(requestNumber))
        m_deliver(caller_gone{ .callerId = requestNumber });
}

void caller_handler::answer(const answer_caller &answer)
{
    m_pending.respond(answer.callerId, runtime::toHttpResponse(answer));
}

} // namespace plantainpitch::entry
