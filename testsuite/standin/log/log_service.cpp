#include "log_service.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/runtime/error_response.h"
#include "support/base64.h"
#include "support/boot_clock.h"
#include "support/json_body.h"
#include "support/target.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>

namespace plantainpitch::standin {

namespace json = boost::json;
using runtime::errorResponse;
using runtime::http_request;
using runtime::http_responder;
using runtime::http_response;

namespace {

constexpr std::uint64_t defaultReadBatches = 1000;

http_response outageResponse()
{
    return errorResponse(503, error_kind::log_unavailable, "the log is down", "try again later");
}

} // namespace

log_service::log_service(boost::asio::io_context &context, log_service_options options)
    : m_context(context)
    , m_options(options)
    , m_store(options.retentionBatches)
    , m_faults{ .appendDelayMs = options.appendDelayMs }
{}

void log_service::onRequest(std::uint64_t /*number*/, http_request request, http_responder respond)
{
    const target where(request.target);
    const auto &path = where.segments;
    if (request.method == "POST" && request.target == "/control") {
        control(request, respond);
    } else if (path.size() != 4 || path[0] != "v1" || path[1] != "streams") {
        respond(errorResponse(404, error_kind::not_found, "no such path " + request.target,
                              "use /v1/streams/{stream}/append or /records"));
    } else if (faults().outage) {
        respond(outageResponse());
    } else if (request.method == "POST" && path[3] == "append") {
        append(path[2], std::move(request), std::move(respond));
    } else if (request.method == "GET" && path[3] == "records") {
        read(path[2], where.number("from", 0), where.number("max", defaultReadBatches),
             std::move(respond));
    } else {
        respond(errorResponse(404, error_kind::not_found, "no such operation " + path[3],
                              "use POST append or GET records"));
    }
}

void log_service::control(const http_request &request, const http_responder &respond)
{
    try {
        const auto object = parseObject(request.body);
        const std::lock_guard lock(m_mutex);
        m_faults.outage = flag(object, "outage", m_faults.outage);
        m_faults.appendDelayMs = number(object, "append_delay_ms", m_faults.appendDelayMs);
        m_faults.readDelayMs = number(object, "read_delay_ms", m_faults.readDelayMs);
        m_faults.loseAppendAnswers =
                number(object, "lose_append_answers", m_faults.loseAppendAnswers);
        if (object.contains("retention_batches"))
            m_store.setRetention(static_cast<std::size_t>(
                    std::max<std::int64_t>(0, number(object, "retention_batches", 0))));
        respond(jsonResponse({}));
    } catch (const error &e) {
        respond(errorResponse(400, e.kind(), e.problem(), e.remedy()));
    }
}

void log_service::append(const std::string &stream, http_request request, http_responder respond)
{
    const auto delayMs = appendWaitMs(faults().appendDelayMs);
    after(delayMs, [this, stream, body = std::move(request.body), respond = std::move(respond)] {
        if (faults().outage) {
            respond(outageResponse());
            return;
        }
        auto response = jsonResponse({ { "offset", m_store.append(stream, body) } });
        if (takeLostAnswer())
            response.cutAfterBytes = 0;
        respond(std::move(response));
    });
}

void log_service::read(const std::string &stream, std::uint64_t from, std::size_t max,
                       http_responder respond)
{
    after(faults().readDelayMs, [this, stream, from, max, respond = std::move(respond)] {
        respond(faults().outage ? outageResponse() : readNow(stream, from, max));
    });
}

http_response log_service::readNow(const std::string &stream, std::uint64_t from, std::size_t max)
{
    const auto slice = m_store.read(stream, from, max);
    json::array records;
    for (const auto &[offset, batch] : slice.batches)
        records.push_back(json::object{ { "offset", offset }, { "data", toBase64(batch) } });
    return jsonResponse({ { "earliest", slice.earliest },
                          { "next", slice.next },
                          { "records", std::move(records) } });
}

log_faults log_service::faults()
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

bool log_service::takeLostAnswer()
{
    const std::lock_guard lock(m_mutex);
    return m_faults.loseAppendAnswers > 0 && m_faults.loseAppendAnswers-- > 0;
}

std::int64_t log_service::appendWaitMs(std::int64_t delayMs)
{
    if (m_options.maxAppendsPerSecond <= 0)
        return delayMs;
    const std::lock_guard lock(m_mutex);
    const auto nowUs = bootClockUs();
    m_nextAppendUs = std::max(m_nextAppendUs, nowUs) + 1'000'000 / m_options.maxAppendsPerSecond;
    return delayMs + (m_nextAppendUs - nowUs) / 1000;
}

void log_service::after(std::int64_t delayMs, std::function<void()> action)
{
    if (delayMs <= 0) {
        action();
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_after(std::chrono::milliseconds(delayMs));
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &code) {
        if (!code)
            action();
    });
}

} // namespace plantainpitch::standin
