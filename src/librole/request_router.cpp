#include "plantainpitch/role/request_router.h"

#include "router_state.h"

#include <boost/json.hpp>

#include <utility>

namespace plantainpitch {

request_router::request_router(request_router_options options, std::uint64_t seed)
    : m_state(std::make_unique<state>(std::move(options), seed))
{}

request_router::~request_router() = default;

void request_router::onTemplate(std::shared_ptr<const work_template> value)
{
    m_state->findOrCreateService(value->name).definition = std::move(value);
}

void request_router::onTemplateRemoved(const std::string &name)
{
    const auto found = m_state->services.find(name);
    if (found != m_state->services.end())
        found->second->definition = nullptr;
}

void request_router::onEndpoint(instant now, const endpoint_info &endpoint)
{
    m_state->onEndpoint(now, endpoint);
}

void request_router::onEndpointDisconnected(instant now, connection_id connection)
{
    m_state->onEndpointDisconnected(now, connection);
}

void request_router::onRequest(instant now, const caller_request &request)
{
    m_state->onRequest(now, request);
    m_state->runDueTimers(now);
}

void request_router::onCallerDisconnected(instant now, std::uint64_t callerId)
{
    const auto found = m_state->byCaller.find(callerId);
    if (found == m_state->byCaller.end())
        return;
    auto &request = m_state->pending.at(found->second);
    request.callerDisconnected = true;
    if (request.idempotent && !request.attempts.empty())
        m_state->finishUnknown(now, request.number, "caller_gone");
    else
        m_state->cancelOpenAttempts(request);
}

void request_router::onMessage(instant now, connection_id from, const message &content)
{
    if (const auto *reply = std::get_if<answer>(&content)) {
        m_state->updateEndpointLoad(now, from, reply->running, reply->queued, false);
        m_state->onAnswer(now, *reply);
    } else if (const auto *refused = std::get_if<refusal>(&content)) {
        m_state->updateEndpointLoad(now, from, refused->running, refused->queued,
                                    refused->reason == refusal_reason::draining);
        m_state->onRefusal(now, *refused);
    } else if (const auto *result = std::get_if<cancel_result>(&content)) {
        m_state->onCancelResult(now, from, *result);
    }
    // Hedging delays follow the 95th percentile latency, a few milliseconds; the tick of 50 ms is
    // too coarse for them.
    m_state->runDueTimers(now);
}

void request_router::onRecordOutcome(instant now, const record_outcome &outcome,
                                     const std::optional<key_state> &holder)
{
    if (const auto claim = m_state->keys.takeClaim(outcome.token))
        m_state->onClaimOutcome(now, *claim, outcome, holder);
    else
        m_state->keys.onRecordOutcome(outcome, m_state->actions);
}

void request_router::tick(instant now)
{
    m_state->runDueTimers(now);
    m_state->keys.tick(now, m_state->actions);
}

std::size_t request_router::inFlight() const
{
    return m_state->pending.size();
}

std::string request_router::explainService(const std::string &templateName) const
{
    boost::json::object result{ { "service", templateName }, { "published", false } };
    boost::json::array endpoints;
    const auto found = m_state->services.find(templateName);
    if (found != m_state->services.end()) {
        const auto &service = *found->second;
        result["published"] = service.definition != nullptr;
        for (const endpoint_number number : service.endpoints.connected()) {
            const auto &endpoint = service.endpoints[number];
            endpoints.push_back({ { "vm", endpoint.info.vm },
                                  { "data_centre", endpoint.info.dataCentre },
                                  { "running", endpoint.info.running },
                                  { "queued", endpoint.info.queued },
                                  { "draining", endpoint.info.draining },
                                  { "in_flight_here", endpoint.inFlight.size() },
                                  { "routing", service.routing->explain(number) } });
        }
    }
    result["endpoints"] = std::move(endpoints);
    return boost::json::serialize(result);
}

action_list request_router::takeActions()
{
    return std::exchange(m_state->actions, {});
}

} // namespace plantainpitch
