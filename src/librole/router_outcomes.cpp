#include "router_state.h"

#include "outcome_text.h"

namespace plantainpitch {

void request_router::state::finishAnswered(instant now, std::uint64_t number,
                                           const service_answer &content)
{
    const auto &request = pending.at(number);
    if (request.holdsKey)
        keys.submitFinished(number, request.caller.request.account, request.caller.idempotencyKey,
                            content, actions);
    actions.emplace_back(observe_latency{ .name = "request_latency",
                                          .label = request.caller.request.templateName,
                                          .value = now - request.arrived });
    finish(now, number,
           { .outcome = outcome_kind::answered, .status = content.status, .content = content });
}

void request_router::state::finishNotRun(instant now, std::uint64_t number, std::string_view reason)
{
    const auto &request = pending.at(number);
    const auto text = detail::outcomeText(outcome_kind::not_run, reason);
    if (request.holdsKey)
        keys.submitReleased(number, request.caller.request.account, request.caller.idempotencyKey,
                            actions);
    count("not_run_total", reason);
    finish(now, number,
           { .outcome = outcome_kind::not_run,
             .status = text.status,
             .reason = std::string(reason),
             .remedy = std::string(text.remedy) });
}

void request_router::state::finishUnknown(instant now, std::uint64_t number,
                                          std::string_view reason)
{
    const auto &request = pending.at(number);
    const auto text = detail::outcomeText(outcome_kind::unknown, reason);
    if (request.holdsKey)
        keys.keepUnsettled(now, number, static_cast<std::uint32_t>(request.attempts.size()),
                           request.caller);
    count("unknown_total", reason);
    finish(now, number,
           { .outcome = outcome_kind::unknown,
             .status = text.status,
             .reason = std::string(reason),
             .remedy = std::string(text.remedy) });
}

void request_router::state::finish(instant now, std::uint64_t number, answer_caller reply)
{
    auto &request = pending.at(number);
    // Nobody waits for the remaining attempts: cancel those that have not started.
    cancelOpenAttempts(request);
    for (auto &attempt : request.attempts) {
        if (attempt.isOpen())
            endAttempt(now, request, attempt, detail::attempt_state::may_have_run,
                       dispatch_outcome::abandoned);
    }
    reply.callerId = request.caller.callerId;
    reply.requestId = request_id{ .entry = options.entry, .number = number }.toString();
    count("requests_total", toString(reply.outcome));
    actions.emplace_back(std::move(reply));
    byCaller.erase(request.caller.callerId);
    pending.erase(number);
}

} // namespace plantainpitch
