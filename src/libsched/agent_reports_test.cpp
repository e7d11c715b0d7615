#include "agent_test_support.h"

#include "plantainpitch/sched/message_limits.h"
#include "plantainpitch/sched/run_outcome.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace plantainpitch;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t tasks = 300;
/// As long as the longest payload of a job: 300 of them are longer than a message may be.
constexpr std::size_t longCheckpoint = 4'000;
constexpr std::uint64_t startMs = 5;

std::size_t encodedSize(const sched::agent_report &report)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(sched::fb::Createagent_report(builder, &report));
    return builder.GetSize();
}

/// An agent that has an owner, and a worker with runs that it lists.
struct reporting_agent
{
    reporting_agent()
    {
        openOwner(3);
        sched::worker_info info;
        info.id = "w";
        info.startMs = startMs;
        info.service = "pool";
        info.ready = true;
        test::announceAndConfirm(subject, info, 1'000, now);
        listing = test::emptyListing(startMs, 1'000);
    }

    void openOwner(std::uint64_t epoch)
    {
        sched::owner_hello hello;
        hello.epoch = epoch;
        hello.termMs = 5'500;
        BOOST_TEST(subject.ownerOpened(hello, now));
    }

    void listRuns(std::size_t checkpointBytes)
    {
        listing.listing->running.clear();
        for (std::uint32_t task = 0; task < tasks; ++task) {
            sched::run_status status;
            status.task = "a.0.0." + std::to_string(task);
            status.run = 1;
            status.checkpoint.assign(checkpointBytes, 'c');
            listing.listing->running.push_back(status);
        }
    }

    void listEnds(std::size_t checkpointBytes)
    {
        listing.listing->running.clear();
        for (std::uint32_t task = 0; task < tasks; ++task) {
            sched::run_end end;
            end.number = task + 1;
            end.task = "a.0.0." + std::to_string(task);
            end.run = 1;
            end.outcome = static_cast<std::uint8_t>(sched::run_outcome::stopped);
            end.checkpoint.assign(checkpointBytes, 'c');
            listing.listing->ended.push_back(end);
        }
    }

    /// Lets time pass; holds are answered with the listing while \a answers is true.
    void run(std::int64_t spanMs, bool answers = true)
    {
        for (std::int64_t passed = 0; passed < spanMs; passed += 100) {
            now += milliseconds(100);
            subject.tick(now);
            for (const sched::worker_call &call : subject.takeCalls()) {
                if (call.kind != sched::worker_call_kind::hold)
                    continue;
                listing.clockMs += 100;
                subject.onReply(call, answers ? listing : sched::worker_reply{}, now);
            }
            for (sched::agent_report &report : subject.takeReports()) {
                BOOST_TEST(encodedSize(report) <= sched::maxMessageBytes);
                reports.push_back(std::move(report));
            }
        }
    }

    /// The tasks whose checkpoints have been reported while running.
    [[nodiscard]] std::set<std::string> tasksWithCheckpoint() const
    {
        std::set<std::string> result;
        for (const sched::agent_report &report : reports) {
            for (const auto &status : report.running) {
                if (!status->checkpoint.empty())
                    result.insert(status->task);
            }
        }
        return result;
    }

    instant now{ milliseconds(1'000'000) };
    sched::agent subject{ { .node = "n" } };
    sched::worker_reply listing;
    std::vector<sched::agent_report> reports;
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_reports)

// Guards against a worker that falls out of use for good because its agent's reports are longer
// than a message may be, as they hold all checkpoints.
BOOST_AUTO_TEST_CASE(longCheckpointsGoInSeveralReports)
{
    reporting_agent agent;
    agent.listRuns(longCheckpoint);
    agent.run(2'000);
    BOOST_TEST(agent.tasksWithCheckpoint().size() == tasks);
    for (const sched::agent_report &report : agent.reports)
        BOOST_TEST((report.running.empty() || report.running.size() == tasks));
}

// Guards against a later owner that does not get the checkpoints of its predecessor.
BOOST_AUTO_TEST_CASE(allCheckpointsAreReportedToTheNextOwner)
{
    reporting_agent agent;
    agent.listRuns(longCheckpoint);
    agent.run(2'000);
    agent.reports.clear();
    agent.run(2'000);
    BOOST_TEST(agent.tasksWithCheckpoint().empty()); // the owner has them
    agent.openOwner(4);
    agent.run(2'000);
    BOOST_TEST(agent.tasksWithCheckpoint().size() == tasks);
}

// Guards against reports of ends that are longer than a message may be, and against runs that the
// owner takes as lost because the worker is said to be lost before all of its ends are reported.
BOOST_AUTO_TEST_CASE(endsWithLongCheckpointsGoInSeveralReportsBeforeALoss)
{
    reporting_agent agent;
    agent.listRuns(0);
    agent.run(1'000);
    agent.subject.ownerClosed(agent.now);
    agent.listEnds(longCheckpoint);
    agent.run(500);
    agent.run(20'000, false); // the leases end
    agent.openOwner(4);
    agent.reports.clear();
    agent.run(1'000, false);
    std::vector<std::uint64_t> numbers;
    for (const sched::agent_report &report : agent.reports) {
        for (const auto &end : report.ended)
            numbers.push_back(end->number);
        BOOST_TEST((!report.lapsed || numbers.size() == tasks));
    }
    BOOST_TEST(numbers.size() == tasks);
    BOOST_TEST(std::is_sorted(numbers.begin(), numbers.end()));
    BOOST_TEST(agent.reports.back().lapsed);
}

// Guards against one checkpoint that is longer than a message may be.
BOOST_AUTO_TEST_CASE(checkpointsThatNoOwnerKeepsAreNotReported)
{
    reporting_agent agent;
    agent.listRuns(sched::maxMessageBytes);
    agent.run(1'000);
    BOOST_TEST(agent.tasksWithCheckpoint().empty());
    agent.listEnds(sched::maxMessageBytes);
    agent.run(1'000);
    std::size_t ends = 0;
    for (const sched::agent_report &report : agent.reports)
        ends += report.ended.size();
    BOOST_TEST(ends == tasks);
    const auto lines = agent.subject.takeLogLines();
    BOOST_TEST(std::any_of(lines.begin(), lines.end(), [](const write_log &line) {
        return line.event == "checkpoint_not_reported";
    }));
}

BOOST_AUTO_TEST_SUITE_END()
