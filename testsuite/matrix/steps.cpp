#include "steps.h"

namespace plantainpitch::matrix {

namespace {

template <typename Message>
bool sends(const node &, const action &item)
{
    const auto *sent = std::get_if<send_message>(&item);
    return sent && std::holds_alternative<Message>(sent->content);
}

template <typename Record>
bool submits(const node &, const action &item)
{
    const auto *sent = std::get_if<send_message>(&item);
    const auto *submission = sent ? std::get_if<record_submit>(&sent->content) : nullptr;
    return submission && std::holds_alternative<Record>(submission->record);
}

template <typename Record>
bool appends(const node &, const action &item)
{
    const auto *call = std::get_if<append_call>(&item);
    if (!call)
        return false;
    for (const log_record &record : call->batch.records) {
        if (std::holds_alternative<Record>(record))
            return true;
    }
    return false;
}

template <worker_operation Operation>
bool calls(const node &, const action &item)
{
    const auto *call = std::get_if<worker_call>(&item);
    return call && call->operation == Operation;
}

template <typename Action>
bool takes(const node &, const action &item)
{
    return std::holds_alternative<Action>(item);
}

bool releasesEvicted(const node &target, const action &item)
{
    return submits<task_released>(target, item);
}

bool settles(const node &target, const action &item)
{
    return sends<record_settled>(target, item);
}

} // namespace

const std::vector<step> &allSteps()
{
    static const std::vector<step> steps = {
        { "announce", sends<announce>, true },
        { "heartbeat", sends<heartbeat> },
        { "publish", appends<config_change> },
        { "spread_config", sends<config_update> },
        { "submit_job", appends<job_submitted> },
        { "cancel_job", appends<job_cancelled> },
        { "propose", sends<task_proposal> },
        { "claim", submits<task_claimed> },
        { "append_claim", appends<task_claimed> },
        { "settle", settles },
        { "start", calls<worker_operation::start> },
        { "request_authority", sends<authority_request> },
        { "grant_authority", sends<authority_grant> },
        { "renew", calls<worker_operation::renew> },
        { "finish", submits<task_finished> },
        { "append_finish", appends<task_finished> },
        { "forget", calls<worker_operation::forget> },
        { "release", releasesEvicted },
        { "accept_request", takes<observe_latency> },
        { "dispatch", sends<dispatch> },
        { "run_request", takes<service_call> },
        { "answer", sends<answer> },
        { "refuse", sends<refusal> },
        { "answer_caller", takes<answer_caller> },
        { "claim_key", appends<key_claimed> },
        { "finish_key", appends<key_finished> },
        { "read_log", takes<read_call> },
    };
    return steps;
}

} // namespace plantainpitch::matrix
