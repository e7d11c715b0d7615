#include "router_state.h"

#include "outcome_text.h"

#include <algorithm>

namespace plantainpitch {

namespace {

/// If this many dispatches fail, the cause is the service and not a single endpoint.
constexpr std::size_t maxAttempts = 5;

/// Time limit sent to the agent. It is slightly shorter than the time left, so that a refusal for
/// expiry arrives before the deadline.
duration timeForAgent(duration left)
{
    return left - std::min(left / 10, duration(std::chrono::milliseconds(10)));
}

} // namespace

void request_router::state::onRequest(instant now, const caller_request &request)
{
    const auto found = services.find(request.request.templateName);
    const auto *service = found == services.end() ? nullptr : found->second.get();
    if (!service || !service->definition || service->definition->kind != task_kind::service) {
        refuseCaller(request, "unknown_service");
        return;
    }
    if (request.timeoutMs < 0) {
        refuseCaller(request, "invalid_timeout");
        return;
    }
    if (pending.size() >= options.maxInFlight) {
        refuseCaller(request, "entry_overloaded");
        return;
    }
    const auto &definition = *service->definition;
    // Limited to one day, so that a caller cannot make this process keep a request for longer.
    const std::int64_t timeoutMs = std::min<std::int64_t>(
            request.timeoutMs > 0 ? request.timeoutMs : definition.requestTimeoutMs, 86'400'000);
    const std::uint64_t number =
            std::exchange(nextRequestNumber, nextRequestNumber + options.requestNumberStep);
    auto &added = pending[number];
    added = { .number = number, .caller = request, .arrived = now };
    added.idempotent =
            detail::isIdempotent(definition, request.request.method, request.request.path);
    added.deadline = now + std::chrono::milliseconds(timeoutMs);
    byCaller[request.callerId] = number;
    service->retries->onRequest();
    service->hedging->onRequest();
    if (!added.idempotent && !request.idempotencyKey.empty()) {
        added.claimingKey = true;
        keys.submitClaim(number, request, actions);
        scheduleTimer(added);
        return;
    }
    dispatchFirst(now, added);
}

void request_router::state::refuseCaller(const caller_request &request, std::string_view reason)
{
    const auto text = detail::outcomeText(outcome_kind::not_run, reason);
    count("requests_total", toString(outcome_kind::not_run));
    count("not_run_total", reason);
    actions.emplace_back(answer_caller{ .callerId = request.callerId,
                                        .outcome = outcome_kind::not_run,
                                        .status = text.status,
                                        .reason = std::string(reason),
                                        .remedy = std::string(text.remedy) });
}

void request_router::state::dispatchFirst(instant now, pending_request &request)
{
    if (request.deadline <= now)
        finishNotRun(now, request.number, "deadline_passed");
    else if (request.callerDisconnected)
        finishNotRun(now, request.number, "caller_gone");
    else if (!dispatchNext(now, request))
        finishNotRun(now, request.number, "no_endpoint");
}

bool request_router::state::dispatchNext(instant now, pending_request &request)
{
    auto &service = findOrCreateService(request.caller.request.templateName);
    std::vector<endpoint_number> tried;
    for (const auto &attempt : request.attempts)
        tried.push_back(attempt.endpoint);
    const auto chosen = service.routing->choose(now, tried);
    if (!chosen)
        return false;
    auto &endpoint = service.endpoints[*chosen];
    const auto attemptNumber = static_cast<std::uint32_t>(request.attempts.size() + 1);
    request.attempts.push_back({ .number = attemptNumber,
                                 .endpoint = *chosen,
                                 .connection = endpoint.info.connection,
                                 .agentIncarnation = endpoint.info.incarnation,
                                 .sentAt = now });
    endpoint.inFlight.insert(request.number);
    service.routing->onDispatched(now, *chosen);
    send(endpoint.info.connection,
         dispatch{ .id = { .entry = options.entry, .number = request.number },
                   .attempt = attemptNumber,
                   .timeLeftUs = timeForAgent(request.deadline - now).count(),
                   .idempotent = request.idempotent,
                   .request = request.caller.request });
    scheduleTimer(request);
    return true;
}

void request_router::state::retryOrFinish(instant now, std::uint64_t number,
                                          std::string_view retryReason)
{
    auto *request = find(number);
    if (!request || request->hasOpenAttempt())
        return;
    const bool allowed = request->idempotent || request->provenNotRun();
    if (allowed && !request->callerDisconnected && request->deadline > now
        && request->attempts.size() < maxAttempts) {
        if (!findOrCreateService(request->caller.request.templateName).retries->tryAcquire()) {
            count("retries_withheld_total", retryReason);
        } else if (dispatchNext(now, *request)) {
            count("retries_total", retryReason);
            return;
        }
    }
    if (request->provenNotRun())
        finishNotRun(now, number, request->lastReason);
    else
        finishUnknown(now, number, request->lastReason);
}

instant request_router::state::nextTimer(const pending_request &request) const
{
    if (!request.idempotent || request.attempts.empty() || request.attempts.back().timedOut)
        return request.deadline;
    const auto &last = request.attempts.back();
    // An idempotent attempt times out after half of the time that was left when it was sent.
    instant next = last.sentAt + (request.deadline - last.sentAt) / 2;
    const auto &service = *services.at(request.caller.request.templateName);
    const auto hedgeDelay = service.hedging->delay();
    if (hedgeDelay && !request.hedged)
        next = std::min(next, last.sentAt + *hedgeDelay);
    return std::min(next, request.deadline);
}

void request_router::state::scheduleTimer(const pending_request &request)
{
    timers.emplace(nextTimer(request), request.number);
}

void request_router::state::runDueTimers(instant now)
{
    while (!timers.empty() && timers.top().first <= now) {
        const std::uint64_t number = timers.top().second;
        timers.pop();
        onTimer(now, number);
    }
}

void request_router::state::onTimer(instant now, std::uint64_t number)
{
    auto *request = find(number);
    if (!request)
        return;
    if (request->deadline <= now) {
        onDeadline(now, number);
        return;
    }
    if (nextTimer(*request) > now) {
        scheduleTimer(*request);
        return;
    }
    auto &service = findOrCreateService(request->caller.request.templateName);
    auto &last = request->attempts.back();
    const bool timedOut = last.sentAt + (request->deadline - last.sentAt) / 2 <= now;
    // Set before dispatchNext(), which appends to the attempts and invalidates `last`.
    const bool hedges = !timedOut;
    if (timedOut)
        last.timedOut = true;
    request->hedged = true;
    // A hedge counts against both budgets, so that all additional load stays within the retry
    // budget.
    const bool allowed = request->attempts.size() < maxAttempts
                         && (!hedges || service.hedging->tryAcquire())
                         && service.retries->tryAcquire();
    if (allowed && dispatchNext(now, *request))
        count(hedges ? "hedges_total" : "retries_total", hedges ? "slow" : "timeout");
    else
        scheduleTimer(*request);
}

void request_router::state::onDeadline(instant now, std::uint64_t number)
{
    const auto &request = pending.at(number);
    if (request.provenNotRun()) {
        finishNotRun(now, number, "deadline_passed");
        return;
    }
    const bool lost =
            std::any_of(request.attempts.begin(), request.attempts.end(), [](const auto &attempt) {
                return attempt.state == detail::attempt_state::lost;
            });
    finishUnknown(now, number, lost ? "connection_lost" : "deadline_passed");
}

void request_router::state::endAttempt(instant now, pending_request &request,
                                       dispatch_attempt &attempt, detail::attempt_state state,
                                       dispatch_outcome outcome, duration serviceTime)
{
    const bool wasOpen = attempt.isOpen();
    attempt.state = state;
    if (!wasOpen)
        return;
    auto &service = findOrCreateService(request.caller.request.templateName);
    if (attempt.countedInFlight)
        service.routing->onEnded(now, attempt.endpoint,
                                 { .outcome = outcome,
                                   .latency = now - attempt.sentAt,
                                   .serviceTime = serviceTime });
    attempt.countedInFlight = false;
    service.endpoints[attempt.endpoint].inFlight.erase(request.number);
    service.endpoints.removeIfUnused(attempt.endpoint);
}

void request_router::state::cancelOpenAttempts(const pending_request &request)
{
    for (const auto &attempt : request.attempts) {
        if (attempt.state == detail::attempt_state::open)
            send(attempt.connection,
                 cancel{ .id = { options.entry, request.number }, .attempt = attempt.number });
    }
}

} // namespace plantainpitch
