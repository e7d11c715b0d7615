#pragma once

#include "capacity_log.h"
#include "capacity_worker.h"
#include "plantainpitch/role/agent_role.h"
#include "plantainpitch/role/entry_role.h"

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace plantainpitch {

/// Messages and encoded bytes, with the length prefix of each frame.
struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// What a loop has counted so far.
struct loop_counts
{
    std::array<traffic, std::variant_size_v<message>> byKind; ///< by index in message
    traffic toEntry;
    traffic toAgents;
    double entrySeconds = 0; ///< processor time, with encoding and decoding
    double agentSeconds = 0; ///< of all agents
    std::uint64_t workerCalls = 0;
};

/// Agents and one entry in virtual time. Every message is encoded and decoded; links, log and
/// workers answer at once. Sockets, HTTP and JSON are left out.
class capacity_loop
{
public:
    explicit capacity_loop(std::size_t agents);

    void run(duration length);
    /// Adds a job with one task for each of \a tasks; a VM has 32,000 processorsMilli.
    void submitJobs(std::size_t tasks, std::int64_t processorsMilli = 500);
    void publish(const std::string &name, std::size_t documentBytes);
    [[nodiscard]] std::size_t runningTasks() const;

    [[nodiscard]] const loop_counts &counts() const { return m_counts; }
    [[nodiscard]] const capacity_log &log() const { return m_log; }
    /// VMs with the lowest numbers fail, and their connections break.
    void loseVms(std::size_t count);
    /// Ends the agents; what the heap shrinks by is their memory.
    void dropAgents();
    void dropEntry() { m_entry.reset(); }

private:
    struct simulated_agent
    {
        std::unique_ptr<agent_role> role;
        capacity_worker worker;
    };

    void connectAgent(std::size_t index);
    void tick();
    void deliverAll();
    void toEntry(const entry_event &event);
    void toAgent(std::size_t index, const agent_event &event);
    void carryOutForEntry(const action_list &actions);
    void carryOutForAgent(std::size_t index, const action_list &actions);
    std::string encode(const message &content, traffic &direction);

    capacity_log m_log;
    std::unique_ptr<entry_role> m_entry;
    std::vector<simulated_agent> m_agents;
    std::deque<std::pair<std::size_t, std::string>> m_framesToEntry; ///< by agent
    std::deque<std::pair<std::size_t, std::string>> m_framesToAgents;
    std::uint64_t m_submitted = 0;
    instant m_now{ std::chrono::hours(1) };
    loop_counts m_counts;
};

} // namespace plantainpitch
