#include "plantainpitch/runtime/peer_connector.h"
#include "plantainpitch/runtime/peer_listener.h"
#include "plantainpitch/wire/frame_limits.h"
#include "plantainpitch/wire/frame_reader.h"
#include "plantainpitch/wire/message_codec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace plantainpitch;
using namespace plantainpitch::runtime;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

/// Handler that keeps what it is told, and lets a test wait for a condition on it.
class recorder : public peer_handler
{
public:
    struct record
    {
        std::vector<connection_id> opened;
        std::vector<hello> hellos;
        std::vector<message> messages;
        std::vector<std::string> closed;
        std::vector<std::string> ended;
    };

    void onOpened(connection_id connection, const hello &peer) override
    {
        change([&] {
            m_record.opened.push_back(connection);
            m_record.hellos.push_back(peer);
        });
    }
    void onMessage(connection_id, message content) override
    {
        change([&] { m_record.messages.push_back(std::move(content)); });
    }
    void onClosed(connection_id, const std::string &reason) override
    {
        change([&] { m_record.closed.push_back(reason); });
    }
    void onEnded(const std::string &reason) override
    {
        change([&] { m_record.ended.push_back(reason); });
    }

    template <typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 10s, [&] { return condition(m_record); });
    }

    bool waitForEnd(const std::string &reason)
    {
        return waitFor([&](const record &r) {
            return std::find(r.ended.begin(), r.ended.end(), reason) != r.ended.end();
        });
    }

private:
    template <typename Change>
    void change(Change doChange)
    {
        const std::lock_guard lock(m_mutex);
        doChange();
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    record m_record;
};

peer_options optionsOf(const std::string &name, std::uint64_t incarnation)
{
    return { .self = { .kind = process_kind::entry, .name = name, .incarnation = incarnation },
             .helloTimeout = 2'000ms,
             .idleTimeout = 2'000ms,
             .keepAliveInterval = 100ms,
             .minBackoff = 5ms,
             .maxBackoff = 20ms };
}

/// A listener whose context runs on two threads.
struct fixture
{
    boost::asio::io_context context;
    connection_table serverTable;
    connection_table clientTable;
    recorder server;
    recorder client;
    std::unique_ptr<peer_listener> listener;
    std::vector<std::jthread> threads;

    void listen(const peer_options &options = optionsOf("server", 1), std::uint16_t port = 0)
    {
        listener = std::make_unique<peer_listener>(context, host_port{ "127.0.0.1", port }, options,
                                                   serverTable, server);
        listener->start();
        if (threads.empty()) {
            for (int i = 0; i < 2; ++i)
                threads.emplace_back([this] {
                    const auto work = boost::asio::make_work_guard(context);
                    context.run();
                });
        }
    }

    [[nodiscard]] host_port address() const { return { "127.0.0.1", listener->port() }; }

    std::unique_ptr<peer_connector> connect(const peer_options &options = optionsOf("client", 2))
    {
        auto connector = std::make_unique<peer_connector>(context, address(), options, clientTable,
                                                          client, 1);
        connector->start();
        return connector;
    }

    /// A plain socket to the listener.
    tcp::socket rawSocket()
    {
        tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), listener->port() });
        return socket;
    }

    ~fixture()
    {
        context.stop();
        threads.clear();
    }
};

void writeFrame(tcp::socket &socket, const std::string &frame)
{
    boost::asio::write(socket, boost::asio::buffer(wire::framePrefix(frame.size()) + frame));
}

/// Reads until the other side closes.
void readToEnd(tcp::socket &socket)
{
    boost::system::error_code end;
    std::string bytes;
    boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), end);
}

} // namespace

// Guards against messages that are lost, changed or reordered on a connection.
BOOST_AUTO_TEST_CASE(messagesArriveInOrder)
{
    fixture f;
    f.listen();
    const auto connector = f.connect();
    BOOST_REQUIRE(f.client.waitFor([](const auto &r) { return r.opened.size() == 1; }));
    BOOST_REQUIRE(f.server.waitFor(
            [](const auto &r) { return r.hellos.size() == 1 && r.hellos[0].name == "client"; }));
    constexpr std::size_t count = 2'000;
    for (std::size_t i = 0; i < count; ++i)
        f.clientTable.send(1, peer_pull{ .stream = std::string(i % 999, 'x'), .fromOffset = i });
    BOOST_REQUIRE(f.server.waitFor([](const auto &r) { return r.messages.size() == count; }));
    BOOST_TEST(f.server.waitFor([](const auto &r) {
        for (std::size_t i = 0; i < count; ++i) {
            const auto *pull = std::get_if<peer_pull>(&r.messages[i]);
            if (!pull || pull->fromOffset != i || pull->stream.size() != i % 999)
                return false;
        }
        return true;
    }));
}

// Guards against a bad frame that does more than end its own connection.
BOOST_AUTO_TEST_CASE(badFramesCloseOnlyTheirConnection)
{
    fixture f;
    f.listen();
    const auto connector = f.connect();
    BOOST_REQUIRE(f.server.waitFor([](const auto &r) { return r.opened.size() == 1; }));

    tcp::socket socket = f.rawSocket();
    writeFrame(socket, wire::encodeFrame(optionsOf("raw", 3).self));
    BOOST_REQUIRE(f.server.waitFor([](const auto &r) { return r.opened.size() == 2; }));
    writeFrame(socket, "not a frame");
    readToEnd(socket);
    BOOST_TEST(f.server.waitForEnd("bad_frame"));
    BOOST_TEST(f.server.waitFor([](const auto &r) {
        return r.closed == std::vector<std::string>{ "bad_frame" } && r.messages.empty();
    }));
    BOOST_TEST(f.serverTable.size() == 1U);

    tcp::socket oversized = f.rawSocket();
    boost::asio::write(oversized, boost::asio::buffer(wire::framePrefix(wire::maxFrameBytes + 1)));
    readToEnd(oversized);
    BOOST_TEST(f.server.waitFor([](const auto &r) {
        return std::count(r.ended.begin(), r.ended.end(), "bad_frame") == 2 && r.closed.size() == 1;
    }));
}

// Guards against messages of a process that did not say who it is or speaks another version.
BOOST_AUTO_TEST_CASE(helloComesFirstAndInTime)
{
    fixture f;
    auto options = optionsOf("server", 1);
    options.helloTimeout = 100ms;
    f.listen(options);

    tcp::socket silent = f.rawSocket();
    BOOST_TEST(f.server.waitForEnd("hello_timeout"));
    tcp::socket rude = f.rawSocket();
    writeFrame(rude, wire::encodeFrame(drain_request{ "now" }));
    BOOST_TEST(f.server.waitForEnd("no_hello"));
    tcp::socket other = f.rawSocket();
    writeFrame(other, wire::encodeFrame(hello{ .protocolVersion = 2, .incarnation = 9 }));
    BOOST_TEST(f.server.waitForEnd("wrong_version"));
    tcp::socket self = f.rawSocket();
    writeFrame(self, wire::encodeFrame(options.self));
    BOOST_TEST(f.server.waitForEnd("own_process"));
    BOOST_TEST(f.server.waitFor([](const auto &r) { return r.opened.empty(); }));
}

// Guards against a dead link that is taken for a quiet one, and the reverse.
BOOST_AUTO_TEST_CASE(onlySilentConnectionsAreIdle)
{
    fixture f;
    auto options = optionsOf("server", 1);
    options.idleTimeout = 400ms;
    f.listen(options);
    const auto connector = f.connect(); // sends nothing but keep-alives
    tcp::socket silent = f.rawSocket();
    writeFrame(silent, wire::encodeFrame(optionsOf("raw", 3).self));
    BOOST_TEST(f.server.waitForEnd("idle"));
    BOOST_TEST(f.server.waitFor([](const auto &r) { return r.closed.size() == 1; }));
    BOOST_TEST(f.client.waitFor([](const auto &r) { return r.ended.empty(); }));
}

// Guards against a connector that gives up, and against a close that is not reported.
BOOST_AUTO_TEST_CASE(connectorComesBack)
{
    fixture f;
    f.listen();
    const auto connector = f.connect();
    BOOST_REQUIRE(f.server.waitFor([](const auto &r) { return r.opened.size() == 1; }));
    f.serverTable.closeAll("test");
    BOOST_TEST(f.client.waitFor([](const auto &r) { return r.closed.size() == 1; }));
    BOOST_TEST(f.client.waitFor(
            [](const auto &r) { return r.opened.size() == 2 && r.opened[0] != r.opened[1]; }));
}

// Guards against a slow reader that fills the sender's memory.
BOOST_AUTO_TEST_CASE(slowReadersAreDisconnected)
{
    fixture f;
    auto options = optionsOf("server", 1);
    options.maxQueuedBytes = 1024UL * 1024;
    options.idleTimeout = 60s;
    f.listen(options);
    tcp::socket socket = f.rawSocket();
    writeFrame(socket, wire::encodeFrame(optionsOf("raw", 3).self));
    BOOST_REQUIRE(f.server.waitFor([](const auto &r) { return r.opened.size() == 1; }));
    const drain_request large{ std::string(100'000, 'x') };
    // The system's own buffers take a few MB before the queue grows.
    for (int i = 0; i < 10'000 && f.serverTable.size() == 1; ++i)
        f.serverTable.send(1, large);
    BOOST_TEST(f.server.waitForEnd("send_queue_full"));
    f.serverTable.send(1, large); // to a connection that is gone: no effect
}
