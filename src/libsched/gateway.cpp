#include "plantainpitch/sched/gateway.h"

#include "plantainpitch/sched/message_limits.h"

namespace plantainpitch::sched {

bool gateway::ownerOpened(const owner_hello &hello, instant /*now*/)
{
    if (hello.epoch < m_epoch)
        return false;
    log(log_level::info, "owner_connected",
        { { "owner", hello.node },
          { "epoch", std::to_string(hello.epoch) },
          { "open_calls", std::to_string(m_calls.size()) } });
    m_epoch = hello.epoch;
    m_connected = true;
    for (auto &[number, entry] : m_calls)
        send(entry);
    return true;
}

void gateway::ownerClosed(instant /*now*/)
{
    if (m_connected)
        log(log_level::warning, "owner_lost", { { "epoch", std::to_string(m_epoch) } });
    m_connected = false;
    for (auto &[number, entry] : m_calls)
        entry.waiting = true;
}

void gateway::send(open_call &entry)
{
    entry.sent = true;
    entry.waiting = false;
    m_messages.push_back(makeMessage(entry.content));
}

void gateway::call(client_call call, instant deadline, instant now)
{
    open_call entry;
    entry.content = std::move(call);
    entry.received = now;
    entry.deadline = deadline;
    // The owner would close the connection, on which the calls of other clients wait.
    if (entry.content.submitted)
        entry.bytes = encodeSubmission(*entry.content.submitted).size();
    if (entry.bytes > maxSubmittedBytes) {
        log(log_level::warning, "job_too_large", { { "job", entry.content.job } });
        finish(entry, gateway_status::rejected, {});
        return;
    }
    if (!hasRoomFor(entry)) {
        log(log_level::warning, "too_many_open_calls",
            { { "job", entry.content.job },
              { "calls", std::to_string(m_calls.size()) },
              { "bytes", std::to_string(m_openBytes) } });
        expire(entry, now);
        return;
    }
    if (m_connected)
        send(entry);
    m_openBytes += entry.bytes;
    m_calls.emplace(entry.content.number, std::move(entry));
}

bool gateway::hasRoomFor(const open_call &entry) const
{
    return m_calls.size() < maxOpenCalls && m_openBytes + entry.bytes <= maxOpenBytes;
}

void gateway::remove(std::map<std::uint64_t, open_call>::iterator entry)
{
    m_openBytes -= entry->second.bytes;
    m_calls.erase(entry);
}

void gateway::finish(const open_call &entry, gateway_status status, const client_answer &content)
{
    gateway_answer answer;
    answer.number = entry.content.number;
    answer.status = status;
    answer.content = content;
    if (status == gateway_status::not_accepted)
        answer.retryAfterMs = content.retryAfterMs > 0 ? content.retryAfterMs : defaultRetryAfterMs;
    m_answers.push_back(answer);
}

void gateway::onAnswer(const client_answer &answer)
{
    const auto found = m_calls.find(answer.number);
    if (found == m_calls.end())
        return;
    m_openOutcomes.erase(found->second.content.job);
    switch (static_cast<call_outcome>(answer.outcome)) {
    case call_outcome::done:
        finish(found->second, gateway_status::done, answer);
        break;
    case call_outcome::unknown_job:
        finish(found->second, gateway_status::unknown_job, answer);
        break;
    case call_outcome::rejected:
        finish(found->second, gateway_status::rejected, answer);
        break;
    case call_outcome::unavailable:
        finish(found->second, gateway_status::not_accepted, answer);
        break;
    default:
        log(log_level::error, "answer_unreadable",
            { { "job", found->second.content.job },
              { "outcome", std::to_string(answer.outcome) } });
        finish(found->second, gateway_status::unknown, {});
        break;
    }
    remove(found);
}

void gateway::tick(instant now)
{
    for (auto entry = m_calls.begin(); entry != m_calls.end();) {
        open_call &call = entry->second;
        const bool expired =
                now >= call.deadline || (call.waiting && now - call.received >= maxWaitForOwner);
        if (!expired) {
            ++entry;
            continue;
        }
        expire(call, now);
        remove(entry++);
    }
    std::erase_if(m_openOutcomes,
                  [now](const auto &each) { return now - each.second > openOutcomesKept; });
}

void gateway::expire(const open_call &entry, instant now)
{
    log(log_level::warning, "call_without_answer",
        { { "job", entry.content.job },
          { "owner", m_connected ? "connected" : "none" },
          { "sent", entry.sent ? "yes" : "no" } });
    const auto kind = static_cast<call_kind>(entry.content.kind);
    const bool submits = kind == call_kind::submit;
    if (submits && entry.sent)
        m_openOutcomes[entry.content.job] = now;
    // Queries have no side effects, so their outcome is never unknown.
    const bool mayHaveEffect = submits ? m_openOutcomes.count(entry.content.job) > 0
                                       : kind == call_kind::cancel && entry.sent;
    finish(entry, mayHaveEffect ? gateway_status::unknown : gateway_status::not_accepted, {});
}

std::vector<message> gateway::takeMessages()
{
    return std::exchange(m_messages, {});
}

std::vector<gateway_answer> gateway::takeAnswers()
{
    return std::exchange(m_answers, {});
}

std::vector<write_log> gateway::takeLogLines()
{
    return std::exchange(m_logLines, {});
}

void gateway::log(log_level level, const char *event,
                  std::vector<std::pair<std::string, std::string>> fields)
{
    m_logLines.push_back({ level, event, std::move(fields) });
}

} // namespace plantainpitch::sched
