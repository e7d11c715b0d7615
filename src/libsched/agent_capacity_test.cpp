#include "agent_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using std::chrono::milliseconds;

namespace {

/// An agent with a grant; its worker has four processors and 8,000 MB.
struct agent_with_capacity
{
    agent_with_capacity()
    {
        info.id = "w";
        info.startMs = 5;
        info.ready = true;
        info.cpu = 4'000;
        info.memoryMb = 8'000;
        sched::owner_hello hello;
        hello.epoch = 3;
        hello.termMs = 5'500;
        subject.ownerOpened(hello, now);
        test::announceAndConfirm(subject, info, 1'000, now);
        sched::agent_orders grant;
        grant.grantedUs = now.time_since_epoch().count();
        subject.onOrders(grant, now);
    }

    sched::agent_orders orders()
    {
        sched::agent_orders result;
        result.number = ++lastOrders;
        result.workerStartMs = info.startMs;
        return result;
    }

    static std::unique_ptr<sched::start_order> run(const std::string &task, std::uint32_t cpu,
                                                   std::uint32_t memoryMb = 100)
    {
        auto result = std::make_unique<sched::start_order>();
        result->task = task;
        result->run = 1;
        result->cpu = cpu;
        result->memoryMb = memoryMb;
        return result;
    }

    /// Whether the agent calls the worker to start the task.
    bool starts(const std::string &task, std::uint32_t cpu, std::uint32_t memoryMb = 100)
    {
        auto content = orders();
        content.starts.push_back(run(task, cpu, memoryMb));
        subject.onOrders(content, now);
        for (const sched::worker_call &call : subject.takeCalls()) {
            if (call.kind == sched::worker_call_kind::start && call.task == task)
                return true;
        }
        return false;
    }

    /// The worker lists these tasks, which an earlier agent process has started.
    void list(const std::vector<std::string> &tasks)
    {
        subject.tick(now);
        sched::worker_reply reply;
        reply.kind = sched::worker_reply_kind::accepted;
        reply.clockMs = 1'000;
        reply.listing.emplace();
        reply.listing->startMs = info.startMs;
        for (const std::string &task : tasks) {
            reply.listing->running.emplace_back();
            reply.listing->running.back().task = task;
            reply.listing->running.back().run = 1;
        }
        for (const sched::worker_call &call : subject.takeCalls()) {
            if (call.kind == sched::worker_call_kind::hold)
                subject.onReply(call, reply, now);
        }
    }

    std::string refusalReason()
    {
        subject.tick(now);
        for (const sched::agent_report &report : subject.takeReports()) {
            if (!report.refused.empty())
                return report.refused.front()->reason;
        }
        return {};
    }

    instant now{ milliseconds(1'000'000) };
    sched::worker_info info;
    sched::agent subject{ { .node = "n" } };
    std::uint64_t lastOrders = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(agent_capacity)

// Guards against orders planned on a former capacity that bring the worker over the one that it has
// announced since.
BOOST_AUTO_TEST_CASE(aStartThatExceedsTheAnnouncedCapacityIsRefused)
{
    agent_with_capacity f;
    BOOST_TEST(f.starts("a.0.0.0", 1'500));
    f.info.cpu = 2'000;
    f.subject.workerAnnounced({ .info = f.info, .sequence = 1 }, f.now);
    BOOST_TEST(!f.starts("a.0.0.1", 1'500));
    BOOST_TEST(f.refusalReason() == "room");
    BOOST_TEST(f.starts("a.0.0.2", 500));
    BOOST_TEST(!f.starts("a.0.0.3", 0, 8'000));
}

// Guards against a start beside a run that is being stopped and still uses its resources.
BOOST_AUTO_TEST_CASE(aRunThatIsBeingStoppedStillCounts)
{
    agent_with_capacity f;
    BOOST_TEST(f.starts("a.0.0.0", 3'000));
    auto stop = f.orders();
    stop.stops.push_back(std::make_unique<sched::run_ref>());
    stop.stops.back()->task = "a.0.0.0";
    stop.stops.back()->run = 1;
    f.subject.onOrders(stop, f.now);
    BOOST_TEST(!f.starts("a.0.0.1", 2'000));
}

// Guards against a restarted agent that does not count the runs of its predecessor.
BOOST_AUTO_TEST_CASE(anAdoptedRunCountsOnceTheOwnerHasDescribedIt)
{
    agent_with_capacity f;
    f.list({ "a.0.0.0" });
    auto description = f.orders();
    description.describes.push_back(agent_with_capacity::run("a.0.0.0", 3'000));
    f.subject.onOrders(description, f.now);
    BOOST_TEST(!f.starts("a.0.0.1", 2'000));
    BOOST_TEST(f.starts("a.0.0.2", 1'000));
}

// Guards against starts that were planned before a restart of the agent on a capacity that has
// shrunk since: they arrive before the descriptions of the adopted runs, which counted as nothing.
BOOST_AUTO_TEST_CASE(nothingStartsBesideAnAdoptedRunBeforeItIsDescribed)
{
    agent_with_capacity f;
    f.list({ "a.0.0.0" });
    BOOST_TEST(!f.starts("a.0.0.1", 100));
    BOOST_TEST(f.refusalReason() == "undescribed_runs");
    auto description = f.orders();
    description.describes.push_back(agent_with_capacity::run("a.0.0.0", 3'000));
    f.subject.onOrders(description, f.now);
    BOOST_TEST(f.starts("a.0.0.1", 100));
}

// Guards against a worker over its capacity in processors that takes no task that needs none.
BOOST_AUTO_TEST_CASE(aTaskThatNeedsOnlyMemoryStartsOnAWorkerOverItsProcessors)
{
    agent_with_capacity f;
    BOOST_TEST(f.starts("a.0.0.0", 3'000));
    f.info.cpu = 1'000;
    f.subject.workerAnnounced({ .info = f.info, .sequence = 1 }, f.now);
    BOOST_TEST(f.starts("a.0.0.1", 0));
}

BOOST_AUTO_TEST_SUITE_END()
