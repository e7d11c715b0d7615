#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action/set_gauge.h"
#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/sched/advice_cache.h"
#include "plantainpitch/sched/client_call_kind.h"
#include "plantainpitch/sched/crash_evidence.h"
#include "plantainpitch/sched/crash_suspects.h"
#include "plantainpitch/sched/evacuation_list.h"
#include "plantainpitch/sched/fleet_config.h"
#include "plantainpitch/sched/job.h"
#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/ownership_evidence.h"
#include "plantainpitch/sched/placement_obstacles.h"
#include "plantainpitch/sched/placement_policy.h"
#include "plantainpitch/sched/placement_request.h"
#include "plantainpitch/sched/placement_terms.h"
#include "plantainpitch/sched/run_outcome.h"
#include "plantainpitch/sched/store_limits.h"
#include "plantainpitch/sched/stored_record.h"
#include "plantainpitch/sched/task_name.h"
#include "plantainpitch/sched/waiting_order.h"
#include "plantainpitch/sched/worker.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plantainpitch::sched {

struct scheduler_options
{
    std::uint64_t epoch = 0; ///< of this ownership; higher than that of all earlier owners
    instant epochBegun{}; ///< send time of the call to the store that began the epoch
    /// Lease term of a grant to an agent, by the agent's clock, from when it sent its report.
    duration term = std::chrono::milliseconds(5'500);
    /// Largest relative difference between the rates of two clocks.
    double clockDrift = 0.02;
    /// Added to every wait for the end of a lease: a worker that was suspended notices the end
    /// late.
    duration leaseMargin = std::chrono::milliseconds(400);
    /// An owner stops granting this long after the store's last confirmation, or after it has lost
    /// one of its members, whichever is later.
    duration staleOwner = std::chrono::milliseconds(1'200);
    /// How long ended jobs remain visible to clients.
    duration keepEnded = std::chrono::seconds(150);
    store_limits store;
};

/// A message and the node name of the process that receives it.
struct outgoing_message
{
    std::string node;
    message content;
};

/// Manages the jobs of one partition: accepts them, decides when and where their tasks run, and
/// records their ends. Only the owner of the partition has one. It uses no sockets and no clock.
///
/// Every change of state is stored first (nextCommit(), commitDone()); messages that depend on it
/// are sent only after that. A later owner therefore knows every run that may exist.
class scheduler
{
public:
    /// The policies must outlive the scheduler. \a disturbances learns from the agents' reports.
    scheduler(const scheduler_options &options, const placement_policy &placement,
              const waiting_order &order, disturbance_model &disturbances);

    /// Loads a record that an earlier owner stored. Throws error(protocol_error) or
    /// error(invalid_document) if the record cannot be read.
    void load(const stored_record &record);
    /// To be called when all records are loaded; no task is placed before. \a wallMs is the wall
    /// clock.
    void finishLoading(instant now, std::int64_t wallMs);

    void setConfig(const fleet_config &config);
    void setEvacuations(const evacuation_list &list);
    /// The agents that exist, reachable or not.
    void setAgents(std::set<std::string> nodes);
    /// To be called before each tick().
    void setContact(const member_contact &contact) { m_ownership.setContact(contact); }
    /// The store has carried out a call under this owner's epoch that was sent at \a sent.
    void confirmOwnership(instant sent) { m_ownership.confirm(sent); }

    /// Calls to store a batch have failed since \a since.
    void storeFailed(instant since) { m_storeFailedSince = since; }

    void agentOpened(const std::string &node, instant now);
    void agentClosed(const std::string &node, instant now);
    void onReport(const std::string &node, const agent_report &report, instant now);
    void onCall(const std::string &node, const client_call &call, instant now, std::int64_t wallMs);
    /// To be called every 100 ms or so.
    void tick(instant now, std::int64_t wallMs);

    /// Decides what can be started and returns the records to store, as one batch. If they are too
    /// many for one call to the store, they are to be stored in this order. Nothing if there is
    /// nothing to store or a batch is on its way.
    std::optional<std::vector<stored_record>> nextCommit(instant now, std::int64_t wallMs);
    /// The whole batch is stored.
    void commitDone();

    std::vector<outgoing_message> takeMessages();
    std::vector<write_log> takeLogLines();

    /// Figures for operators, the same names at each call.
    [[nodiscard]] std::vector<set_gauge> gauges(instant now) const;

    [[nodiscard]] std::size_t openJobs() const { return m_open.size(); }
    [[nodiscard]] const std::map<worker_key, std::unique_ptr<worker>> &workers() const
    {
        return m_workers;
    }
    [[nodiscard]] const job *findJob(const std::string &id) const;

private:
    /// A progress record as it was read from the store.
    struct loaded_progress
    {
        progress content;
        std::string text;
    };
    struct task_location
    {
        job *parentJob = nullptr;
        occurrence *parentOccurrence = nullptr;
        step_run *step = nullptr;
        task *taskState = nullptr;
    };
    /// Orders for one node, in as many messages as their size asks for.
    struct staged_orders
    {
        std::vector<agent_orders> messages;
        std::size_t lastBytes = 0; ///< estimated size of the last message
    };
    /// Messages and client-visible states that are held back until a batch is stored.
    struct staged_effects
    {
        std::map<std::string, staged_orders> orders; ///< by node
        std::vector<outgoing_message> messages;
        std::vector<std::pair<std::string, job_state>> committedStates; ///< by job id
    };

    // scheduler_jobs.cpp
    job &addJob(submission request, instant now, std::int64_t wallMs);
    void addDueOccurrences(job &job, std::int64_t wallMs);
    bool appendOccurrence(job &job, std::uint32_t number);
    void endJob(job &job, job_outcome outcome);
    void stepDone(job &job, occurrence &affected);
    void markChanged(job &job);
    void removeOldJobs(std::int64_t wallMs);
    void answer(const std::string &node, std::uint64_t number, call_outcome outcome, const job *job,
                bool afterCommit);
    void refuse(const std::string &node, const client_call &call, const char *reason,
                duration retryAfter);
    void submit(const std::string &node, const client_call &call, instant now, std::int64_t wallMs);
    void cancel(const std::string &node, const client_call &call);
    [[nodiscard]] std::uint32_t pendingJobs(const std::string &queue) const;
    [[nodiscard]] const queue_config *queueOf(const job &job) const;
    void setObjective(job &job) const;

    // scheduler_progress.cpp: progress of the jobs in the store
    void loadProgress(const std::string &name, const std::string &value);
    void applyProgress(job &job, std::map<std::uint32_t, loaded_progress> &records);
    bool applyTaskProgress(job &job, const task_progress &stored);
    void applyStoredCrashes(const job &job, task &task, const task_progress &stored);
    [[nodiscard]] std::unique_ptr<task_progress> progressOf(const task &task) const;
    [[nodiscard]] std::vector<progress> progressOf(const job &job) const;
    void addProgressRecords(job &job, std::vector<stored_record> &records);
    void removeProgressRecords(const job &job);

    // scheduler_queues.cpp
    [[nodiscard]] const queue_config *findQueue(const std::string &name) const;
    void loadQueue(const std::string &name, const std::string &value);
    void addQueueRecords(std::vector<stored_record> &records);

    // scheduler_runs.cpp
    task_location findTask(const std::string &name);
    void logRunEnd(const worker &worker, const run_end &end, const task_location &location,
                   bool current, instant now);
    [[nodiscard]] static bool hasBegun(const task_location &location);
    [[nodiscard]] static bool completedBeforeItsLoss(const worker &worker, const run_end &end,
                                                     const task_location &location);
    void onRunEnd(worker &worker, const run_end &end, instant now);
    void onRunRefusal(worker &worker, const run_refusal &refusal, instant now);
    void taskDone(const task_location &location);
    void taskFailed(const task_location &location, worker &worker, instant now);
    void requeue(const task_location &location);
    void release(worker &worker, const std::string &name, std::uint32_t run);
    void orderStop(worker &worker, const std::string &name, std::uint32_t run);
    void failIfExhausted(job &job);
    void stopReplacement(const task_location &location, const std::string &name);
    void stopGang(const task_location &location);
    void recordCheckpoint(const task_location &location, const std::string &checkpoint);
    void requeueLostRuns(worker &worker, const char *reason, instant now,
                         const std::vector<std::unique_ptr<run_ref>> &unsettled = {});
    agent_orders &ordersFor(worker &worker, std::size_t bytes);

    // scheduler_placing.cpp
    void schedulePass(instant now);
    [[nodiscard]] static bool isStarved(const job &job, instant now);
    void placeSteps(job &job, const queue_config &queue, const placement_terms &terms, instant now);
    void placeStep(job &job, const queue_config &queue, occurrence &occurrence, std::uint32_t step,
                   const placement_terms &terms, instant now);
    [[nodiscard]] worker *chooseWorker(const std::vector<worker *> &eligible,
                                       const queue_config &queue, const step_spec &step,
                                       const task &task, instant now) const;
    [[nodiscard]] bool fitsNowhere(const placement_request &request, const job &job) const;
    void start(job &job, occurrence &occurrence, std::uint32_t step, std::uint32_t index,
               worker &worker, std::uint32_t run, instant now);
    [[nodiscard]] static bool mayRun(const worker &candidate, const queue_config &queue,
                                     const step_spec &step);
    [[nodiscard]] std::vector<worker *> eligibleWorkers(const job &job, const queue_config &queue,
                                                        const occurrence &occurrence,
                                                        std::uint32_t step,
                                                        const placement_terms &terms, instant now);
    void requestTickets(const job &job, const queue_config &queue, const occurrence &occurrence,
                        std::uint32_t step, bool stalled, instant now);
    bool placeGang(job &job, const queue_config &queue, occurrence &occurrence, std::uint32_t step,
                   const placement_terms &terms, instant now);
    [[nodiscard]] std::vector<worker *> chooseForGang(const job &job, const queue_config &queue,
                                                      const occurrence &occurrence,
                                                      std::uint32_t step,
                                                      const placement_terms &terms, instant now);
    [[nodiscard]] worker *chooseSoundFirst(const std::vector<worker *> &eligible,
                                           const step_spec &step, const task &task) const;
    [[nodiscard]] std::vector<worker *> planGang(const job &job, const occurrence &occurrence,
                                                 std::uint32_t step, std::vector<worker *> eligible,
                                                 const placement_terms &terms) const;
    [[nodiscard]] bool fitsOneRack(const std::string &service, const step_spec &spec) const;

    // scheduler_long_running.cpp: tasks of long-running steps that have waited too long
    struct overdue_task
    {
        instant since{};
        job *parentJob = nullptr;
        const queue_config *queue = nullptr;
        occurrence *parentOccurrence = nullptr;
        std::uint32_t step = 0;
        std::uint32_t index = 0; ///< of a gang, 0: all members wait
    };
    void treatWaitingTasksAsOverdue(job &job, instant now);
    static void treatLostTaskAsOverdue(const task_location &location, instant now);
    std::vector<overdue_task> findOverdueLongRunning(instant now);
    void placeOverdueLongRunning(instant now);
    bool placeOverdueTask(const overdue_task &waiting, const placement_terms &terms, instant now);
    [[nodiscard]] std::vector<worker *> findWorkersToHold(const overdue_task &waiting, instant now);
    bool holdRoom(const overdue_task &waiting, instant now);
    void holdRoomForGang(const overdue_task &waiting, instant now);

    // scheduler_stalled_jobs.cpp: jobs that stand still although most of their service is free
    void placeStalledJobs(bool draining, bool starved, instant now);
    void placeStalledJob(job &job, bool starved, instant now);
    [[nodiscard]] bool isMostlyFree(const std::string &service) const;

    // scheduler_late_jobs.cpp: batch jobs that are too late to be of use
    std::vector<job *> findLateJobs(instant now);
    void placeLateJob(instant now);
    bool keepWorkerFor(const job &job, const queue_config &queue, instant now);
    // scheduler_crashes.cpp: tasks that are suspected of crashing the workers that start them
    static std::string unitOf(const task_location &location, const std::string &name);
    void onWorkerCrash(const worker_crash &crash, instant now);
    void countUnreportedCrash(const worker &crashed, instant now);
    void suspect(const task_location &location, const crashed_run &run, const seen_crash &crash,
                 instant now);
    void decideOnLoadedSuspects(instant now);
    void decideOnSuspects(instant now);
    void clearSuspicion(const task_location &location, worker &worker, const std::string &name);
    void endTrialIfPassed(const task_location &location, worker &worker, const std::string &name,
                          instant now);
    void countTrialPlaces();
    [[nodiscard]] std::vector<worker *> trialWorkers(std::vector<worker *> eligible,
                                                     const task &task, instant now) const;
    [[nodiscard]] std::vector<worker *> workersForSuspect(std::vector<worker *> eligible,
                                                          const task &task, instant now) const;
    [[nodiscard]] worker *chooseForSuspect(std::vector<worker *> eligible, const step_spec &step,
                                           const task &task, instant now) const;
    /// Whether the worker crashes without regard to the tasks that it starts.
    [[nodiscard]] bool crashesOften(const worker &worker) const;
    [[nodiscard]] bool coincidesWithOthers(const pending_decision &decision) const;
    void logCrash(const worker_crash &crash, const crash_suspects &suspects);

    // scheduler_workers.cpp
    void transferUnconfirmedRuns(worker &previousIncarnation, worker &nextIncarnation);
    void removeFormerIncarnations(const std::string &node, worker &current, instant now);
    worker &updateWorker(const std::string &node, const worker_info &info, instant now);
    void reconcile(worker &worker, const agent_report &report, instant now);
    void processAdvice(const agent_report &report, instant now);
    void noteActivity(instant now);
    void grantLease(const std::string &node, worker *worker, const agent_report &report,
                    instant now);
    [[nodiscard]] bool hasMajority() const;
    [[nodiscard]] instant earlierLeaseEnd(instant now) const;
    void noteEarlierOwners(instant now);
    void removeLostWorkers(instant now);
    [[nodiscard]] bool hasOrdersOnTheirWay(const std::string &node,
                                           const agent_report &report) const;
    void removeWorkersOfVacantAgent(const std::string &node, const agent_report &report,
                                    instant now);
    std::map<worker_key, std::unique_ptr<worker>>::iterator
    removeWorker(std::map<worker_key, std::unique_ptr<worker>>::iterator lost, const char *reason,
                 instant now);

    // scheduler_sharing.cpp: interference between tasks on the same worker
    void observeDisturbances(worker &worker, const agent_report &report, instant now);
    void orderDescription(worker &worker, const std::string &name, std::uint32_t run);
    void orderFillingDescriptions(worker &worker);
    void moveRun(worker &worker, const run_progress &run, double remainingMs, const char *reason);
    [[nodiscard]] bool hasCapacityElsewhere(const worker &current, const task_location &location,
                                            std::uint32_t step, instant now);
    void moveThrottledRun(worker &worker, const std::vector<run_progress> &batchRuns, instant now);
    void watchProgress(worker &worker, const agent_report &report, instant now);

    // scheduler_log.cpp
    [[nodiscard]] placement_obstacles obstaclesTo(const job &job, const queue_config &queue,
                                                  const occurrence &occurrence, std::uint32_t step,
                                                  instant now);
    void logObstacles(const char *event, const std::string &name, duration waited,
                      const placement_obstacles &obstacles, const step_spec &step);
    void logWaitingTask(const overdue_task &waiting, std::uint32_t &linesInPass, instant now);
    void logStarvedJob(job &job, const queue_config &queue, instant now);
    void logExclusions(instant now);

    void logState();
    void log(log_level level, const char *event,
             std::vector<std::pair<std::string, std::string>> fields, const char *budget = "");
    /// The budget of log lines about a task of the step.
    [[nodiscard]] static const char *budgetOf(const step_spec &step);

    const scheduler_options m_options;
    const placement_policy &m_placement;
    const waiting_order &m_order;
    disturbance_model &m_disturbances;
    advice_cache m_advice;
    fleet_config m_config;
    evacuation_list m_evacuations;
    std::map<std::string, double> m_meanWork; ///< of recent jobs by queue, core-milliseconds
    std::map<std::string, queue_config> m_formerQueues; ///< of queues that were removed
    /// By name, as the store has them after the batch on its way.
    std::map<std::string, queue_config> m_storedQueues;
    bool m_queueRecordsDue = false; ///< they may differ from those of the stored jobs' queues

    std::unordered_map<std::string, std::unique_ptr<job>> m_jobs;
    std::vector<job *> m_open;
    std::vector<job *> m_changed;
    std::vector<std::string> m_removedKeys;
    /// By job id and number of the record.
    std::unordered_map<std::string, std::map<std::uint32_t, loaded_progress>> m_loadedProgress;

    std::map<worker_key, std::unique_ptr<worker>> m_workers;
    std::map<std::string, worker *> m_workerByNode;
    std::vector<seen_crash> m_crashes; ///< recent ones
    std::vector<pending_decision> m_pendingDecisions;
    /// Requests that no worker suited in this pass. None will later in it: capacity only shrinks.
    std::vector<placement_request> m_unplaceable;
    /// Further trials that may begin in this pass, by service.
    std::map<std::string, std::int64_t> m_trialPlaces;
    std::set<std::string> m_agents;
    std::set<std::string> m_connected;
    ownership_evidence m_ownership;
    bool m_earlierOwnersEnded = false; ///< no earlier owner hears all of its members
    std::optional<instant> m_lastActivity; ///< of this process
    std::optional<instant> m_resumed; ///< end of the last suspension of this process
    instant m_takeover{};
    bool m_loaded = false;
    std::uint64_t m_lastOrders = 0;
    std::map<std::string, std::uint64_t> m_ordersSent; ///< last number on the connection, by node
    bool m_passNeeded = false; ///< a scheduling pass may be able to start tasks
    bool m_commitInFlight = false;
    std::optional<instant> m_storeFailedSince;
    instant m_lastPass{};
    instant m_nextLateJob{}; ///< no late job gets a place before
    std::size_t m_nextLateTurn = 0; ///< first of the younger late jobs that the next pass considers
    std::size_t m_nextStalledTurn = 0; ///< first of the younger stalled jobs of the next pass
    std::size_t m_workerSearches = 0; ///< looks at all workers since the start of the process
    std::string m_keptLateJob; ///< the last one that a worker was kept for
    instant m_lastSubmission{};
    instant m_lastStateLog{};
    instant m_nextStarvedLog{}; ///< no line about a starved job before

    staged_effects m_staged; ///< go with the next batch
    staged_effects m_inFlight;
    std::vector<outgoing_message> m_messages;
    std::vector<write_log> m_logLines;
};

} // namespace plantainpitch::sched
