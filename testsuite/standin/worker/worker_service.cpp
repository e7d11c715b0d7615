#include "worker_service.h"

#include "plantainpitch/model/error.h"
#include "support/boot_clock.h"
#include "support/json_body.h"
#include "support/target.h"

namespace plantainpitch::standin {

namespace json = boost::json;

namespace {

/// Longest delay with which the journal shows the end of a task.
constexpr std::chrono::milliseconds tickInterval{ 5 };

unsigned statusOf(error_kind kind)
{
    switch (kind) {
    case error_kind::not_found:
        return 404;
    case error_kind::already_exists:
        return 409;
    default:
        return 400;
    }
}

} // namespace

worker_service::worker_service(boost::asio::io_context &context, worker_options options)
    : m_state(std::move(options))
    , m_timer(context)
{
    tick();
}

void worker_service::tick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (code)
            return;
        m_state.advance();
        tick();
    });
}

void worker_service::onRequest(std::uint64_t /*number*/, runtime::http_request request,
                               runtime::http_responder respond)
{
    respond(answer(request));
}

runtime::http_response worker_service::answer(const runtime::http_request &request)
{
    json::object body;
    unsigned status = 200;
    try {
        body = handle(request);
    } catch (const error &e) {
        status = statusOf(e.kind());
        body["error"] = json::object{ { "kind", toString(e.kind()) },
                                      { "message", e.problem() },
                                      { "remedy", e.remedy() } };
    }
    body["clock_us"] = bootClockUs();
    auto response = jsonResponse(body);
    response.status = status;
    return response;
}

json::object worker_service::handle(const runtime::http_request &request)
{
    const target where(request.target);
    const auto &path = where.segments;
    if (request.method == "GET" && request.target == "/v1/worker")
        return m_state.list();
    if (request.method == "GET" && request.target == "/v1/usage")
        return m_state.usage();
    if (path.size() >= 4 && path[0] == "v1" && path[1] == "tasks") {
        const auto id = path[2] + '/' + path[3];
        if (request.method == "PUT" && path.size() == 4)
            return m_state.start(id, parseObject(request.body));
        if (request.method == "POST" && path.size() == 5)
            return m_state.call(id, path[4], parseObject(request.body));
    }
    throw error(error_kind::not_found, "no such call " + request.method + ' ' + request.target,
                "see section 9 of docs/design.md");
}

} // namespace plantainpitch::standin
