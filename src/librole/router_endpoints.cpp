#include "router_state.h"

namespace plantainpitch {

void request_router::state::onEndpoint(instant now, const endpoint_info &endpoint)
{
    if (endpoint.templateName.empty()) {
        onEndpointDisconnected(now, endpoint.connection); // the agent serves no template
        return;
    }
    auto &service = findOrCreateService(endpoint.templateName);
    const auto served = byConnection.find(endpoint.connection);
    if (served != byConnection.end() && served->second != &service)
        onEndpointDisconnected(now, endpoint.connection); // the agent has changed its template
    auto known = service.endpoints.byIncarnation(endpoint.incarnation);
    if (known) {
        const connection_id old = service.endpoints[*known].info.connection;
        if (old != 0 && old != endpoint.connection) {
            onEndpointDisconnected(now, old);
            known = service.endpoints.byIncarnation(endpoint.incarnation);
        }
    }
    const bool wasConnected = known && service.endpoints[*known].info.connection != 0;
    const endpoint_number number = service.endpoints.addOrUpdate(endpoint);
    byConnection[endpoint.connection] = &service;
    service.routing->onReport(now, number,
                              { .local = endpoint.dataCentre == options.dataCentre,
                                .slots = endpoint.slots,
                                .running = endpoint.running,
                                .queued = endpoint.queued,
                                .draining = endpoint.draining });
    if (wasConnected)
        return;
    queryLostAttempts(service, number);
    failAttemptsOnReplaced(now, service, endpoint);
}

void request_router::state::queryLostAttempts(router_service &service, endpoint_number endpoint)
{
    const auto &known = service.endpoints[endpoint];
    for (const std::uint64_t number : known.inFlight) {
        for (const auto &attempt : pending.at(number).attempts) {
            if (attempt.state == detail::attempt_state::lost && attempt.endpoint == endpoint
                && attempt.agentIncarnation == known.info.incarnation)
                send(known.info.connection,
                     cancel{ .id = { options.entry, number }, .attempt = attempt.number });
        }
    }
}

void request_router::state::failAttemptsOnReplaced(instant now, router_service &service,
                                                   const endpoint_info &endpoint)
{
    for (const endpoint_number replaced : service.endpoints.replacedBy(endpoint)) {
        const auto numbers = service.endpoints[replaced].inFlight;
        for (const std::uint64_t number : numbers) {
            auto *request = find(number);
            for (std::size_t i = 0; request && i < request->attempts.size(); ++i) {
                auto &attempt = request->attempts[i];
                if (attempt.state != detail::attempt_state::lost || attempt.endpoint != replaced)
                    continue;
                // The agent process that knew the outcome of the request no longer exists.
                request->lastReason = "agent_restarted";
                endAttempt(now, *request, attempt, detail::attempt_state::may_have_run,
                           dispatch_outcome::failed);
                retryOrFinish(now, number, "agent_restarted");
                request = find(number);
            }
        }
    }
}

void request_router::state::onEndpointDisconnected(instant now, connection_id connection)
{
    const auto found = byConnection.find(connection);
    if (found == byConnection.end())
        return;
    auto &service = *found->second;
    byConnection.erase(found);
    const auto number = service.endpoints.byConnection(connection);
    if (!number)
        return;
    // Remove the endpoint from routing first, so that the retries below go to others.
    service.routing->onRemoved(*number);
    service.endpoints.disconnect(*number);
    const auto inFlight = service.endpoints[*number].inFlight;
    for (const std::uint64_t request : inFlight)
        onAttemptLost(now, request, *number);
    service.endpoints.removeIfUnused(*number);
}

void request_router::state::onAttemptLost(instant now, std::uint64_t number,
                                          endpoint_number endpoint)
{
    auto *request = find(number);
    for (std::size_t i = 0; request && i < request->attempts.size(); ++i) {
        auto &attempt = request->attempts[i];
        if (attempt.state != detail::attempt_state::open || attempt.endpoint != endpoint)
            continue;
        request->lastReason = "connection_lost";
        if (!request->idempotent) {
            attempt.state = detail::attempt_state::lost;
            // The policy counts from zero if the endpoint reconnects.
            attempt.countedInFlight = false;
            continue;
        }
        endAttempt(now, *request, attempt, detail::attempt_state::may_have_run,
                   dispatch_outcome::failed);
        retryOrFinish(now, number, "connection_lost");
        request = find(number);
    }
}

} // namespace plantainpitch
