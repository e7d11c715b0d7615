#include "epoch_store.h"
#include "plantainpitch/fleet/gateway_process.h"
#include "plantainpitch/fleet/owner_process.h"
#include "plantainpitch/runtime/frame_link.h"
#include "plantainpitch/runtime/manual_clock.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace plantainpitch;
using sched::call_kind;
using sched::gateway_status;
namespace asio = boost::asio;

namespace {

const std::string earlierJob = "11aa11aa11aa11aa";
const std::string laterJob = "11bb11bb11bb11bb";

sched::stored_record submissionOf(const std::string &id)
{
    sched::submission job;
    job.id = id;
    job.queue = "queue";
    job.spec = std::make_unique<sched::job_spec>();
    job.spec->steps.push_back(std::make_unique<sched::step_spec>());
    job.spec->steps[0]->count = 1;
    return { 'j' + job.id, sched::encodeSubmission(job) };
}

/// The owner of a partition with one job, and a gateway.
class replacement_fixture
{
public:
    replacement_fixture()
    {
        store.records = { submissionOf(earlierJob) };
        store.members = { gatewayMember() };
        sched::fleet_config config;
        config.version = 1;
        config.queues["queue"] = { .name = "queue", .service = "pool" };
        subject.setConfig(config, {});
        m_gateway.start();
    }
    ~replacement_fixture()
    {
        subject.stop([] {});
        m_gateway.stop();
        context.poll();
    }
    replacement_fixture(const replacement_fixture &) = delete;
    replacement_fixture &operator=(const replacement_fixture &) = delete;

    void run(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{}; passed < time; passed += tick) {
            clock.advance(tick);
            subject.tick();
            m_gateway.tick();
            context.restart();
            context.run_for(loopbackTime);
        }
    }

    /// Calls about the job and returns what the gateway tells the client.
    gateway_status statusOf(call_kind kind, const std::string &job)
    {
        sched::client_call call;
        call.kind = static_cast<std::uint8_t>(kind);
        call.job = job;
        call.queue = "queue";
        std::optional<gateway_status> status;
        m_gateway.call(std::move(call), std::chrono::seconds(3),
                       [&status](const sched::gateway_answer &answer) { status = answer.status; });
        for (int i = 0; i < 50 && !status; ++i)
            run(tick);
        BOOST_REQUIRE(status.has_value());
        return *status;
    }

    /// Another owner takes over, stores a job and ends. Neither the owner's joins nor its members
    /// show it.
    void replaceUnnoticed()
    {
        store.takeOver({ submissionOf(earlierJob), submissionOf(laterJob) });
    }

    /// An owner connects to the gateway and ends.
    void connectOwnerToGateway(std::uint64_t epoch)
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
        const auto link = std::make_shared<runtime::frame_link>(std::move(socket),
                                                                runtime::frame_link_options{});
        link->start({ .frame = [](const std::string & /*frame*/) {},
                      .closed = [](const std::string & /*reason*/) {} });
        sched::owner_hello hello;
        hello.epoch = epoch;
        link->send(sched::encodeMessage(sched::makeMessage(hello)));
        run(tick);
        link->close();
    }

    static constexpr std::chrono::milliseconds tick{ 100 };

    runtime::manual_clock clock;
    asio::io_context context;
    test::epoch_store store;

private:
    /// Enough for messages on the loopback interface.
    static constexpr std::chrono::milliseconds loopbackTime{ 10 };

    static std::uint16_t freePort()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        return acceptor.local_endpoint().port();
    }
    [[nodiscard]] sched::member gatewayMember() const
    {
        sched::member member;
        member.node = "gateway";
        member.address = "127.0.0.1:" + std::to_string(m_port);
        return member;
    }

    const std::uint16_t m_port = freePort();
    runtime::logging m_lines{ clock, "error" };
    runtime::metrics m_counters;
    runtime::event_log m_log{ m_lines, m_counters };
    fleet::gateway_process m_gateway{ context,
                                      clock,
                                      m_log,
                                      { .address = "127.0.0.1", .port = m_port, .node = "gateway" },
                                      [](const sched::config_document & /*document*/) {} };

public:
    fleet::owner_process subject{ context, store, clock, m_log, { .node = "node" } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(owner_replacement)

// Guards against a job that was accepted and is said not to exist: the owner lost the partition and
// got it back between two joins, review/11.
BOOST_AUTO_TEST_CASE(anOwnerThatWasReplacedBetweenTwoJoinsLoadsWhatTheOtherOneStored)
{
    replacement_fixture fixture;
    fixture.run(std::chrono::milliseconds(1'000));
    BOOST_TEST((fixture.statusOf(call_kind::query, earlierJob) == gateway_status::done));
    BOOST_TEST((fixture.statusOf(call_kind::query, laterJob) == gateway_status::unknown_job));
    fixture.replaceUnnoticed();
    fixture.run(std::chrono::milliseconds(2'000));
    BOOST_TEST((fixture.statusOf(call_kind::query, laterJob) == gateway_status::done));
}

// Guards against calls that all get 503 for good: the gateway has seen the epoch of the other owner
// and refuses this one, which learns of no reason to begin a new epoch.
BOOST_AUTO_TEST_CASE(anOwnerWhoseGatewayKnowsALaterEpochServesCallsAgain)
{
    replacement_fixture fixture;
    fixture.run(std::chrono::milliseconds(1'000));
    fixture.replaceUnnoticed();
    fixture.connectOwnerToGateway(fixture.store.epoch);
    fixture.run(std::chrono::milliseconds(3'000));
    BOOST_TEST((fixture.statusOf(call_kind::query, earlierJob) == gateway_status::done));
}

// Guards against the same where the jobs are loaded slowly, or the process is frozen meanwhile:
// what was read before another owner stored a job does not show that the job does not exist.
BOOST_AUTO_TEST_CASE(jobsThatTookLongToLoadDoNotShowThatAnotherOneDoesNotExist)
{
    replacement_fixture fixture;
    fixture.store.holdLoads = true;
    fixture.run(std::chrono::milliseconds(300));
    fixture.replaceUnnoticed();
    fixture.run(std::chrono::milliseconds(1'500));
    fixture.store.silent = true;
    fixture.store.releaseLoad({ submissionOf(earlierJob) });
    BOOST_TEST((fixture.statusOf(call_kind::query, laterJob) == gateway_status::not_accepted));
    BOOST_TEST((fixture.statusOf(call_kind::cancel, laterJob) == gateway_status::not_accepted));
    fixture.store.holdLoads = false;
    fixture.store.silent = false;
    fixture.run(std::chrono::milliseconds(2'000));
    BOOST_TEST((fixture.statusOf(call_kind::query, laterJob) == gateway_status::done));
}

// Guards against an owner that counts as confirmed by joins although the store refuses its appends.
BOOST_AUTO_TEST_CASE(joinsDoNotConfirmAnOwner)
{
    replacement_fixture fixture;
    fixture.run(std::chrono::milliseconds(1'000));
    fixture.store.silent = true;
    fixture.run(std::chrono::milliseconds(2'000));
    BOOST_TEST((fixture.statusOf(call_kind::query, laterJob) == gateway_status::not_accepted));
}

// Guards against a partition that a process gets back after it has ended: a join that was on its
// way overtakes the leave, and nobody has the partition until the membership ends.
BOOST_AUTO_TEST_CASE(anOwnerThatStopsLeavesTheGroupOnlyAfterItsLastJoin)
{
    replacement_fixture fixture;
    fixture.run(std::chrono::milliseconds(1'000));
    fixture.store.holdJoins = true;
    fixture.run(std::chrono::milliseconds(500));
    bool stopped = false;
    const std::size_t joined = fixture.store.joined;
    fixture.subject.stop([&stopped] { stopped = true; });
    fixture.run(std::chrono::milliseconds(300));
    BOOST_TEST(fixture.store.left == 0U);
    fixture.store.releaseJoin();
    BOOST_TEST(fixture.store.left == 1U);
    BOOST_TEST(stopped);
    fixture.run(std::chrono::milliseconds(1'000));
    BOOST_TEST(fixture.store.joined == joined);
}

// Guards against a call to the store every few milliseconds, and against none at all.
BOOST_AUTO_TEST_CASE(anIdleOwnerAsksForItsEpochTwiceASecond)
{
    replacement_fixture fixture;
    fixture.run(std::chrono::milliseconds(2'000));
    const std::size_t before = fixture.store.checked;
    fixture.run(std::chrono::milliseconds(10'000));
    BOOST_TEST(fixture.store.checked - before == 20U);
}

BOOST_AUTO_TEST_SUITE_END()
