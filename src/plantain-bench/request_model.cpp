#include "request_model.h"

#include <algorithm>
#include <string>
#include <utility>

namespace plantainpitch {

namespace {

constexpr std::int64_t tickUs = 50'000;
constexpr std::int64_t heartbeatUs = 500'000;
constexpr const char *serviceName = "strike-payout";

std::string dataCentreOf(std::size_t index)
{
    return "dc" + std::to_string(index % request_model::entryCount);
}

} // namespace

double request_model_result::percentileMs(double share) const
{
    if (latenciesUs.empty())
        return 0;
    const auto index =
            static_cast<std::size_t>(static_cast<double>(latenciesUs.size() - 1) * share);
    return static_cast<double>(latenciesUs[index]) / 1000;
}

request_model::request_model(request_model_options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    work_template service{ .name = serviceName, .kind = task_kind::service };
    service.idempotentPaths = { { .method = "POST", .prefix = "/balance" } };
    const auto shared = std::make_shared<const work_template>(service);
    for (std::size_t i = 0; i < entryCount; ++i) {
        auto routerOptions = m_options.router;
        routerOptions.entry = i + 1;
        routerOptions.dataCentre = dataCentreOf(i);
        routerOptions.maxInFlight = 100'000;
        m_routers.push_back(
                std::make_unique<request_router>(routerOptions, m_options.seed * 100 + i));
        m_routers[i]->onTemplate(shared);
    }
    for (std::size_t i = 0; i < endpointCount; ++i) {
        m_admissions.push_back(std::make_unique<request_admission>(
                request_admission_options{ .templateName = serviceName,
                                           .slots = slots,
                                           .makeAdmissionPolicy = m_options.makeAdmissionPolicy }));
        for (std::size_t entry = 0; entry < entryCount; ++entry)
            m_admissions[i]->onEntryConnected(now(), connectionOf(entry, i), entry + 1);
    }
}

request_model_result request_model::run()
{
    for (std::size_t i = 0; i < endpointCount; ++i)
        report(i);
    for (std::int64_t us = tickUs; us <= (m_options.lengthMs + m_options.timeoutMs) * 1000;
         us += tickUs) {
        after(us, [this] {
            for (std::size_t i = 0; i < entryCount; ++i) {
                m_routers[i]->tick(now());
                takeFromEntry(i);
            }
            for (std::size_t i = 0; i < endpointCount; ++i) {
                m_admissions[i]->tick(now());
                takeFromEndpoint(i);
            }
        });
    }
    for (std::size_t i = 0; i < entryCount; ++i)
        arrive(i);
    while (!m_events.empty()) {
        const auto work = m_events.top().work;
        m_nowUs = m_events.top().timeUs;
        m_events.pop();
        work();
    }
    std::sort(m_latenciesUs.begin(), m_latenciesUs.end());
    const double measuredS =
            static_cast<double>(m_options.lengthMs - m_options.measureFromMs) / 1000;
    const auto measured = static_cast<double>(std::max<std::size_t>(m_latenciesUs.size(), 1));
    return { .latenciesUs = std::move(m_latenciesUs),
             .goodputPerS = static_cast<double>(m_answered) / measuredS,
             .addedLoad = static_cast<double>(m_addedDispatches)
                          / static_cast<double>(std::max<std::uint64_t>(m_firstDispatches, 1)),
             .unanswered = static_cast<double>(m_unanswered) / measured };
}

void request_model::after(std::int64_t us, std::function<void()> work)
{
    m_events.push({ .timeUs = m_nowUs + us, .order = ++m_order, .work = std::move(work) });
}

std::int64_t request_model::linkDelayUs(std::size_t entry, std::size_t endpoint)
{
    const bool local = dataCentreOf(entry) == dataCentreOf(endpoint);
    const std::uint64_t jitterUs = m_random() % (local ? 100 : 1000);
    return (local ? 200 : 2500) + static_cast<std::int64_t>(jitterUs);
}

void request_model::report(std::size_t endpoint)
{
    for (std::size_t entry = 0; entry < entryCount; ++entry) {
        const endpoint_info info{ .connection = connectionOf(entry, endpoint),
                                  .vm = "vm" + std::to_string(endpoint),
                                  .dataCentre = dataCentreOf(endpoint),
                                  .incarnation = 1000 + endpoint,
                                  .templateName = serviceName,
                                  .slots = slots,
                                  .connections = 64,
                                  .running = m_admissions[endpoint]->running(),
                                  .queued = m_admissions[endpoint]->queued() };
        after(m_nowUs == 0 ? 0 : linkDelayUs(entry, endpoint),
              [this, entry, info] { m_routers[entry]->onEndpoint(now(), info); });
    }
    if (m_nowUs / 1000 < m_options.lengthMs)
        after(heartbeatUs, [this, endpoint] { report(endpoint); });
}

void request_model::arrive(std::size_t entry)
{
    const double perEntry = capacityPerS * m_options.load / entryCount;
    const double waitUs = std::exponential_distribution<>(perEntry / 1e6)(m_random);
    after(static_cast<std::int64_t>(waitUs), [this, entry] {
        if (m_nowUs / 1000 >= m_options.lengthMs)
            return;
        const std::uint64_t caller = ++m_lastCaller;
        m_arrivals[caller] = m_nowUs;
        caller_request request{ .callerId = caller, .timeoutMs = m_options.timeoutMs };
        request.request.templateName = serviceName;
        request.request.method = "POST";
        request.request.path = m_random() % 10 < 7 ? "/balance" : "/pay";
        m_routers[entry]->onRequest(now(), request);
        takeFromEntry(entry);
        arrive(entry);
    });
}

void request_model::takeFromEntry(std::size_t entry)
{
    for (const auto &each : m_routers[entry]->takeActions()) {
        if (const auto *reply = std::get_if<answer_caller>(&each)) {
            noteAnswer(*reply);
            continue;
        }
        const auto *sent = std::get_if<send_message>(&each);
        if (!sent)
            continue;
        const std::size_t endpoint = (sent->connection - 1) % endpointCount;
        if (const auto *request = std::get_if<dispatch>(&sent->content))
            ++(request->attempt == 1 ? m_firstDispatches : m_addedDispatches);
        after(linkDelayUs(entry, endpoint), [this, endpoint, message = *sent] {
            auto &admission = *m_admissions[endpoint];
            if (const auto *request = std::get_if<dispatch>(&message.content))
                admission.onDispatch(now(), message.connection, *request);
            else if (const auto *stop = std::get_if<cancel>(&message.content))
                admission.onCancel(now(), message.connection, *stop);
            takeFromEndpoint(endpoint);
        });
    }
}

void request_model::takeFromEndpoint(std::size_t endpoint)
{
    for (const auto &each : m_admissions[endpoint]->takeActions()) {
        if (const auto *call = std::get_if<service_call>(&each)) {
            serve(endpoint, *call);
        } else if (const auto *sent = std::get_if<send_message>(&each)) {
            const std::size_t entry = (sent->connection - 1) / endpointCount;
            after(linkDelayUs(entry, endpoint), [this, entry, message = *sent] {
                m_routers[entry]->onMessage(now(), message.connection, message.content);
                takeFromEntry(entry);
            });
        }
    }
}

void request_model::serve(std::size_t endpoint, const service_call &call)
{
    const double factor = m_options.slowness ? m_options.slowness(endpoint, m_nowUs / 1000) : 1;
    const double halfUs = meanServiceUs / 2;
    const double serviceUs =
            (halfUs + std::exponential_distribution<>(1 / halfUs)(m_random)) * factor;
    after(static_cast<std::int64_t>(serviceUs), [this, endpoint, callId = call.callId] {
        m_admissions[endpoint]->onServiceResult(
                now(), { .callId = callId, .kind = service_result_kind::answered });
        takeFromEndpoint(endpoint);
    });
}

void request_model::noteAnswer(const answer_caller &reply)
{
    const std::int64_t arrivedUs = m_arrivals.at(reply.callerId);
    m_arrivals.erase(reply.callerId);
    if (arrivedUs / 1000 < m_options.measureFromMs)
        return;
    const bool answered = reply.outcome == outcome_kind::answered;
    ++(answered ? m_answered : m_unanswered);
    m_latenciesUs.push_back(answered ? m_nowUs - arrivedUs : m_options.timeoutMs * 1000);
}

} // namespace plantainpitch
