#include "capacity_loop.h"

#include "bench_meter.h"
#include "plantainpitch/wire/frame_limits.h"
#include "plantainpitch/wire/message_codec.h"

#include <algorithm>

namespace plantainpitch {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(50);
constexpr std::size_t ticksPerHeartbeat = 10;
constexpr std::int64_t startMs = 1'900'000'000'000;

entry_role_options entryOptions()
{
    return { .name = "entry-1", .dataCentre = "dc-1", .cell = "region-1", .incarnation = 0xe1 };
}

agent_role_options agentOptions(std::size_t index)
{
    return { .vm = "10.4." + std::to_string(index / 250) + '.' + std::to_string(index % 250),
             .dataCentre = "dc-1",
             .rack = "rack-" + std::to_string(index / 3),
             .incarnation = 0x9000000000000000ULL + index,
             .templateName = "strike-payout" };
}

} // namespace

capacity_loop::capacity_loop(std::size_t agents)
    : m_entry(std::make_unique<entry_role>(entryOptions(), 1))
{
    run(std::chrono::seconds(1));
    for (std::size_t i = 0; i < agents; ++i) {
        m_agents.push_back(
                { .role = std::make_unique<agent_role>(agentOptions(i), i), .worker = {} });
        connectAgent(i);
        // Spreads the heartbeats over their interval, as those of independent processes are.
        if ((i + 1) % std::max<std::size_t>(1, agents / ticksPerHeartbeat) == 0)
            tick();
    }
    run(std::chrono::seconds(5));
}

void capacity_loop::connectAgent(std::size_t index)
{
    const agent_role_options options = agentOptions(index);
    toEntry(connection_opened{ .connection = index + 1,
                               .peer = { .kind = process_kind::agent,
                                         .name = options.vm,
                                         .dataCentre = options.dataCentre,
                                         .incarnation = options.incarnation } });
    toAgent(index, connection_opened{ .connection = 1,
                                      .peer = { .kind = process_kind::entry,
                                                .name = "entry-1",
                                                .dataCentre = "dc-1",
                                                .incarnation = 0xe1 } });
    deliverAll();
}

void capacity_loop::run(duration length)
{
    for (const instant end = m_now + length; m_now < end;)
        tick();
}

void capacity_loop::submitJobs(std::size_t tasks, std::int64_t processorsMilli)
{
    std::vector<log_record> records;
    for (std::size_t i = 0; i < tasks; ++i)
        records.emplace_back(job_submitted{
                .job = "disbursement-4-" + std::to_string(1'000'000'000 + m_submitted++),
                .templateName = "weekly-disbursement",
                .account = "fondo-solidario-0042",
                .team = "payouts",
                .taskCount = 1,
                .taskResources = { .processorsMilli = processorsMilli,
                                   .memoryBytes = std::int64_t(1) << 30U,
                                   .accelerators = 0 },
                .submittedMs = startMs,
                .command = "split --fund 0042 --week 49" });
    m_log.appendForeign("cell.region-1", std::move(records));
}

void capacity_loop::publish(const std::string &name, std::size_t documentBytes)
{
    std::string document = R"({"version":1,"name":")" + name + R"(","kind":"batch","command":")";
    document.resize(std::max(document.size(), documentBytes - 2), 'x');
    document += R"("})";
    m_log.appendForeign("config", { config_change{ .name = name, .document = document } });
}

std::size_t capacity_loop::runningTasks() const
{
    std::size_t sum = 0;
    for (const simulated_agent &agent : m_agents)
        sum += agent.worker.taskCount();
    return sum;
}

void capacity_loop::loseVms(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        m_agents[i] = {};
        toEntry(connection_closed{ .connection = i + 1 });
    }
}

void capacity_loop::dropAgents()
{
    for (simulated_agent &agent : m_agents)
        agent.role.reset();
}

void capacity_loop::tick()
{
    m_now += tickInterval;
    const timer_tick timer{ .nowMs = startMs + m_now.time_since_epoch().count() / 1000 };
    toEntry(timer);
    for (std::size_t i = 0; i < m_agents.size(); ++i)
        toAgent(i, timer);
    deliverAll();
}

void capacity_loop::deliverAll()
{
    while (!m_framesToEntry.empty() || !m_framesToAgents.empty()) {
        for (auto &[agent, frame] : std::exchange(m_framesToEntry, {})) {
            const double begin = processorSeconds();
            message content = wire::decodeFrame(frame);
            m_counts.entrySeconds += processorSeconds() - begin;
            toEntry(message_received{ .connection = agent + 1, .content = std::move(content) });
        }
        for (auto &[agent, frame] : std::exchange(m_framesToAgents, {})) {
            const double begin = processorSeconds();
            message content = wire::decodeFrame(frame);
            m_counts.agentSeconds += processorSeconds() - begin;
            toAgent(agent, message_received{ .connection = 1, .content = std::move(content) });
        }
    }
}

void capacity_loop::toEntry(const entry_event &event)
{
    const double begin = processorSeconds();
    action_list actions;
    const auto add = [&actions](action_list more) {
        for (action &item : more)
            actions.push_back(std::move(item));
    };
    for (const std::size_t shard : m_entry->shardsOf(event))
        add(m_entry->handle(shard, m_now, event));
    for (std::size_t shard = 0; shard < m_entry->shardCount(); ++shard) {
        if (m_entry->hasInbox(shard))
            add(m_entry->handleInbox(shard, m_now));
    }
    m_counts.entrySeconds += processorSeconds() - begin;
    carryOutForEntry(actions);
}

void capacity_loop::toAgent(std::size_t index, const agent_event &event)
{
    if (!m_agents[index].role)
        return;
    agent_role &role = *m_agents[index].role;
    for (const std::size_t shard : role.shardsOf(event)) {
        const double begin = processorSeconds();
        action_list actions = role.handle(shard, m_now, event);
        m_counts.agentSeconds += processorSeconds() - begin;
        carryOutForAgent(index, actions);
    }
}

void capacity_loop::carryOutForEntry(const action_list &actions)
{
    for (const action &item : actions) {
        if (const auto *sent = std::get_if<send_message>(&item)) {
            const double begin = processorSeconds();
            m_framesToAgents.emplace_back(sent->connection - 1,
                                          encode(sent->content, m_counts.toAgents));
            m_counts.entrySeconds += processorSeconds() - begin;
        } else if (const auto *append = std::get_if<append_call>(&item)) {
            toEntry(m_log.append(*append));
        } else if (const auto *read = std::get_if<read_call>(&item)) {
            toEntry(m_log.read(*read));
        }
    }
}

void capacity_loop::carryOutForAgent(std::size_t index, const action_list &actions)
{
    for (const action &item : actions) {
        if (const auto *sent = std::get_if<send_message>(&item)) {
            const double begin = processorSeconds();
            m_framesToEntry.emplace_back(index, encode(sent->content, m_counts.toEntry));
            m_counts.agentSeconds += processorSeconds() - begin;
        } else if (const auto *call = std::get_if<worker_call>(&item)) {
            ++m_counts.workerCalls;
            toAgent(index, m_agents[index].worker.answer(m_now, *call));
        }
    }
}

std::string capacity_loop::encode(const message &content, traffic &direction)
{
    std::string frame = wire::encodeFrame(content);
    for (traffic *counted : { &direction, &m_counts.byKind.at(content.index()) }) {
        ++counted->messages;
        counted->bytes += frame.size() + wire::lengthPrefixBytes;
    }
    return frame;
}

} // namespace plantainpitch
