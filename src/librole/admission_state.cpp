#include "admission_state.h"

#include "answer_checksum.h"
#include "plantainpitch/policy/queue_admission.h"

#include <algorithm>
#include <utility>

namespace plantainpitch {

request_admission::state::state(request_admission_options value)
    : options(std::move(value))
    , policy(options.makeAdmissionPolicy ? options.makeAdmissionPolicy()
                                         : std::make_unique<queue_admission>())
    , history(options.historyLimit, options.historyByteLimit, options.historyMaxAge)
{}

void request_admission::state::onDispatch(instant now, connection_id from, const dispatch &request)
{
    const detail::attempt_key key{ .id = request.id, .attempt = request.attempt };
    // The sending entry can be reached on this connection even if its hello came on another one.
    connections.try_emplace(request.id.entry, from);
    if (handleKnownDispatch(from, key, request.idempotent))
        return;
    refuseExpired(now);
    if (const auto reason = reasonToRefuse(request)) {
        refuse(now, key, *reason);
        return;
    }
    queue.push_back({ .key = key,
                      .idempotent = request.idempotent,
                      .deadline = now + duration(request.timeLeftUs),
                      .started = {},
                      .request = request.request });
    startQueued(now);
}

bool request_admission::state::handleKnownDispatch(connection_id from,
                                                   const detail::attempt_key &key, bool idempotent)
{
    if (const auto *ended = history.find(key)) {
        if (ended->storedAnswer)
            sendToEntry(key.id.entry, *ended->storedAnswer);
        else
            sendRefusal(from, key, ended->refused.value_or(refusal_reason::duplicate));
        return true;
    }
    if (isActive(key)) {
        sendRefusal(from, key, refusal_reason::duplicate);
        return true;
    }
    if (history.isCancelled(key)) {
        sendRefusal(from, key, refusal_reason::cancelled);
        return true;
    }
    // An entry must not send a second attempt of a non-idempotent request that has run here;
    // starting it would run the request twice.
    const bool ranBefore = !idempotent && (isActiveRequest(key.id) || history.hasRun(key.id));
    if (ranBefore || history.mayHaveBeenEvicted(key.id)) {
        sendRefusal(from, key, refusal_reason::duplicate);
        return true;
    }
    return false;
}

bool request_admission::state::isActive(const detail::attempt_key &key) const
{
    return std::any_of(queue.begin(), queue.end(), [&](const auto &r) { return r.key == key; })
           || std::any_of(running.begin(), running.end(),
                          [&](const auto &r) { return r.second.key == key; });
}

bool request_admission::state::isActiveRequest(const request_id &id) const
{
    return std::any_of(queue.begin(), queue.end(), [&](const auto &r) { return r.key.id == id; })
           || std::any_of(running.begin(), running.end(),
                          [&](const auto &r) { return r.second.key.id == id; });
}

std::optional<refusal_reason>
request_admission::state::reasonToRefuse(const dispatch &request) const
{
    if (draining)
        return refusal_reason::draining;
    if (request.request.templateName != options.templateName)
        return refusal_reason::unknown_template;
    if (request.timeLeftUs <= 0)
        return refusal_reason::expired;
    const admission_load load{ .slots = usableSlots(),
                               .running = static_cast<std::uint32_t>(running.size()),
                               .queued = static_cast<std::uint32_t>(queue.size()) };
    if (load.running >= load.slots && load.queued >= options.queueLimit)
        return refusal_reason::queue_full;
    if (!policy->canFinish(load, duration(request.timeLeftUs)))
        return refusal_reason::deadline_unreachable;
    return std::nullopt;
}

std::uint32_t request_admission::state::usableSlots() const
{
    return std::min(options.slots, options.connections);
}

void request_admission::state::startQueued(instant now)
{
    while (!queue.empty() && running.size() < usableSlots()) {
        admitted_request request = std::move(queue.front());
        queue.pop_front();
        if (request.deadline <= now) {
            refuse(now, request.key, refusal_reason::expired);
            continue;
        }
        request.started = now;
        const std::uint64_t callId = ++lastCallId;
        actions.emplace_back(service_call{ .callId = callId,
                                           .id = request.key.id,
                                           .request = std::exchange(request.request, {}),
                                           .timeoutUs = (request.deadline - now).count() });
        running.emplace(callId, std::move(request));
    }
}

void request_admission::state::refuseExpired(instant now)
{
    std::vector<detail::attempt_key> expired;
    std::erase_if(queue, [&](const admitted_request &request) {
        if (request.deadline > now)
            return false;
        expired.push_back(request.key);
        return true;
    });
    for (const auto &key : expired)
        refuse(now, key, refusal_reason::expired);
}

void request_admission::state::onServiceResult(instant now, const service_result &result)
{
    const auto found = running.find(result.callId);
    if (found == running.end())
        return;
    const admitted_request request = std::move(found->second);
    running.erase(found);
    // Calls without an answer count too: a service that does not answer in time is slow.
    if (options.onServiceTime && result.kind != service_result_kind::connect_failed)
        options.onServiceTime(now - request.started);
    switch (result.kind) {
    case service_result_kind::answered:
        finish(now, request, result.content);
        break;
    case service_result_kind::connect_failed:
        refuse(now, request.key, refusal_reason::connect_failed);
        break;
    case service_result_kind::broken:
        refuse(now, request.key, refusal_reason::service_broken);
        break;
    }
    startQueued(now);
}

void request_admission::state::finish(instant now, const admitted_request &request,
                                      const service_answer &content)
{
    const duration serviceTime = now - request.started;
    policy->onServiceTime(serviceTime);
    answer reply{ .id = request.key.id,
                  .attempt = request.key.attempt,
                  .content = content,
                  .bodyBytes = content.body.size(),
                  .bodyChecksum = detail::bodyChecksum(content.body),
                  .serviceTimeUs = serviceTime.count(),
                  .running = static_cast<std::uint32_t>(running.size()),
                  .queued = static_cast<std::uint32_t>(queue.size()) };
    // The answer to an idempotent request is not stored: the entry repeats such a request instead
    // of asking for a lost answer.
    detail::past_dispatch ended;
    if (!request.idempotent)
        ended.storedAnswer = reply;
    history.add(now, request.key, std::move(ended));
    actions.emplace_back(count_metric{ .name = "requests_finished_total", .label = "answered" });
    sendToEntry(request.key.id.entry, std::move(reply));
}

void request_admission::state::onCancel(instant now, connection_id from, const cancel &request)
{
    const detail::attempt_key key{ .id = request.id, .attempt = request.attempt };
    connections.try_emplace(request.id.entry, from);
    if (const auto *ended = history.find(key)) {
        if (ended->refused && provesNotRun(*ended->refused)) {
            sendCancelResult(from, key, cancel_outcome::not_started);
        } else if (ended->storedAnswer) {
            actions.emplace_back(
                    send_message{ .connection = from, .content = *ended->storedAnswer });
            sendCancelResult(from, key, cancel_outcome::answered);
        } else {
            sendCancelResult(from, key, cancel_outcome::unknown);
        }
        return;
    }
    const auto queuedAt =
            std::find_if(queue.begin(), queue.end(), [&](const auto &r) { return r.key == key; });
    if (queuedAt == queue.end() && isActive(key)) {
        sendCancelResult(from, key, cancel_outcome::running);
        return;
    }
    if (queuedAt == queue.end() && history.mayHaveBeenEvicted(key.id)) {
        sendCancelResult(from, key, cancel_outcome::unknown);
        return;
    }
    if (queuedAt != queue.end())
        queue.erase(queuedAt);
    history.add(now, key, { .refused = refusal_reason::cancelled, .storedAnswer = std::nullopt });
    actions.emplace_back(count_metric{ .name = "refusals_total", .label = "cancelled" });
    sendCancelResult(from, key, cancel_outcome::not_started);
}

void request_admission::state::refuse(instant now, const detail::attempt_key &key,
                                      refusal_reason reason)
{
    history.add(now, key, { .refused = reason, .storedAnswer = std::nullopt });
    const auto found = connections.find(key.id.entry);
    sendRefusal(found == connections.end() ? 0 : found->second, key, reason);
}

void request_admission::state::sendRefusal(connection_id to, const detail::attempt_key &key,
                                           refusal_reason reason)
{
    actions.emplace_back(count_metric{ .name = "refusals_total", .label = toString(reason) });
    if (to == 0)
        return;
    actions.emplace_back(send_message{
            .connection = to,
            .content = refusal{ .id = key.id,
                                .attempt = key.attempt,
                                .reason = reason,
                                .running = static_cast<std::uint32_t>(running.size()),
                                .queued = static_cast<std::uint32_t>(queue.size()) } });
}

void request_admission::state::sendToEntry(std::uint64_t entry, message content)
{
    // Without a connection the answer is only stored; the entry asks for it with a cancel.
    const auto found = connections.find(entry);
    if (found != connections.end())
        actions.emplace_back(
                send_message{ .connection = found->second, .content = std::move(content) });
}

void request_admission::state::sendCancelResult(connection_id to, const detail::attempt_key &key,
                                                cancel_outcome outcome)
{
    actions.emplace_back(send_message{
            .connection = to,
            .content = cancel_result{ .id = key.id, .attempt = key.attempt, .outcome = outcome } });
}

} // namespace plantainpitch
