#include "plantainpitch/fleet/gateway_process.h"

#include "plantainpitch/runtime/manual_clock.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace plantainpitch;
namespace asio = boost::asio;

namespace {

/// A process of a gateway with an owner, which receives the gateway's calls.
class gateway_fixture
{
public:
    gateway_fixture()
    {
        m_gateway.start();
        asio::ip::tcp::socket socket(m_context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
        m_owner = std::make_shared<runtime::frame_link>(std::move(socket),
                                                        runtime::frame_link_options{});
        m_owner->start({ .frame = [this](const std::string &frame) { onFrame(frame); },
                         .closed = [](const std::string & /*reason*/) {} });
        sched::owner_hello hello;
        hello.epoch = 1;
        m_owner->send(sched::encodeMessage(sched::makeMessage(hello)));
        BOOST_REQUIRE(runUntil([this] { return m_gateway.hasOwner(); }));
    }
    ~gateway_fixture()
    {
        m_gateway.stop();
        m_owner->close();
        m_context.poll();
    }
    gateway_fixture(const gateway_fixture &) = delete;
    gateway_fixture &operator=(const gateway_fixture &) = delete;

    /// Calls for the job; returns the number under which the owner gets the call.
    std::uint64_t call(const std::string &job)
    {
        sched::client_call content;
        content.job = job;
        m_received.reset();
        m_gateway.call(std::move(content), std::chrono::seconds(3),
                       [this](const sched::gateway_answer & /*answer*/) { ++answers; });
        BOOST_REQUIRE(runUntil([this] { return m_received.has_value(); }));
        return *m_received;
    }

    /// Sends an answer and waits until it has arrived.
    void answer(std::uint64_t number)
    {
        sched::client_answer content;
        content.number = number;
        m_owner->send(sched::encodeMessage(sched::makeMessage(content)));
        sched::config_document last;
        const std::size_t before = m_documents;
        m_owner->send(sched::encodeMessage(sched::makeMessage(last)));
        BOOST_REQUIRE(runUntil([this, before] { return m_documents > before; }));
    }

    std::size_t answers = 0;

private:
    template <typename Condition>
    bool runUntil(const Condition &condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(std::chrono::milliseconds(20));
        return condition();
    }

    void onFrame(const std::string &frame)
    {
        const sched::message content = sched::decodeMessage(frame);
        if (const auto *call = content.content.Asclient_call())
            m_received = call->number;
    }

    static std::uint16_t freePort()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        return acceptor.local_endpoint().port();
    }

    const std::uint16_t m_port = freePort();
    runtime::manual_clock m_clock;
    runtime::logging m_lines{ m_clock, "error" };
    runtime::metrics m_counters;
    runtime::event_log m_log{ m_lines, m_counters };
    asio::io_context m_context;
    std::size_t m_documents = 0;
    std::optional<std::uint64_t> m_received;
    fleet::gateway_process m_gateway{ m_context,
                                      m_clock,
                                      m_log,
                                      { .address = "127.0.0.1", .port = m_port, .node = "gateway" },
                                      [this](const sched::config_document & /*document*/) {
                                          ++m_documents;
                                      } };
    std::shared_ptr<runtime::frame_link> m_owner;
};

} // namespace

// Guards against an answer to a call of the gateway's last process that reaches another client's
// call of the next one, which counts as stored then: review/6.
BOOST_AUTO_TEST_CASE(answersToCallsOfAnEarlierProcessAreIgnored)
{
    std::vector<std::uint64_t> earlier;
    {
        gateway_fixture first;
        for (const char *job : { "a", "b", "c" })
            earlier.push_back(first.call(job));
    }
    gateway_fixture second;
    std::uint64_t number = 0;
    for (const char *job : { "d", "e", "f" })
        number = second.call(job);
    for (const std::uint64_t each : earlier)
        second.answer(each);
    BOOST_TEST(second.answers == 0U);
    second.answer(number);
    BOOST_TEST(second.answers == 1U);
}
