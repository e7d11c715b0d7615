#include "task_holder_fakes_test.h"

#include "plantainpitch/role/task_holder.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <functional>
#include <random>

using namespace plantainpitch;
using namespace plantainpitch::fakes;

namespace {

constexpr std::int64_t second = 1'000'000;
constexpr std::int64_t term = 4 * second;

/// Simulates three VMs, a log and one mover. Times are in simulated microseconds; the clocks of the
/// agents and workers differ from it by up to 1 %.
class simulation
{
public:
    explicit simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i) {
            vm &machine = m_vms[i];
            machine.name = "vm" + std::to_string(i);
            machine.rate = 0.99 + 0.01 * i;
            machine.workerRate = 1.01 - 0.01 * i;
            machine.worker.lengthMs = 12'000;
            restartAgent(machine);
        }
        m_log.termMs = seed % 2 == 0 ? term / 1000 : 0;
        for (std::uint32_t i = 0; i < 6; ++i)
            m_log.add({ .job = "job", .index = i });
    }

    void run(std::int64_t until, bool faults)
    {
        m_faults = faults;
        while (m_now < until) {
            m_now += 20'000;
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                auto handler = m_events.extract(m_events.begin());
                handler.mapped()();
                observe();
            }
            for (vm &machine : m_vms)
                advance(machine);
            if (chance(0.3))
                proposeRandomTask();
            if (m_faults)
                injectFault();
            observe();
        }
    }

    [[nodiscard]] int finished() const
    {
        int sum = 0;
        for (const auto &[id, entry] : m_log.tasks)
            sum += entry.phase == "finished" ? 1 : 0;
        return sum;
    }
    [[nodiscard]] const std::string &violation() const { return m_violation; }
    [[nodiscard]] std::string describe() const
    {
        std::string text;
        for (const auto &[id, entry] : m_log.tasks)
            text += id.toString() + "=" + entry.phase + "@" + entry.vm + " ";
        return text;
    }
    std::uint64_t starts = 0;
    std::uint64_t revocations = 0;

private:
    struct vm
    {
        std::string name;
        double rate = 1;
        double workerRate = 1;
        fake_worker worker;
        std::uint64_t process = 0; ///< counts agent restarts
        std::unique_ptr<task_holder> holder;
        connection_id gateway = 0;
        std::int64_t pausedUntil = 0;
        std::int64_t pausedTotal = 0;
        std::int64_t reconnectAt = 0;
        std::vector<std::function<void()>> backlog; ///< events that arrived during the pause
        std::size_t seenStarts = 0;
    };

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(m_random) < p; }
    std::int64_t between(std::int64_t a, std::int64_t b)
    {
        return std::uniform_int_distribution<std::int64_t>(a, b)(m_random);
    }
    [[nodiscard]] instant agentNow(const vm &machine) const
    {
        return instant(
                duration(static_cast<std::int64_t>(static_cast<double>(m_now) * machine.rate)));
    }
    void at(std::int64_t when, std::function<void()> handler)
    {
        m_events.emplace(when, std::move(handler));
    }
    /// Message delay: mostly short, sometimes longer than any lease.
    std::int64_t delay()
    {
        return m_faults && chance(0.02) ? between(0, 3 * term) : between(1000, 60'000);
    }
    bool lost() { return m_faults && chance(0.04); }

    void restartAgent(vm &machine)
    {
        ++machine.process;
        machine.holder =
                std::make_unique<task_holder>(task_holder_options{ .vm = machine.name,
                                                                   .agent = machine.process,
                                                                   .longestTerm = duration(term) },
                                              machine.process);
        machine.backlog.clear();
        machine.pausedUntil = 0;
        connect(machine);
    }

    void connect(vm &machine)
    {
        machine.reconnectAt = 0;
        machine.holder->onGateway(agentNow(machine), ++machine.gateway);
    }

    /// Runs the handler on the agent, after the end of a pause; dropped if the agent restarts
    /// first.
    void toAgent(vm &machine, const std::function<void(task_holder &)> &handler)
    {
        const std::uint64_t process = machine.process;
        auto run = [&machine, handler, process] {
            if (machine.process == process)
                handler(*machine.holder);
        };
        if (m_now < machine.pausedUntil)
            machine.backlog.emplace_back(run);
        else
            run();
    }

    void advance(vm &machine)
    {
        machine.worker.advance(static_cast<std::int64_t>(20'000 * machine.workerRate));
        for (; machine.seenStarts < machine.worker.starts.size(); ++machine.seenStarts)
            checkStart(machine.worker.starts[machine.seenStarts]);
        if (m_now < machine.pausedUntil)
            return;
        for (auto &handler : std::exchange(machine.backlog, {}))
            handler();
        if (machine.reconnectAt != 0 && m_now >= machine.reconnectAt)
            connect(machine);
        machine.holder->tick(agentNow(machine));
        for (const action &output : machine.holder->takeActions())
            perform(machine, output);
    }

    void perform(vm &machine, const action &output)
    {
        if (const auto *call = std::get_if<worker_call>(&output)) {
            callWorker(machine, *call);
        } else if (const auto *sent = std::get_if<send_message>(&output)) {
            if (lost()) // a lost message also breaks the connection
                machine.reconnectAt = m_now + between(0, 2 * second);
            else if (const auto *submit = std::get_if<record_submit>(&sent->content))
                submitRecord(machine, *submit);
            else if (const auto *request = std::get_if<authority_request>(&sent->content))
                askAuthority(machine, *request);
        }
    }

    void callWorker(vm &machine, const worker_call &call)
    {
        if (lost())
            return;
        const std::string boot = machine.worker.boot;
        const std::uint64_t process = machine.process;
        const std::int64_t sentAt = m_now;
        const std::int64_t pausedBefore = machine.pausedTotal;
        at(m_now + delay(), [=, this, &machine] {
            // A call reaches a later boot only if its process has not closed the connection.
            const std::int64_t running = m_now - sentAt - (machine.pausedTotal - pausedBefore);
            if (machine.worker.boot != boot && (machine.process != process || running > 2 * second))
                return;
            const worker_answer answer = machine.worker.execute(call);
            if (lost())
                return;
            at(m_now + delay(), [=, this, &machine] {
                if (machine.process != process)
                    return;
                toAgent(machine, [=, this, &machine](task_holder &holder) {
                    holder.onWorkerAnswer(agentNow(machine), answer);
                });
            });
        });
    }

    void submitRecord(vm &machine, const record_submit &submit)
    {
        const std::uint64_t process = machine.process;
        at(m_now + delay(), [=, this, &machine] {
            record_settled settled;
            if (m_faults && chance(0.03))
                settled = { .ticket = submit.ticket, .reason = "log_unavailable" };
            else
                settled = m_log.append(submit.ticket, submit.record);
            answerAgent(machine, process, [=, this, &machine](task_holder &holder) {
                holder.onRecordSettled(agentNow(machine), settled);
            });
        });
    }

    void askAuthority(vm &machine, const authority_request &request)
    {
        const std::uint64_t process = machine.process;
        at(m_now + delay(), [=, this, &machine] {
            const authority_grant grant = m_log.grant(request);
            answerAgent(machine, process, [=, this, &machine](task_holder &holder) {
                holder.onAuthorityGrant(agentNow(machine), grant);
            });
        });
    }

    void answerAgent(vm &machine, std::uint64_t process,
                     const std::function<void(task_holder &)> &handler)
    {
        if (lost()) {
            machine.reconnectAt = m_now + between(0, 2 * second);
            return;
        }
        at(m_now + delay(), [=, this, &machine] {
            if (machine.process == process)
                toAgent(machine, handler);
        });
    }

    /// Proposes a random task to a random VM if it is pending, or if it was revoked and the
    /// revocation wait has passed.
    void proposeRandomTask()
    {
        const task_id task{ .job = "job", .index = static_cast<std::uint32_t>(between(0, 5)) };
        const auto &entry = m_log.tasks[task];
        const std::int64_t age = m_now - m_revokedAt[task];
        const bool revoking = entry.phase == "revoking";
        if (entry.phase != "pending" && !(revoking && age >= term * 102 / 100 + second / 2))
            return;
        const task_proposal proposal{ .task = task,
                                      .job = { .job = "job",
                                               .templateName = "batch",
                                               .taskResources = { .processorsMilli = 1500,
                                                                  .memoryBytes = 1000 },
                                               .authorityTermMs = term / 1000 },
                                      .base = entry.lastChange,
                                      .checkpoint = entry.checkpoint,
                                      .afterRevocation = revoking,
                                      .revocationAgeUs = revoking ? age : 0 };
        vm &machine = m_vms[between(0, 2)];
        const std::uint64_t process = machine.process;
        at(m_now + delay(), [=, this, &machine] {
            if (machine.process != process)
                return;
            toAgent(machine, [=, this, &machine](task_holder &holder) {
                holder.onProposal(agentNow(machine), 9, proposal);
            });
        });
    }

    void injectFault()
    {
        vm &machine = m_vms[between(0, 2)];
        if (chance(0.002)) {
            const std::int64_t length = between(0, 3 * term);
            machine.pausedTotal += std::max<std::int64_t>(0, m_now + length - machine.pausedUntil);
            machine.pausedUntil = std::max(machine.pausedUntil, m_now + length);
        }
        if (chance(0.001))
            machine.worker.reboot("boot-" + std::to_string(between(2, 1'000'000'000)));
        if (chance(0.001))
            restartAgent(machine);
        if (chance(0.004))
            machine.reconnectAt = m_now + 1;
        if (chance(0.01))
            machine.holder->evict(agentNow(machine), { .job = "job", .index = 1 });
        if (chance(0.006))
            revoke({ .job = "job", .index = static_cast<std::uint32_t>(between(0, 5)) });
    }

    void revoke(const task_id &task)
    {
        const task_revoked record{ .task = task, .attempt = m_log.tasks[task].attempt };
        if (m_log.append(0, record).accepted) {
            ++revocations;
            // The mover reads the revocation after it was appended.
            m_revokedAt[task] = m_now + between(0, second);
        }
    }

    /// Invariant 3: the first start of an attempt resumes from the checkpoint of its claim, and no
    /// attempt starts after it has ended.
    void checkStart(const worker_call &call)
    {
        ++starts;
        const auto &entry = m_log.tasks[call.task];
        if (entry.endedAttempt >= call.attempt)
            fail("started after its end: " + call.task.toString());
        if (m_started.insert(call.attempt.value).second && entry.attempt == call.attempt
            && call.checkpoint != entry.claimCheckpoint)
            fail("started from " + call.checkpoint + " instead of " + entry.claimCheckpoint);
    }

    void observe()
    {
        std::map<task_id, int> running;
        for (const vm &machine : m_vms) {
            resources used;
            for (const auto &[id, run] : machine.worker.runs) {
                if (run.entry.state != worker_task_state::running)
                    continue;
                used = used + run.entry.reserved;
                if (++running[id] > 1)
                    fail("invariant 2: runs twice: " + id.toString());
                if (m_log.tasks[id].phase == "finished")
                    fail("invariant 3: runs after its end: " + id.toString());
            }
            if (!used.fitsIn(machine.worker.capacity))
                fail("invariant 1: over capacity on " + machine.name);
        }
        for (const auto &[id, entry] : m_log.tasks) {
            if (entry.finishes > 1)
                fail("invariant 3: finished twice: " + id.toString());
        }
    }

    void fail(const std::string &what)
    {
        if (m_violation.empty())
            m_violation = what + " at " + std::to_string(m_now) + " us; " + describe();
    }

    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    bool m_faults = false;
    std::multimap<std::int64_t, std::function<void()>> m_events;
    std::array<vm, 3> m_vms;
    fake_log m_log;
    std::map<task_id, std::int64_t> m_revokedAt;
    std::set<std::uint64_t> m_started;
    std::string m_violation;
};

std::uint64_t fromEnvironment(const char *name, std::uint64_t fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : std::stoull(value);
}

} // namespace

// Guards against combinations of lost and late answers, pauses longer than any lease, reboots,
// agent restarts, gateway changes and revocations that run a task twice, exceed the capacity, use
// the wrong checkpoint or leave a task unfinished. PLANTAIN_SEED and PLANTAIN_RUNS select runs.
BOOST_AUTO_TEST_CASE(holdersKeepTheInvariantsUnderFaults)
{
    const std::uint64_t first = fromEnvironment("PLANTAIN_SEED", 1);
    const std::uint64_t runs = fromEnvironment("PLANTAIN_RUNS", 40);
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        simulation simulated(seed);
        simulated.run(60 * second, true);
        simulated.run(120 * second, false);
        BOOST_TEST(simulated.violation().empty(), "seed " << seed << ": " << simulated.violation());
        BOOST_TEST(simulated.finished() == 6,
                   "seed " << seed << " left tasks behind: " << simulated.describe());
        BOOST_TEST(simulated.starts >= 6, "seed " << seed << " started too little");
    }
}
