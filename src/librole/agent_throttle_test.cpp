#include "plantainpitch/role/agent_role.h"

#include "task_holder_fakes_test.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace plantainpitch;
using namespace plantainpitch::fakes;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr connection_id entry = 1;

/// An agent whose service is slowed down by batch tasks, with a worker and a log that answer
/// immediately.
struct fixture
{
    fixture()
    {
        worker.lengthMs = 3'600'000;
        handle(connection_opened{ entry, { .kind = process_kind::entry, .incarnation = 5 } });
        const std::string document =
                R"({"version":1,"name":"pool","kind":"service","latency_target_ms":200})";
        receive(config_update{ .revision = log_position::of(1, 0),
                               .entities = { { .name = "pool",
                                               .revision = log_position::of(1, 0),
                                               .document = document } } });
        run(seconds(30)); // the batch share of a starting agent is raised slowly
    }

    void propose(std::uint32_t index)
    {
        const task_id task{ .job = "job", .index = index };
        const log_position base = log.add(task);
        receive(task_proposal{ .task = task,
                               .job = { .job = "job",
                                        .taskResources = { .processorsMilli = 1000 },
                                        .authorityTermMs = 10'000 },
                               .base = base });
    }

    void receive(message content) { handle(message_received{ entry, std::move(content) }); }

    void run(duration length)
    {
        for (const instant end = now + length; now < end;) {
            now += milliseconds(50);
            worker.advance(50'000);
            if (requestsArrive)
                receive(dispatch{ .id = { .entry = 5, .number = ++number },
                                  .timeLeftUs = 2'000'000,
                                  .idempotent = true,
                                  .request = { .templateName = "pool", .method = "GET" } });
            while (!calls.empty() && calls.begin()->first <= now) {
                const std::uint64_t id = calls.begin()->second;
                calls.erase(calls.begin());
                handle(service_result{ .callId = id, .kind = service_result_kind::answered });
            }
            handle(timer_tick{});
        }
    }

    void handle(const agent_event &event)
    {
        for (const std::size_t shard : agent.shardsOf(event)) {
            for (const action &output : agent.handle(shard, now, event))
                perform(output);
        }
    }

    void perform(const action &output)
    {
        if (const auto *call = std::get_if<worker_call>(&output)) {
            if (call->operation == worker_operation::throttle)
                throttled[call->task] = call->throttlePercent;
            usagePolls += call->operation == worker_operation::usage ? 1 : 0;
            handle(worker.execute(*call));
        } else if (const auto *request = std::get_if<service_call>(&output)) {
            calls.emplace(now + serviceTime(), request->callId);
        } else if (const auto *sent = std::get_if<send_message>(&output)) {
            if (const auto *submit = std::get_if<record_submit>(&sent->content))
                receive(log.append(submit->ticket, submit->record));
            else if (const auto *asked = std::get_if<authority_request>(&sent->content))
                receive(log.grant(*asked));
            else if (const auto *beat = std::get_if<heartbeat>(&sent->content))
                percent = beat->throttlePercent;
        }
    }

    [[nodiscard]] duration serviceTime() const
    {
        std::int64_t ms = 100;
        for (const auto &[id, run] : worker.runs) {
            if (worker.runsTask(id))
                ms += taskAddsMs * (100 - throttled.at(id)) / 100 + taskAlwaysAddsMs;
        }
        return milliseconds(ms);
    }

    [[nodiscard]] int evictions() const
    {
        int count = 0;
        for (const auto &[id, held] : log.tasks)
            count += held.phase == "pending" && !held.attempt.isNone() ? 1 : 0;
        return count;
    }

    instant now{ seconds(100) };
    fake_worker worker;
    fake_log log;
    agent_role agent{ { .vm = "vm", .incarnation = 9, .templateName = "pool" }, 1 };
    bool requestsArrive = true;
    std::int64_t taskAddsMs = 0;
    std::int64_t taskAlwaysAddsMs = 0; ///< also when throttled
    std::uint64_t number = 0;
    std::multimap<instant, std::uint64_t> calls;
    struct percents : std::map<task_id, std::uint32_t>
    {
        [[nodiscard]] std::int64_t at(const task_id &task) const
        {
            const auto found = find(task);
            return found == end() ? 0 : found->second;
        }
    } throttled;
    std::uint32_t percent = 0;
    int usagePolls = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(agent_throttle, fixture)

// Guards against a service that stays slow under batch load, and a throttle that is never lifted.
BOOST_AUTO_TEST_CASE(slowServiceThrottlesBatchUntilTheLoadHasGone)
{
    BOOST_TEST(percent == 0U);
    BOOST_TEST(usagePolls == 0); // usage is not polled without tasks
    taskAddsMs = 100;
    propose(0);
    propose(1);
    run(seconds(20));
    BOOST_TEST(usagePolls > 10);
    BOOST_TEST(percent > 40U);
    BOOST_TEST((serviceTime() < milliseconds(200)));
    BOOST_TEST(evictions() == 0);
    requestsArrive = false;
    run(seconds(40));
    BOOST_TEST(percent == 0U);
    BOOST_TEST(throttled.at({ .job = "job", .index = 0 }) == 0);
}

// Guards against evictions beyond the budget when throttling does not reduce the latency.
BOOST_AUTO_TEST_CASE(evictionsStayWithinTheBudget)
{
    taskAlwaysAddsMs = 150;
    for (std::uint32_t i = 0; i < 4; ++i)
        propose(i);
    run(seconds(300));
    BOOST_TEST(percent == 98U);
    BOOST_TEST(evictions() == 1);
    run(seconds(400));
    BOOST_TEST(evictions() == 2);
}

// Guards against throttling idle batch tasks when the service is slow for another reason.
BOOST_AUTO_TEST_CASE(slowServiceWithoutBatchUseIsNotThrottled)
{
    taskAlwaysAddsMs = 150;
    worker.usedMilli = 0;
    propose(0);
    run(seconds(30));
    BOOST_TEST(percent == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
