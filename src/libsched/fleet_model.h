#pragma once

#include "fake_fleet_worker.h"
#include "plantainpitch/sched/agent.h"
#include "plantainpitch/sched/scheduler.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::test {

/// Simulates a whole fleet in virtual time: the owner of a partition, agents, workers and the
/// store, with faults at the interfaces. Checks after each step that no start overcommits a VM,
/// that no task runs twice, and that none is started after its end was recorded. A test may change
/// the capacity in a worker's info at any time; the worker announces it.
class fleet_model
{
public:
    struct node
    {
        std::string name;
        std::unique_ptr<sched::agent> agent;
        fake_fleet_worker worker;
        bool linked = false; ///< connected to the owner
        bool partitioned = false; ///< partitioned from the owner
        std::uint64_t ownerEpoch = 0; ///< of the last owner of the agent's process
        bool formerlyOwned = false; ///< by an owner before that
        bool withCutOffOwner = false; ///< connected to cutOffOwner, not to the owner
        std::deque<sched::message> toOwner;
        std::deque<sched::message> toAgent;
        struct waiting_call
        {
            sched::worker_call call;
            std::int64_t dueMs = 0; ///< executed then
            std::int64_t answerMs = 0; ///< answered then; with a hold, earlier at an end
            bool answered = true; ///< otherwise the answer is lost
            std::int64_t sentMs = 0;
        };
        struct announced_capacity
        {
            std::int64_t sinceMs = 0;
            sched::resources amount;
        };
        struct delayed_answer
        {
            sched::worker_call call;
            sched::worker_reply reply;
            std::int64_t dueMs = 0;
        };
        std::uint64_t announcements = 0; ///< sent by the worker
        bool announcementsHeldUp = false; ///< those of the worker do not reach the agent
        bool workerSilent = false; ///< the worker does not answer; its runs go on
        bool ordersHeldUp = false; ///< messages to the agent wait on the connection
        std::vector<waiting_call> calls;
        std::vector<delayed_answer> delayedAnswers;
        std::map<std::string, std::int64_t> orderedMs; ///< sending of the start, by "task run"
        std::vector<announced_capacity> capacities; ///< the current one last
    };

    struct stored_batch
    {
        std::vector<sched::stored_record> records;
        std::int64_t doneMs = 0;
    };

    static constexpr std::int64_t stepMs = 10;
    static constexpr std::int64_t taskMs = 700;
    /// Starts may use a capacity until a smaller one has been announced for this long.
    static constexpr std::int64_t shrinkGraceMs = 4'500;

    explicit fleet_model(std::uint32_t nodes, std::uint64_t seed = 1)
        : random(seed)
    {
        config.version = 1;
        config.queues["batch"] = { .name = "batch",
                                   .service = "pool",
                                   .priority = 1,
                                   .maxAttempts = 3,
                                   .stretch = 2,
                                   .targetLatencyMs = 1'000 };
        for (std::uint32_t i = 0; i < nodes; ++i)
            addNode("node-" + std::to_string(i));
        newOwner();
    }

    [[nodiscard]] instant now() const { return instant(std::chrono::milliseconds(timeMs)); }

    /// Replaces the owner by one that knows only the stored records.
    void newOwner()
    {
        ++epoch;
        for (node &each : nodes)
            closeLink(each);
        owner.emplace(sched::scheduler_options{ .epoch = epoch, .epochBegun = now() }, placement,
                      order, disturbances);
        for (const auto &[key, value] : stored)
            owner->load({ key, value });
        owner->setConfig(config);
        owner->finishLoading(now(), wallMs());
        owner->setAgents(names());
        batch.reset();
        answers.clear();
    }

    /// Cuts the owner off from the store and, with the first \a count nodes, from the others, which
    /// get a new owner.
    void cutOff(std::size_t count);
    /// Connects the node to the owner that is cut off, and cuts it off from the other one.
    void turnToCutOffOwner(node &node);
    /// Connects all nodes to the owner again.
    void endCutOff()
    {
        cutOffOwner.reset();
        for (node &each : nodes) {
            each.partitioned = each.partitioned && !each.withCutOffOwner;
            each.withCutOffOwner = false;
        }
    }

    /// Replaces the agent's process by a new one without state.
    void restartAgent(node &node)
    {
        closeLink(node);
        node.calls.clear();
        node.delayedAnswers.clear();
        node.ownerEpoch = 0;
        node.formerlyOwned = false;
        makeAgent(node);
    }

    /// Has the workers shorten leases to this only, and their new agents know it.
    void setMaxLease(std::int64_t ms)
    {
        for (node &each : nodes) {
            each.worker.holdMaxMs = ms;
            restartAgent(each);
        }
    }

    void crashWorker(node &node)
    {
        node.worker.up = false;
        node.worker.running.clear();
    }

    sched::client_call submission(const std::string &id, std::uint32_t tasks,
                                  std::uint32_t cpu = 1'000, std::uint32_t steps = 1)
    {
        sched::client_call call;
        call.kind = static_cast<std::uint8_t>(sched::call_kind::submit);
        call.job = id;
        call.queue = "batch";
        call.submitted = std::make_unique<sched::submission>();
        call.submitted->id = id;
        call.submitted->queue = "batch";
        call.submitted->spec = std::make_unique<sched::job_spec>();
        for (std::uint32_t i = 0; i < steps; ++i) {
            auto step = std::make_unique<sched::step_spec>();
            step->count = tasks;
            step->cpu = cpu;
            step->estimateMs = taskMs;
            if (i > 0)
                step->dependsOn = { i - 1 };
            call.submitted->spec->steps.push_back(std::move(step));
        }
        return call;
    }

    void send(const sched::client_call &call) { owner->onCall("gateway", call, now(), wallMs()); }

    [[nodiscard]] std::optional<sched::job_state> shown(const std::string &id) const
    {
        const sched::job *found = owner->findJob(id);
        if (!found || !found->stored)
            return std::nullopt;
        return found->committedState;
    }

    void run(std::int64_t ms)
    {
        for (const std::int64_t end = timeMs + ms; timeMs < end;)
            step();
    }

    /// Runs until clients see the job in that state; returns false if they do not within \a ms.
    bool runUntil(const std::string &id, sched::job_state state, std::int64_t ms)
    {
        for (const std::int64_t end = timeMs + ms; timeMs < end;) {
            step();
            if (shown(id) == state)
                return true;
        }
        return false;
    }

    void step();

    std::int64_t timeMs = 1'000'000;
    std::mt19937_64 random;
    sched::fleet_config config;
    sched::disturbance_model disturbances;
    sched::isolating_placement placement{ disturbances };
    sched::worth_order order;
    std::optional<sched::scheduler> owner;
    std::uint64_t epoch = 0;
    std::optional<sched::scheduler> cutOffOwner; ///< an earlier owner that the store does not reach
    std::uint64_t cutOffEpoch = 0;
    std::deque<node> nodes;
    bool storeUp = true;
    std::set<std::string> eligibleWorkers; ///< for which the advice service issues tickets
    std::vector<sched::advice_request> advised; ///< requests that the service has received
    std::uint32_t ticketValidityMs = 2'000;
    std::map<std::string, std::string> stored;
    std::int64_t longRunningMs = taskMs; ///< how long a task of a long-running step runs
    double lostAnswers = 0; ///< share of the calls to workers that are carried out 2 to 12 s late
    bool lateCallsOutliveCrashes = false; ///< the next incarnation carries them out
    double delayedAnswers = 0; ///< share of the listings that reach the agent up to 0.9 s late
    std::vector<std::string> violations;
    std::vector<write_log> logLines; ///< of all owners
    std::vector<write_log> agentLogLines; ///< of all agents
    std::map<std::uint64_t, sched::client_answer> answers;
    std::optional<stored_batch> batch; ///< on its way to the store
    std::set<std::string> starts; ///< "task run" of all runs that were seen

private:
    void addNode(const std::string &name)
    {
        node &added = nodes.emplace_back();
        added.name = name;
        makeAgent(added);
        added.worker.info.id = "worker-" + name;
        added.worker.info.startMs = 1;
        added.worker.info.service = "pool";
        added.worker.info.cpu = 4'000;
        added.worker.info.memoryMb = 16'000;
        added.worker.info.labels = { "a", "rack-1" };
        added.worker.info.ready = true;
    }

    static void makeAgent(node &node)
    {
        node.agent = std::make_unique<sched::agent>(sched::agent_options{
                .node = node.name, .maxLease = std::chrono::milliseconds(node.worker.holdMaxMs) });
    }

    [[nodiscard]] std::int64_t wallMs() const { return 1'700'000'000'000 + timeMs; }

    std::set<std::string> names()
    {
        std::set<std::string> result;
        for (const node &each : nodes)
            result.insert(each.name);
        return result;
    }

    void closeLink(node &node)
    {
        if (node.linked && owner)
            owner->agentClosed(node.name, now());
        if (node.linked)
            node.agent->ownerClosed(now());
        node.linked = false;
        node.toOwner.clear();
        node.toAgent.clear();
    }

    void openLink(node &node)
    {
        sched::owner_hello hello;
        hello.epoch = epoch;
        hello.node = "owner";
        hello.termMs = 5'500;
        if (!node.agent->ownerOpened(hello, now()))
            return;
        node.linked = true;
        node.formerlyOwned =
                node.formerlyOwned || (node.ownerEpoch != 0 && node.ownerEpoch != epoch);
        node.ownerEpoch = epoch;
        owner->agentOpened(node.name, now());
    }

    [[nodiscard]] sched::member_contact contact() const;
    void holdIncompleteGangs();
    void stepNode(node &node);
    void announce(node &node);
    [[nodiscard]] sched::resources admissibleCapacity(const node &node,
                                                      const std::string &start) const;
    void checkCapacity(node &node, const std::vector<std::string> &started,
                       const sched::resources &used);
    void stepCalls(node &node);
    void deliverDelayedAnswers(node &node);
    void answer(node &node, const sched::worker_call &call, const sched::worker_reply &reply);
    [[nodiscard]] std::int64_t durationOf(const std::string &task) const;
    sched::advice adviseOn(const sched::advice_request &request);
    void stepOwner();
    void stepCutOffOwner();
    void sendToAgents(sched::scheduler &from, bool cutOff);
    void check();
    bool recordStart(const std::string &task, std::uint32_t run, const sched::job *known);
};

/// Fails the test if the model has recorded a violation.
inline void requireNoViolations(const fleet_model &model)
{
    for (const std::string &violation : model.violations)
        BOOST_ERROR(violation);
}

} // namespace plantainpitch::test
