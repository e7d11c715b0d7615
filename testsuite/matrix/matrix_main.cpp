// Runs the fault matrix and randomised runs; every failure prints the command that repeats it.

#include "matrix_case.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_string(mode, "matrix", "matrix, pairs or random");
DEFINE_string(step, "", "only this step");
DEFINE_string(fault, "", "only this fault");
DEFINE_string(second_fault, "", "only this second fault");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds");
DEFINE_uint64(pairs, 200, "pairs mode: number of cases, drawn from all by the seed");
DEFINE_uint64(minutes, 5, "random mode: virtual minutes of each run");
DEFINE_uint64(faults_per_minute, 6, "random mode");
DEFINE_uint64(time_limit_s, 0, "stop starting new cases after this time; 0: no limit");
DEFINE_uint64(threads, 4, "cases that run at once");

namespace {

using namespace plantainpitch;
using namespace plantainpitch::matrix;

struct job
{
    std::string name;
    std::string command;
    std::function<case_result()> run;
};

job makeCaseJob(const matrix_case &what)
{
    std::string command = "matrix --mode=matrix --step=" + allSteps()[what.step].name + " --fault="
                          + allFaults()[what.fault].name + " --seed=" + std::to_string(what.seed);
    if (what.secondFault)
        command += " --second_fault=" + allFaults()[*what.secondFault].name;
    return { what.name(), command, [what] { return runCase(what); } };
}

std::vector<job> matrixJobs()
{
    std::vector<job> jobs;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        for (std::size_t s = 0; s < allSteps().size(); ++s) {
            for (std::size_t f = 0; f < allFaults().size(); ++f) {
                if ((!FLAGS_step.empty() && allSteps()[s].name != FLAGS_step)
                    || (!FLAGS_fault.empty() && allFaults()[f].name != FLAGS_fault))
                    continue;
                matrix_case what = { .step = s, .fault = f, .secondFault = {}, .seed = seed };
                for (std::size_t g = 0; g < allFaults().size(); ++g) {
                    if (allFaults()[g].name == FLAGS_second_fault)
                        what.secondFault = g;
                }
                jobs.push_back(makeCaseJob(what));
            }
        }
    }
    return jobs;
}

std::vector<job> pairJobs()
{
    std::vector<job> jobs;
    std::mt19937_64 random(FLAGS_seed);
    for (std::uint64_t i = 0; i < FLAGS_pairs; ++i) {
        matrix_case what;
        what.step = random() % allSteps().size();
        what.fault = random() % allFaults().size();
        // Every fifth pair is the same fault twice.
        what.secondFault = i % 5 == 0 ? what.fault : random() % allFaults().size();
        what.seed = FLAGS_seed + i;
        jobs.push_back(makeCaseJob(what));
    }
    return jobs;
}

std::vector<job> randomJobs()
{
    std::vector<job> jobs;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        jobs.push_back({ "random/" + std::to_string(seed),
                         "matrix --mode=random --minutes=" + std::to_string(FLAGS_minutes)
                                 + " --faults_per_minute=" + std::to_string(FLAGS_faults_per_minute)
                                 + " --seed=" + std::to_string(seed),
                         [seed] {
                             return runRandom(seed, std::chrono::minutes(FLAGS_minutes),
                                              FLAGS_minutes * FLAGS_faults_per_minute);
                         } });
    }
    return jobs;
}

struct totals
{
    std::mutex mutex;
    std::uint64_t cases = 0;
    std::uint64_t failed = 0;
    std::uint64_t notReached = 0;
    std::uint64_t requests = 0;
    std::uint64_t finishedTasks = 0;
    std::int64_t virtualMs = 0;
};

void report(totals &sum, const job &done, const case_result &result)
{
    const std::lock_guard lock(sum.mutex);
    ++sum.cases;
    sum.requests += result.requests;
    sum.finishedTasks += result.finishedTasks;
    sum.virtualMs += result.virtualMs;
    sum.notReached += result.struck ? 0 : 1;
    if (result.violations.empty())
        return;
    ++sum.failed;
    std::cout << "FAILED " << done.name << "\n  repeat: " << done.command << "\n";
    for (std::size_t i = 0; i < std::min<std::size_t>(4, result.violations.size()); ++i)
        std::cout << "  " << result.violations[i] << "\n";
    std::cout.flush();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<job> jobs = FLAGS_mode == "pairs"    ? pairJobs()
                                  : FLAGS_mode == "random" ? randomJobs()
                                                           : matrixJobs();
    totals sum;
    std::atomic<std::size_t> next{ 0 };
    const auto begin = std::chrono::steady_clock::now();
    const auto inTime = [&] {
        return FLAGS_time_limit_s == 0
               || std::chrono::steady_clock::now() - begin
                          < std::chrono::seconds(FLAGS_time_limit_s);
    };
    std::vector<std::thread> threads;
    for (std::uint64_t i = 0; i < std::max<std::uint64_t>(1, FLAGS_threads); ++i)
        threads.emplace_back([&] {
            for (std::size_t j = next++; j < jobs.size() && inTime(); j = next++)
                report(sum, jobs[j], jobs[j].run());
        });
    for (std::thread &thread : threads)
        thread.join();
    std::cout << FLAGS_mode << ": " << sum.cases << " cases, " << sum.failed << " failed, "
              << sum.notReached << " did not reach their step, " << sum.virtualMs / 60'000
              << " virtual minutes, " << sum.requests << " requests, " << sum.finishedTasks
              << " tasks finished\n";
    return sum.failed == 0 ? 0 : 1;
}
