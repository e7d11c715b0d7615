#include "faults.h"

namespace plantainpitch::matrix {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time that a replaced or reconnected process gets to catch up.
constexpr duration recoveryTime = seconds(6);

node &someAgent(world &target)
{
    return *target.agents[target.random() % target.agents.size()];
}

node &someEntry(world &target)
{
    return *target.entries[target.random() % target.entries.size()];
}

void exemptFor(world &target, workload &load, const node &process, duration time)
{
    load.exempt(process.name, target.queue.now() + time + recoveryTime);
}

void exemptAll(world &target, workload &load, duration time)
{
    for (const auto &list : { &target.entries, &target.agents }) {
        for (const auto &process : *list)
            exemptFor(target, load, *process, time);
    }
}

void killAndReplace(world &target, workload &load, node &process)
{
    exemptFor(target, load, process, seconds(2));
    target.killProcess(process);
    target.queue.after(seconds(2), [&target, &process] { target.startProcess(process); });
}

void killVm(world &target, workload &load, node &process)
{
    exemptFor(target, load, process, seconds(8));
    target.killVm(process);
    target.queue.after(seconds(8), [&target, &process] { target.restartVm(process); });
}

void rebootWorker(world &target, workload &, node &process)
{
    node &agent = process.isEntry ? someAgent(target) : process;
    agent.worker->die(false);
    target.queue.after(milliseconds(500), [&agent] { agent.worker->restart(); });
}

void freezeLong(world &target, workload &load, node &process)
{
    exemptFor(target, load, process, seconds(12));
    target.freeze(process, seconds(12));
}

void freezeShort(world &target, workload &load, node &process)
{
    exemptFor(target, load, process, seconds(1));
    target.freeze(process, seconds(1));
}

void suspendVm(world &target, workload &load, node &process)
{
    node &agent = process.isEntry ? someAgent(target) : process;
    exemptFor(target, load, agent, seconds(12));
    target.suspendVm(agent, seconds(12));
}

void cutOneWay(world &target, workload &load, node &process)
{
    node &other = process.isEntry ? someAgent(target) : someEntry(target);
    exemptFor(target, load, process, seconds(6));
    exemptFor(target, load, other, seconds(6));
    target.block(process, other, seconds(6));
}

void cutBothWays(world &target, workload &load, node &process)
{
    exemptFor(target, load, process, seconds(9));
    for (const auto &list : { &target.entries, &target.agents }) {
        for (const auto &other : *list) {
            if (other.get() == &process)
                continue;
            target.block(process, *other, seconds(9));
            target.block(*other, process, seconds(9));
        }
    }
}

void resetConnections(world &target, workload &, node &process)
{
    target.resetConnections(process);
}

void delayMessages(world &target, workload &, node &)
{
    target.delayMessages(milliseconds(400), seconds(4));
}

void logDown(world &target, workload &load, node &)
{
    exemptAll(target, load, seconds(3));
    target.log.down = true;
    target.queue.after(seconds(3), [&target] { target.log.down = false; });
}

void logDownLong(world &target, workload &load, node &)
{
    exemptAll(target, load, seconds(15));
    target.log.down = true;
    target.queue.after(seconds(15), [&target] { target.log.down = false; });
}

void logSlow(world &target, workload &load, node &)
{
    exemptAll(target, load, seconds(8));
    target.log.delay = milliseconds(700);
    target.queue.after(seconds(8), [&target] { target.log.delay = milliseconds(4); });
}

void logLosesAnswers(world &target, workload &, node &)
{
    target.log.loseAppendAnswers = 4;
}

void logReadsLag(world &target, workload &load, node &)
{
    exemptAll(target, load, seconds(6));
    target.log.readLag = seconds(3);
    target.queue.after(seconds(6), [&target] { target.log.readLag = duration(); });
}

/// One entry reads from a part of the log service that is behind.
void logLagsForOne(world &target, workload &load, node &)
{
    exemptAll(target, load, seconds(16));
    target.log.readLag = seconds(14);
    target.log.laggingReader = someEntry(target).name;
    target.queue.after(seconds(16), [&target] {
        target.log.readLag = duration();
        target.log.laggingReader.clear();
    });
}

void workerLosesAnswers(world &target, workload &, node &process)
{
    (process.isEntry ? someAgent(target) : process).worker->loseAnswers = 3;
}

void workerFailsAll(world &target, workload &, node &process)
{
    fake_worker &worker = *(process.isEntry ? someAgent(target) : process).worker;
    worker.failAll = true;
    target.queue.after(seconds(5), [&worker] { worker.failAll = false; });
}

void serviceBreaks(world &target, workload &, node &process)
{
    node &agent = process.isEntry ? someAgent(target) : process;
    agent.serviceBroken = true;
    target.queue.after(seconds(2), [&agent] { agent.serviceBroken = false; });
}

void serviceSlow(world &target, workload &, node &process)
{
    node &agent = process.isEntry ? someAgent(target) : process;
    agent.serviceTime = milliseconds(1500);
    target.queue.after(seconds(4), [&agent] { agent.serviceTime = milliseconds(20); });
}

void drain(world &target, workload &load, node &process)
{
    exemptFor(target, load, process, seconds(15));
    target.stopGracefully(process);
    target.queue.after(seconds(15), [&target, &process] { target.startProcess(process); });
}

void raceOperators(world &, workload &load, node &)
{
    load.raceOperators();
}

void cancelBurst(world &, workload &load, node &)
{
    load.cancelBurst();
}

void impossibleJob(world &, workload &load, node &)
{
    load.submitImpossible();
}

} // namespace

const std::vector<fault> &allFaults()
{
    static const std::vector<fault> faults = {
        { "kill_process", killAndReplace },
        { "kill_vm", killVm },
        { "reboot_worker", rebootWorker },
        { "freeze_long", freezeLong },
        { "freeze_short", freezeShort },
        { "suspend_vm", suspendVm },
        { "cut_one_way", cutOneWay },
        { "cut_both_ways", cutBothWays },
        { "reset_connections", resetConnections },
        { "delay_messages", delayMessages },
        { "log_down", logDown },
        { "log_down_long", logDownLong },
        { "log_slow", logSlow },
        { "log_loses_answers", logLosesAnswers },
        { "log_reads_lag", logReadsLag },
        { "log_lags_for_one", logLagsForOne },
        { "worker_loses_answers", workerLosesAnswers },
        { "worker_fails_all", workerFailsAll },
        { "service_breaks", serviceBreaks },
        { "service_slow", serviceSlow },
        { "drain", drain },
        { "race_operators", raceOperators },
        { "cancel_burst", cancelBurst },
        { "impossible_job", impossibleJob },
    };
    return faults;
}

} // namespace plantainpitch::matrix
