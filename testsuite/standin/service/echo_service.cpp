#include "echo_service.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/runtime/error_response.h"
#include "support/boot_clock.h"
#include "support/json_body.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace plantainpitch::standin {

namespace json = boost::json;
using runtime::http_request;
using runtime::http_responder;

namespace {

/// FNV-1a.
std::uint64_t hash(const std::string &bytes)
{
    std::uint64_t value = 0xcbf29ce484222325ULL;
    for (const char byte : bytes)
        value = (value ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    return value;
}

} // namespace

echo_service::echo_service(boost::asio::io_context &context, echo_service_options options)
    : m_context(context)
    , m_options(std::move(options))
    , m_journal(m_options.journalPath)
    , m_serviceMs(m_options.serviceMs)
{}

void echo_service::onRequest(std::uint64_t /*number*/, http_request request, http_responder respond)
{
    if (request.method == "POST" && request.target == "/control") {
        control(request, respond);
        return;
    }
    const auto counter = ++m_counter;
    m_journal.write({ { "at_us", bootClockUs() },
                      { "event", "start" },
                      { "method", request.method },
                      { "path", request.target },
                      { "request_id", request.header("X-Request-Id") },
                      { "vm", m_options.vm } });
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_after(std::chrono::milliseconds(m_serviceMs));
    timer->async_wait([this, timer, request = std::move(request), counter,
                       respond = std::move(respond)](const boost::system::error_code &code) {
        if (!code)
            answer(request, counter, respond);
    });
}

void echo_service::control(const http_request &request, const http_responder &respond)
{
    try {
        const auto object = parseObject(request.body);
        m_serviceMs = number(object, "service_ms", m_serviceMs);
        m_fail = flag(object, "fail", m_fail);
        m_truncateNext = number(object, "truncate_next", m_truncateNext);
        respond(jsonResponse({}));
    } catch (const error &e) {
        respond(runtime::errorResponse(400, e.kind(), e.problem(), e.remedy()));
    }
}

void echo_service::answer(const http_request &request, std::int64_t counter,
                          const http_responder &respond)
{
    auto response = jsonResponse({ { "method", request.method },
                                   { "path", request.target },
                                   { "body_hash", hash(request.body) },
                                   { "request_id", request.header("X-Request-Id") },
                                   { "account", request.header("X-Plantain-Account") },
                                   { "counter", counter },
                                   { "vm", m_options.vm } });
    if (m_fail)
        response.status = 500;
    if (m_truncateNext > 0 && m_truncateNext-- > 0)
        response.cutAfterBytes = response.body.size(); // the header takes part of these bytes
    respond(std::move(response));
}

} // namespace plantainpitch::standin
