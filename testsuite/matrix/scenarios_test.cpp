#include "world.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::matrix;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration never = std::chrono::hours(1);

/// A world with an operator who publishes a watcher template and submits jobs of one task.
struct scenario
{
    explicit scenario(world_options options)
        : target(options)
    {
        target.run(seconds(1));
        put("/v1/templates/watch?base_revision=0",
            R"({"version":1,"name":"watch","kind":"watcher","team":"audit","command":"0",)"
            R"("task_resources":{"processors_milli":200,"memory_bytes":1000,"accelerators":0},)"
            R"("authority_term_ms":4000})");
        put("/v1/accounts/fund/parameters/watch?base_revision=0",
            R"({"version":1,"account":"fund","template":"watch"})");
    }

    boost::json::object ask(node &entry, const std::string &method, const std::string &path,
                            const std::string &body)
    {
        boost::json::object answer;
        target.admin(entry, { .method = method, .target = path, .body = body },
                     [&](const answer_admin &answered) {
                         answer = boost::json::parse(answered.body).as_object();
                         answer["status"] = answered.status;
                     });
        target.run(seconds(1));
        return answer;
    }

    void put(const std::string &path, const std::string &body)
    {
        BOOST_TEST_REQUIRE(ask(*target.entries[0], "PUT", path, body).at("status") == 200);
    }

    void submit(const std::string &id)
    {
        const std::string body =
                R"({"version":1,"account":"fund","template":"watch","id":")" + id + R"("})";
        BOOST_TEST_REQUIRE(ask(*target.entries[0], "POST", "/v1/jobs", body).at("status") == 201);
    }

    std::string holderOf(const std::string &job)
    {
        const auto answer = ask(*target.entries[0], "GET", "/v1/jobs/" + job, "");
        return answer.at("job").at("tasks").at(0).at("vm").as_string().c_str();
    }

    void cut(node &a, node &b)
    {
        target.block(a, b, never);
        target.block(b, a, never);
    }

    void requireNoViolation()
    {
        for (const std::string &violation : target.watch.violations())
            BOOST_ERROR(violation);
    }

    world target;
};

} // namespace

// Guards against a grant from a stale read of the log: an agent that reaches only an entry whose
// reads are behind kept its tasks while the other entry had revoked and moved them.
BOOST_AUTO_TEST_CASE(staleReadsConfirmNoClaim)
{
    scenario run({ .seed = 5, .entries = 2, .agents = 2 });
    for (int i = 0; i < 12; ++i)
        run.submit("audit-" + std::to_string(i));
    const auto jobsOnSecond = [&run] {
        int count = 0;
        for (int i = 0; i < 12; ++i)
            count += run.holderOf("audit-" + std::to_string(i)) == run.target.agents[1]->name;
        return count;
    };
    node &agent = *run.target.agents[1];
    const int before = jobsOnSecond();
    run.target.log.readLag = never;
    run.target.log.laggingReader = run.target.entries[1]->name;
    run.cut(agent, *run.target.entries[0]);
    run.target.run(seconds(30));
    // The entry that is not behind moves the tasks of its jobs.
    BOOST_TEST(jobsOnSecond() < before);
    run.requireNoViolation();
}

// Guards against an entry that cannot start while the log is down although a peer has the state.
BOOST_AUTO_TEST_CASE(newEntryStartsFromAPeerDuringAnOutage)
{
    scenario run({ .seed = 6, .entries = 2, .agents = 2 });
    run.submit("audit-0");
    node &entry = *run.target.entries[0];
    run.target.killProcess(entry);
    run.target.log.down = true;
    run.target.startProcess(entry);
    run.target.run(seconds(10));
    BOOST_TEST(entry.entry->ready());
    BOOST_TEST(!run.holderOf("audit-0").empty());
    run.requireNoViolation();
}

// Guards against an entry that starts without the records that retention has removed.
BOOST_AUTO_TEST_CASE(newEntryStartsFromASnapshotAfterRetention)
{
    scenario run({ .seed = 7, .entries = 2, .agents = 2 });
    run.submit("audit-0");
    run.target.log.retainedBatches = 40;
    // Snapshots are written every ten minutes.
    run.target.run(std::chrono::minutes(11));
    for (int i = 0; i < 60; ++i)
        run.submit("later-" + std::to_string(i));
    node &entry = *run.target.entries[0];
    run.target.killProcess(entry);
    run.target.startProcess(entry);
    run.target.run(seconds(5));
    BOOST_TEST(entry.entry->ready());
    BOOST_TEST(!run.holderOf("audit-0").empty());
    run.requireNoViolation();
}

// Guards against a stop that cuts requests or leaves a claim: all agents and entries are replaced
// one after another while tasks run.
BOOST_AUTO_TEST_CASE(rollingRestartKeepsTasks)
{
    scenario run({ .seed = 8, .entries = 3, .agents = 3 });
    for (int i = 0; i < 4; ++i)
        run.submit("audit-" + std::to_string(i));
    for (const auto &list : { &run.target.entries, &run.target.agents }) {
        for (const auto &process : *list) {
            run.target.stopGracefully(*process);
            run.target.run(seconds(12));
            BOOST_TEST(!process->alive);
            run.target.startProcess(*process);
            run.target.run(seconds(5));
        }
    }
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(!run.holderOf("audit-" + std::to_string(i)).empty());
    run.requireNoViolation();
}
