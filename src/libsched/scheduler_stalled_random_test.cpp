#include "fleet_model.h"

#include "plantainpitch/sched/task_name.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>

using namespace plantainpitch;
using test::fleet_model;

namespace {

/// A job has stood still for too long if nothing of it has run for this long although a task's turn
/// has come, there is capacity for it twice over, and most of the service is free. Stated by the
/// users' platform.
constexpr std::int64_t maxStandstillMs = 3'000;
/// The bound holds if there was no fault for this long.
constexpr std::int64_t calmMs = 7'000;
constexpr std::int64_t stepMs = 50;
constexpr std::uint32_t nodes = 6;

/// A fleet with batch work of many kinds and faults that are drawn from a seed.
class faulty_fleet
{
public:
    explicit faulty_fleet(std::uint64_t seed)
        : m_model(nodes, seed)
    {
        m_model.longRunningMs = 3'600'000;
        auto &queues = m_model.config.queues;
        queues["batch"].maxAttempts = 5;
        queues["ticketed"] = queues["batch"];
        queues["ticketed"].name = "ticketed";
        queues["ticketed"].needsTickets = true;
        m_model.newOwner();
        for (auto &each : m_model.nodes) {
            each.worker.info.cpu = fullCpu;
            each.worker.usage = 15; // ms, of a target of 50
            if (each.name != "node-0")
                m_model.eligibleWorkers.insert(each.worker.info.id);
        }
        m_model.nodes[1].worker.info.labels.emplace_back("x");
        m_model.nodes[2].worker.info.labels.emplace_back("x");
        run(1'000);
        submitServices();
        run(1'000);
    }

    /// Plays a day: faults under load, then chains of short tasks whose steps become startable
    /// while no fault is left.
    void play()
    {
        m_submits = true;
        const std::uint64_t faults = 2 + m_model.random() % 5;
        for (std::uint64_t i = 0; i < faults; ++i) {
            beginFault();
            run(static_cast<std::int64_t>(100 + m_model.random() % 4'000));
        }
        if (m_model.random() % 2 == 0)
            run(static_cast<std::int64_t>(m_model.random() % 15'000));
        submitChains();
        if (m_model.random() % 2 == 0)
            m_submits = false;
        run(static_cast<std::int64_t>(m_model.random() % 3'000));
        heal();
        run(static_cast<std::int64_t>(m_model.random() % 3'000));
        m_submits = false;
        submitChains();
        run(20'000);
    }

    fleet_model &model() { return m_model; }
    [[nodiscard]] const std::set<std::string> &standing() const { return m_standing; }

private:
    static constexpr std::uint32_t fullCpu = 8'000;

    std::uint64_t draw(std::uint64_t bound) { return m_model.random() % bound; }

    void submitServices()
    {
        for (const std::uint32_t cpu : { 500U, 1'000U }) {
            auto call = m_model.submission("service-" + std::to_string(cpu), 3, cpu);
            auto &step = *call.submitted->spec->steps[0];
            step.longRunning = true;
            step.memoryMb = 500;
            step.maxPerVm = 1;
            step.targetMs = 50;
            step.estimateMs = 0;
            step.image = "service";
            m_model.send(call);
        }
    }

    /// Submits a job of a kind that is drawn; returns false if it is refused.
    bool submit(std::uint32_t steps)
    {
        const std::string id = "job-" + std::to_string(++m_jobs);
        const auto cpu = static_cast<std::uint32_t>(500 + 250 * draw(8));
        auto call = m_model.submission(id, 1 + static_cast<std::uint32_t>(draw(3)), cpu, steps);
        const std::uint64_t kind = draw(10);
        if (kind == 0) {
            call.queue = "ticketed";
            call.submitted->queue = "ticketed";
        }
        for (auto &step : call.submitted->spec->steps) {
            step->memoryMb = 300;
            step->fills = kind == 1 || kind == 2;
            step->checkpointing = step->fills;
            step->image = step->fills ? "fill" : "";
            step->gang = kind == 3;
            step->count = step->gang ? 3 : step->count;
            step->sameRack = step->gang && m_jobs % 2 == 0;
            step->maxPerVm = kind == 4 ? 1 : 0;
            step->requiredLabel = kind == 5 ? "x" : "";
        }
        m_model.send(call);
        if (m_crashing && draw(4) == 0) {
            for (auto &each : m_model.nodes)
                each.worker.crashingTasks.insert(id + ".0.0.0");
        }
        return m_model.owner->findJob(id) != nullptr;
    }

    void submitChains()
    {
        for (std::uint64_t i = 0; i < 12; ++i)
            submit(static_cast<std::uint32_t>(1 + draw(20)));
    }

    void run(std::int64_t ms)
    {
        for (std::int64_t passed = 0; passed < ms; passed += stepMs) {
            while (m_submits && m_model.owner->openJobs() < 60) {
                if (!submit(static_cast<std::uint32_t>(1 + draw(2))))
                    break; // refused
            }
            m_model.run(stepMs);
            restartLostWorkers();
            if (faultLasts())
                m_lastFaultMs = m_model.timeMs;
            check();
        }
    }

    /// VMs that were lost come back after a while, as new ones.
    void restartLostWorkers()
    {
        for (auto &each : m_model.nodes) {
            if (!each.worker.up && each.worker.restartInMs <= 0 && m_lost.count(each.name) == 0)
                each.worker.restartInMs = static_cast<std::int64_t>(100 + draw(2'000));
        }
    }

    [[nodiscard]] bool faultLasts() const
    {
        return !m_model.storeUp || m_model.lostAnswers > 0
               || std::any_of(m_model.nodes.begin(), m_model.nodes.end(), [this](const auto &each) {
                      const auto &worker = each.worker;
                      return (!worker.up && m_lost.count(each.name) == 0) || each.partitioned
                             || worker.failsAll || worker.makesNoProgress || worker.refusesStarts;
                  });
    }

    void beginFault()
    {
        m_lastFaultMs = m_model.timeMs;
        auto &victim = m_model.nodes[draw(m_model.nodes.size())];
        switch (draw(13)) {
        case 0:
            m_model.newOwner();
            break;
        case 1:
            m_model.restartAgent(victim);
            break;
        case 2:
            m_model.crashWorker(victim);
            break;
        case 3: // a VM that never comes back
            if (m_lost.size() < 2) {
                m_model.crashWorker(victim);
                m_lost.insert(victim.name);
            }
            break;
        case 4:
            victim.partitioned = true;
            break;
        case 5:
            m_model.storeUp = false;
            break;
        case 6:
            m_model.lostAnswers = 0.3;
            break;
        case 7:
        case 8:
            for (auto &each : m_model.nodes)
                each.worker.failsAll = draw(8) > 0;
            break;
        case 9:
            for (auto &each : m_model.nodes)
                each.worker.makesNoProgress = draw(4) > 0;
            break;
        case 10:
            m_crashing = true;
            break;
        case 11:
            for (auto &each : m_model.nodes)
                each.worker.refusesStarts = draw(2) == 0;
            break;
        default:
            changeCapacities();
            break;
        }
    }

    void changeCapacities()
    {
        for (auto &each : m_model.nodes)
            each.worker.info.cpu = fullCpu / (draw(2) == 0 ? 2 : 1);
    }

    void heal()
    {
        m_lastFaultMs = m_model.timeMs;
        m_model.storeUp = true;
        m_model.lostAnswers = 0;
        m_crashing = false;
        for (auto &each : m_model.nodes) {
            each.partitioned = false;
            each.worker.failsAll = false;
            each.worker.makesNoProgress = false;
            each.worker.refusesStarts = false;
        }
    }

    void check()
    {
        std::set<std::string> running;
        for (const auto &each : m_model.nodes) {
            for (const auto &[task, state] : each.worker.running)
                running.insert(task.substr(0, task.find('.')));
        }
        const bool mostlyFree = isMostlyFree();
        for (int i = 1; i <= m_jobs; ++i) {
            const std::string id = "job-" + std::to_string(i);
            const sched::job *job = m_model.owner->findJob(id);
            auto &since = m_standingSince.try_emplace(id, m_model.timeMs).first->second;
            if (!job || !job->stored || job->ended() || running.count(id) > 0 || !mostlyFree
                || !couldStart(*job))
                since = m_model.timeMs;
            else if (m_model.timeMs - since >= maxStandstillMs
                     && m_model.timeMs - m_lastFaultMs >= calmMs)
                m_standing.insert(id);
        }
    }

    [[nodiscard]] const sched::step_spec *specOf(const std::string &task) const
    {
        const auto name = sched::task_name::parse(task);
        const sched::job *job = name ? m_model.owner->findJob(name->job) : nullptr;
        return job ? &job->stepSpec(name->step) : nullptr;
    }

    /// What runs on the node. The processors of filling tasks count against no capacity.
    [[nodiscard]] sched::resources usedOn(const fleet_model::node &node) const
    {
        sched::resources used;
        for (const auto &[task, state] : node.worker.running) {
            const sched::step_spec *spec = specOf(task);
            if (!spec)
                continue;
            used = used + sched::reservation(*spec);
        }
        return used;
    }

    [[nodiscard]] bool isMostlyFree() const
    {
        sched::resources used;
        sched::resources capacity;
        for (const auto &each : m_model.nodes) {
            if (!each.worker.up)
                continue;
            used = used + usedOn(each);
            capacity = capacity + sched::capacityOf(each.worker.info);
        }
        return 2 * used.cpu < capacity.cpu && 2 * used.memoryMb < capacity.memoryMb;
    }

    /// Whether a step's turn has come and there is capacity twice over for a task of it, or for the
    /// whole step if it is a gang.
    [[nodiscard]] bool couldStart(const sched::job &job) const
    {
        for (const sched::occurrence &occurrence : job.occurrences) {
            for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto &state = occurrence.steps[step];
                if (state.done < state.tasks.size() && job.dependenciesDone(occurrence, step)
                    && hasRoomTwice(job.stepSpec(step), job.request.queue == "ticketed"))
                    return true;
            }
        }
        return false;
    }

    [[nodiscard]] bool hasRoomTwice(const sched::step_spec &step, bool needsTickets) const
    {
        std::int64_t slots = 0;
        std::int64_t most = 0;
        for (const auto &each : m_model.nodes) {
            const auto &info = each.worker.info;
            const auto &labels = info.labels;
            if (!each.worker.up || (needsTickets && m_model.eligibleWorkers.count(info.id) == 0)
                || (!step.requiredLabel.empty()
                    && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end()))
                continue;
            const sched::resources used = usedOn(each);
            const std::int64_t byMemory = (info.memoryMb - used.memoryMb) / step.memoryMb;
            const std::int64_t here =
                    step.fills ? byMemory : std::min((info.cpu - used.cpu) / step.cpu, byMemory);
            slots += std::max<std::int64_t>(here, 0);
            most = std::max(most, here);
        }
        return step.gang ? slots >= 2 * static_cast<std::int64_t>(step.count) : most >= 2;
    }

    fleet_model m_model;
    int m_jobs = 0;
    bool m_submits = false;
    bool m_crashing = false; ///< some of the jobs submitted crash their workers
    std::int64_t m_lastFaultMs = 0;
    std::set<std::string> m_lost; ///< nodes that never come back
    std::map<std::string, std::int64_t> m_standingSince;
    std::set<std::string> m_standing;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_stalled_random)

// Guards against jobs that stand still in a mostly free fleet after faults that are over (LOST at
// the end of a day).
BOOST_AUTO_TEST_CASE(noJobStandsStillInAMostlyFreeFleetAfterRandomFaults)
{
    constexpr std::uint64_t seeds = 24;
    const char *const first = std::getenv("STALLED_FIRST_SEED");
    const char *const count = std::getenv("STALLED_SEEDS");
    const std::uint64_t begin = first ? std::strtoull(first, nullptr, 10) : 1;
    const std::uint64_t end = begin + (count ? std::strtoull(count, nullptr, 10) : seeds);
    for (std::uint64_t seed = begin; seed < end; ++seed) {
        faulty_fleet fleet(seed);
        fleet.play();
        for (const std::string &job : fleet.standing())
            BOOST_ERROR("seed " << seed << ": " << job << " stood still, with room for it");
        for (const std::string &violation : fleet.model().violations)
            BOOST_ERROR("seed " << seed << ": " << violation);
    }
}

BOOST_AUTO_TEST_SUITE_END()
