#include "fleet_model.h"

#include "plantainpitch/sched/task_name.h"

namespace plantainpitch::test {

namespace {

constexpr std::int64_t storeMs = 20;
constexpr std::int64_t announceMs = 500;

} // namespace

void fleet_model::step()
{
    timeMs += stepMs;
    for (node &each : nodes)
        each.worker.advance(stepMs);
    check();
    stepOwner();
    for (node &each : nodes) {
        if (each.partitioned && each.linked)
            closeLink(each);
        else if (!each.partitioned && !each.linked)
            openLink(each);
        stepNode(each);
    }
}

void fleet_model::stepOwner()
{
    if (batch && storeUp && timeMs >= batch->doneMs) {
        for (const sched::stored_record &record : batch->records) {
            if (record.value.empty())
                stored.erase(record.key);
            else
                stored[record.key] = record.value;
        }
        batch.reset();
        owner->commitDone();
    }
    if (batch && !storeUp && timeMs >= batch->doneMs)
        owner->storeFailed(instant(std::chrono::milliseconds(batch->doneMs)));
    owner->confirmOwnership(storeUp ? now() : instant{});
    owner->tick(now(), wallMs());
    if (auto records = owner->nextCommit(now(), wallMs()))
        batch = { std::move(*records), timeMs + storeMs };
    for (sched::outgoing_message &each : owner->takeMessages()) {
        if (const auto *answer = each.content.content.Asclient_answer())
            answers[answer->number] = *answer;
        for (node &node : nodes) {
            if (node.name == each.node && node.linked)
                node.toAgent.push_back(std::move(each.content));
        }
    }
    for (write_log &line : owner->takeLogLines())
        logLines.push_back(std::move(line));
}

void fleet_model::stepNode(node &node)
{
    std::deque<sched::message> fromOwner;
    fromOwner.swap(node.toAgent);
    for (const sched::message &content : fromOwner) {
        if (const auto *orders = content.content.Asagent_orders())
            node.agent->onOrders(*orders, now());
    }
    if (node.worker.up && timeMs % announceMs == 0)
        node.agent->workerAnnounced(node.worker.info, node.worker.clockMs, now());
    stepCalls(node);
    node.agent->tick(now());
    for (const sched::worker_call &call : node.agent->takeCalls()) {
        node::waiting_call waiting{ call, timeMs, timeMs + call.waitMs, true };
        const bool order = call.kind == sched::worker_call_kind::start
                           || call.kind == sched::worker_call_kind::stop;
        if (order && std::uniform_real_distribution<>(0, 1)(random) < lostAnswers) {
            waiting.dueMs += std::uniform_int_distribution<std::int64_t>(2'000, 12'000)(random);
            waiting.answerMs = timeMs + 1'000;
            waiting.answered = false;
        }
        node.calls.push_back(waiting);
    }
    for (const sched::advice_request &request : node.agent->takeAdviceRequests())
        node.agent->onAdvice(adviseOn(request));
    for (sched::agent_report &report : node.agent->takeReports()) {
        if (node.linked)
            node.toOwner.push_back(sched::makeMessage(std::move(report)));
    }
    std::deque<sched::message> toOwner;
    toOwner.swap(node.toOwner);
    for (const sched::message &content : toOwner)
        owner->onReport(node.name, *content.content.Asagent_report(), now());
    for (write_log &line : node.agent->takeLogLines())
        agentLogLines.push_back(std::move(line));
}

sched::advice fleet_model::adviseOn(const sched::advice_request &request)
{
    advised.push_back(request);
    sched::advice result;
    result.step = request.step;
    result.answered = true;
    result.asked = request.workers;
    result.validityMs = ticketValidityMs;
    for (const node &each : nodes) {
        const std::string &id = each.worker.info.id;
        const auto &asked = request.workers;
        if (eligibleWorkers.count(id) == 0
            || std::find(asked.begin(), asked.end(), id) == asked.end())
            continue;
        auto given = std::make_unique<sched::worker_ticket>();
        given->worker = id;
        given->text = each.worker.ticketOf(request.step);
        result.good.push_back(std::move(given));
    }
    return result;
}

std::int64_t fleet_model::durationOf(const std::string &task) const
{
    const auto name = sched::task_name::parse(task);
    const sched::job *known = name ? owner->findJob(name->job) : nullptr;
    return known && known->stepSpec(name->step).longRunning ? longRunningMs : taskMs;
}

void fleet_model::stepCalls(node &node)
{
    std::vector<node::waiting_call> calls;
    calls.swap(node.calls);
    for (node::waiting_call &each : calls) {
        if (!node.worker.up) {
            sched::worker_reply down;
            down.kind = sched::worker_reply_kind::not_running;
            if (each.answered)
                node.agent->onReply(each.call, down, now());
            continue;
        }
        if (!each.answered && each.answerMs > 0 && timeMs >= each.answerMs) {
            node.agent->onReply(each.call, {}, now()); // given up; it may still be carried out
            each.answerMs = 0;
        }
        const bool early = each.call.kind == sched::worker_call_kind::hold
                           && !node.worker.ended.empty()
                           && node.worker.ended.back().number > each.call.endsNoted;
        const std::int64_t due = each.answered && !early ? each.answerMs : each.dueMs;
        if (timeMs < due) {
            node.calls.push_back(each);
            continue;
        }
        const auto reply = node.worker.handle(each.call, durationOf(each.call.task));
        if (each.answered)
            node.agent->onReply(each.call, reply, now());
    }
}

void fleet_model::recordStart(const std::string &task, std::uint32_t run, const sched::job *known)
{
    if (!starts.insert(task + ' ' + std::to_string(run)).second)
        return;
    if (!known) {
        violations.push_back(task + " was started without a job");
        return;
    }
    const auto name = sched::task_name::parse(task);
    const auto &item = known->occurrences[name->occurrence].steps[name->step].tasks[name->index];
    if (item.phase == sched::task_phase::done)
        violations.push_back(task + " was started after its end was noted");
}

void fleet_model::check()
{
    std::map<std::string, int> copies;
    for (node &node : nodes) {
        sched::resources used;
        for (const auto &[task, state] : node.worker.running) {
            ++copies[task];
            const auto name = sched::task_name::parse(task);
            const sched::job *known = owner->findJob(name->job);
            recordStart(task, state.run, known);
            if (known)
                used = used + sched::reservation(known->stepSpec(name->step));
        }
        const sched::resources capacity{ .cpu = node.worker.info.cpu,
                                         .memoryMb = node.worker.info.memoryMb };
        if (!used.fits(capacity))
            violations.push_back(node.name + " was given more than it has");
    }
    for (const auto &[task, count] : copies) {
        if (count > 1)
            violations.push_back(task + " runs in " + std::to_string(count) + " places");
    }
}

} // namespace plantainpitch::test
