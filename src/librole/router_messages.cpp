#include "router_state.h"

#include "answer_checksum.h"

namespace plantainpitch {

namespace {

constexpr std::uint32_t maxResends = 2;

} // namespace

std::pair<detail::pending_request *, detail::dispatch_attempt *>
request_router::state::findAttempt(const request_id &id, std::uint32_t attempt)
{
    auto *request = id.entry == options.entry ? find(id.number) : nullptr;
    auto *found = request ? request->findAttempt(attempt) : nullptr;
    return { found ? request : nullptr, found };
}

void request_router::state::onAnswer(instant now, const answer &content)
{
    const auto [request, attempt] = findAttempt(content.id, content.attempt);
    if (!request) {
        count("late_answers_total", "answer");
        if (content.id.entry == options.entry && detail::isIntact(content))
            keys.onLateAnswer(content.id.number, content.attempt, content.content, actions);
        return;
    }
    if (attempt->state == detail::attempt_state::not_run) {
        reportInvariantViolation(content.id,
                                 "answer for a dispatch that was proven not to have run");
        return;
    }
    if (!detail::isIntact(content)) {
        onDamagedAnswer(now, request->number, *attempt);
        return;
    }
    auto &service = findOrCreateService(request->caller.request.templateName);
    service.hedging->onLatency(now - attempt->sentAt);
    endAttempt(now, *request, *attempt, detail::attempt_state::may_have_run,
               dispatch_outcome::answered, duration(content.serviceTimeUs));
    finishAnswered(now, request->number, content.content);
}

void request_router::state::onDamagedAnswer(instant now, std::uint64_t number,
                                            dispatch_attempt &attempt)
{
    auto &request = pending.at(number);
    count("damaged_answers_total", {});
    request.lastReason = "answer_damaged";
    if (!request.idempotent && attempt.state == detail::attempt_state::open
        && attempt.resendRequests < maxResends) {
        // The request has run and must not be repeated: ask the agent to resend the stored answer.
        ++attempt.resendRequests;
        send(attempt.connection,
             cancel{ .id = { options.entry, number }, .attempt = attempt.number });
        return;
    }
    endAttempt(now, request, attempt, detail::attempt_state::may_have_run,
               dispatch_outcome::failed);
    retryOrFinish(now, number, "answer_damaged");
}

void request_router::state::onRefusal(instant now, const refusal &content)
{
    const auto [request, attempt] = findAttempt(content.id, content.attempt);
    if (!request) {
        count("late_answers_total", "refusal");
        if (content.id.entry == options.entry && provesNotRun(content.reason))
            keys.onLateNotRun(content.id.number, content.attempt, actions);
        return;
    }
    count("refusals_total", toString(content.reason));
    // "Duplicate" means that the dispatch was accepted before; its answer is still expected.
    if (content.reason == refusal_reason::duplicate
        || attempt->state == detail::attempt_state::not_run)
        return;
    request->lastReason = toString(content.reason);
    if (provesNotRun(content.reason)) {
        const bool failed = content.reason == refusal_reason::connect_failed;
        endAttempt(now, *request, *attempt, detail::attempt_state::not_run,
                   failed ? dispatch_outcome::failed : dispatch_outcome::refused);
    } else {
        endAttempt(now, *request, *attempt, detail::attempt_state::may_have_run,
                   dispatch_outcome::failed);
    }
    retryOrFinish(now, request->number, toString(content.reason));
}

void request_router::state::onCancelResult(instant now, connection_id from,
                                           const cancel_result &content)
{
    const auto [request, attempt] = findAttempt(content.id, content.attempt);
    if (!request) {
        count("late_answers_total", "cancel_result");
        if (content.id.entry == options.entry && content.outcome == cancel_outcome::not_started)
            keys.onLateNotRun(content.id.number, content.attempt, actions);
        return;
    }
    if (!attempt->isOpen())
        return;
    switch (content.outcome) {
    case cancel_outcome::not_started:
        request->lastReason = request->callerDisconnected ? "caller_gone" : "connection_lost";
        endAttempt(now, *request, *attempt, detail::attempt_state::not_run,
                   dispatch_outcome::abandoned);
        retryOrFinish(now, request->number, request->lastReason);
        break;
    case cancel_outcome::running:
    case cancel_outcome::answered:
        // The answer will arrive on the same connection.
        attempt->state = detail::attempt_state::open;
        attempt->connection = from;
        break;
    case cancel_outcome::unknown:
        request->lastReason = "outcome_forgotten";
        endAttempt(now, *request, *attempt, detail::attempt_state::may_have_run,
                   dispatch_outcome::failed);
        retryOrFinish(now, request->number, request->lastReason);
        break;
    }
}

void request_router::state::reportInvariantViolation(const request_id &id,
                                                     std::string_view description)
{
    count("invariant_violations_total", "request_not_run");
    actions.emplace_back(write_log{
            .level = log_level::error,
            .event = "invariant_violated",
            .fields = { { "request", id.toString() }, { "what", std::string(description) } } });
}

void request_router::state::updateEndpointLoad(instant now, connection_id from,
                                               std::uint32_t running, std::uint32_t queued,
                                               bool isDraining)
{
    const auto found = byConnection.find(from);
    if (found == byConnection.end())
        return;
    auto &service = *found->second;
    const auto number = service.endpoints.byConnection(from);
    if (!number)
        return;
    auto &info = service.endpoints[*number].info;
    info.running = running;
    info.queued = queued;
    info.draining = info.draining || isDraining;
    service.routing->onReport(now, *number,
                              { .local = info.dataCentre == options.dataCentre,
                                .slots = info.slots,
                                .running = running,
                                .queued = queued,
                                .draining = info.draining });
}

} // namespace plantainpitch
