#include "load_generator.h"

#include <boost/beast/core/string.hpp>
#include <boost/json/parse.hpp>

namespace plantainpitch::load {

using runtime::http_response;
using runtime::http_result;
using runtime::http_result_kind;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t maxConnectAttempts = 5;

std::string headerOf(const http_response &response, const char *name)
{
    for (const auto &[key, value] : response.headers) {
        if (boost::beast::iequals(key, name))
            return value;
    }
    return {};
}

std::string replaceNumber(std::string text, const std::string &number)
{
    for (auto place = text.find("{n}"); place != std::string::npos; place = text.find("{n}"))
        text.replace(place, 3, number);
    return text;
}

/// The entry's reason, else the kind of error in the body.
std::string reasonOf(const http_response &response)
{
    auto reason = headerOf(response, "X-Plantain-Reason");
    if (!reason.empty())
        return reason;
    boost::system::error_code code;
    const auto value = boost::json::parse(response.body, code);
    const auto *kind = code ? nullptr : value.find_pointer("/error/kind", code);
    return kind && kind->is_string() ? std::string(kind->get_string())
                                     : std::to_string(response.status);
}

} // namespace

struct load_generator::planned_request
{
    runtime::http_request request;
    std::string token; ///< part of the path that the answer must contain
    time_point at;
    std::size_t connectAttempts = 0;
};

load_generator::load_generator(boost::asio::io_context &context, load_options options,
                               const std::vector<runtime::host_port> &servers)
    : m_options(std::move(options))
    , m_target("/v1/accounts/" + m_options.account + "/services/" + m_options.templateName)
    , m_choice(servers.size())
    , m_timer(context)
    , m_signals(context, SIGINT, SIGTERM)
    , m_random(m_options.seed)
    , m_gapSeconds(m_options.rate)
{
    for (const auto &server : servers) {
        m_clients.push_back(std::make_unique<runtime::http_client>(
                context, runtime::http_client_options{ .address = server.host,
                                                       .port = server.port,
                                                       .maxConnections = m_options.connections }));
    }
}

void load_generator::start()
{
    m_next = steady_clock::now();
    m_end = m_next + std::chrono::seconds(m_options.durationS);
    m_signals.async_wait([this](const boost::system::error_code &code, int) {
        if (!code)
            stopSending();
    });
    scheduleNext();
}

void load_generator::scheduleNext()
{
    m_next += std::chrono::duration_cast<steady_clock::duration>(
            std::chrono::duration<double>(m_gapSeconds(m_random)));
    if (m_next >= m_end) {
        m_allSent = true;
        closeAfterLast();
        return;
    }
    m_timer.expires_at(m_next);
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (!code && !m_allSent)
            sendDue();
    });
}

void load_generator::sendDue()
{
    ++m_open;
    send(makeRequest());
    scheduleNext();
}

load_generator::request_pointer load_generator::makeRequest()
{
    auto planned = std::make_shared<planned_request>();
    const auto number = std::to_string(++m_number);
    planned->at = m_next;
    auto path = replaceNumber(m_options.path, number);
    if (m_options.checkAnswers) {
        planned->token = "load=" + std::to_string(m_options.seed) + '-' + number + '.';
        path += (path.find('?') == std::string::npos ? '?' : '&') + planned->token;
    }
    auto &request = planned->request;
    request.method = m_options.method;
    request.target = m_target + (path.starts_with('/') ? path : '/' + path);
    request.body = replaceNumber(m_options.body, number);
    request.headers.emplace_back("X-Request-Timeout-Ms", std::to_string(m_options.timeoutMs));
    if (!request.body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    if (!m_options.key.empty())
        request.headers.emplace_back("Idempotency-Key", m_options.key + '-'
                                                                + std::to_string(m_options.seed)
                                                                + '-' + number);
    return planned;
}

void load_generator::send(const request_pointer &planned)
{
    // The entry answers by the request's deadline; this only ends the wait for a broken one.
    const auto timeout = std::chrono::milliseconds(m_options.timeoutMs + 1'000);
    const auto server = m_choice.next(steady_clock::now());
    ++planned->connectAttempts;
    m_clients[server]->send(planned->request, timeout,
                            [this, planned, server](const http_result &result) {
                                onResult(planned, server, result);
                            });
}

void load_generator::onResult(const request_pointer &planned, std::size_t server,
                              const http_result &result)
{
    const auto now = steady_clock::now();
    const bool answered = result.kind == http_result_kind::answered;
    if (result.kind == http_result_kind::connect_failed
        || (answered && headerOf(result.response, "Connection") == "close"))
        m_choice.leaveOut(server, now);
    // Nothing was sent, so that another server may get it.
    if (result.kind == http_result_kind::connect_failed
        && planned->connectAttempts < maxConnectAttempts) {
        send(planned);
        return;
    }
    auto finished = outcomeOf(*planned, result);
    finished.latency = std::chrono::duration_cast<std::chrono::microseconds>(now - planned->at);
    m_report.add(finished);
    --m_open;
    closeAfterLast();
}

void load_generator::closeAfterLast()
{
    // Kept connections would keep the io_context running.
    if (m_allSent && m_open == 0) {
        m_clients.clear();
        m_signals.cancel();
    }
}

void load_generator::stopSending()
{
    m_allSent = true;
    m_timer.cancel();
    closeAfterLast();
}

outcome load_generator::outcomeOf(const planned_request &planned, const http_result &result) const
{
    switch (result.kind) {
    case http_result_kind::connect_failed:
        return { .kind = "not-run", .reason = "connect_failed" };
    case http_result_kind::broken:
        return { .kind = "unknown", .reason = "connection_broken" };
    case http_result_kind::timeout:
        return { .kind = "unknown", .reason = "no_answer" };
    case http_result_kind::answered:
        break;
    }
    const auto &response = result.response;
    const auto outcomeHeader = headerOf(response, "X-Plantain-Outcome");
    if (outcomeHeader == "not-run" || outcomeHeader == "unknown")
        return { .kind = outcomeHeader, .reason = reasonOf(response) };
    // An error without the header comes from the HTTP server's limits; no request was accepted.
    if (outcomeHeader.empty() && response.status >= 400)
        return { .kind = "not-run", .reason = reasonOf(response) };
    return { .kind = "answered",
             .reason = std::to_string(response.status),
             .wrongAnswer = m_options.checkAnswers
                            && response.body.find(planned.token) == std::string::npos };
}

} // namespace plantainpitch::load
