#include "http_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch::runtime;
using namespace plantainpitch::runtime::test;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

/// A listener whose connections the test serves by hand.
struct raw_listener
{
    raw_listener()
        : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {}

    std::uint16_t port() { return acceptor.local_endpoint().port(); }

    boost::asio::io_context context;
    tcp::acceptor acceptor;
};

struct client_fixture
{
    explicit client_fixture(std::uint16_t port, std::size_t connections = 4)
        : client(running.context,
                 { .address = "127.0.0.1", .port = port, .maxConnections = connections })
    {}

    running_context running;
    http_client client;
};

const http_request get{ .method = "GET", .target = "/a" };
const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_SUITE(http_client_tests)

// Guards against responses that reach another request's callback when many run at once over few
// connections, and against calls that are lost while they wait for a connection.
BOOST_AUTO_TEST_CASE(manyRequestsGetTheirOwnResponses)
{
    echo_handler handler;
    running_context running;
    http_server server(running.context, {}, handler);
    server.start();
    http_client client(running.context,
                       { .address = "127.0.0.1", .port = server.port(), .maxConnections = 3 });
    std::vector<std::future<http_result>> results;
    results.reserve(300);
    for (int i = 0; i < 300; ++i)
        results.push_back(
                sendAsync(client, { .method = "POST", .target = "/t", .body = std::to_string(i) }));
    for (int i = 0; i < 300; ++i) {
        const auto result = results[i].get();
        BOOST_TEST((result.kind == http_result_kind::answered));
        BOOST_TEST(result.response.body == "POST /t " + std::to_string(i));
    }
}

// Guards against a failure to connect that is reported as possibly sent.
BOOST_AUTO_TEST_CASE(refusedConnectionIsConnectFailed)
{
    std::uint16_t port = 0;
    {
        raw_listener listener;
        port = listener.port();
    }
    client_fixture f(port);
    BOOST_TEST((sendAsync(f.client, get).get().kind == http_result_kind::connect_failed));
}

// Guards against a second send after a broken connection: the server must see one request only.
BOOST_AUTO_TEST_CASE(sentRequestIsNeverRepeated)
{
    raw_listener listener;
    client_fixture f(listener.port());
    auto result = sendAsync(f.client, get);
    raw_socket first(listener.acceptor);
    first.receiveUntil("\r\n\r\n");
    first.close();
    BOOST_TEST((result.get().kind == http_result_kind::broken));
    listener.acceptor.non_blocking(true);
    boost::system::error_code code;
    tcp::socket second(listener.context);
    listener.acceptor.accept(second, code);
    BOOST_TEST((code == boost::asio::error::would_block));
}

// Guards against a truncated response that is passed on as whole.
BOOST_AUTO_TEST_CASE(truncatedResponseIsBroken)
{
    raw_listener listener;
    client_fixture f(listener.port());
    auto result = sendAsync(f.client, get);
    raw_socket socket(listener.acceptor);
    socket.receiveUntil("\r\n\r\n");
    socket.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok");
    socket.close();
    BOOST_TEST((result.get().kind == http_result_kind::broken));
}

// Guards against a wait without end for a server that does not answer, and against the late
// response being taken for that of the next request.
BOOST_AUTO_TEST_CASE(silentServerTimesOut)
{
    raw_listener listener;
    client_fixture f(listener.port(), 1);
    auto result = sendAsync(f.client, get, 100ms);
    raw_socket silent(listener.acceptor);
    BOOST_TEST((result.get().kind == http_result_kind::timeout));
    silent.send(okResponse);
    result = sendAsync(f.client, get);
    raw_socket next(listener.acceptor);
    next.receiveUntil("\r\n\r\n");
    next.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
    BOOST_TEST(result.get().response.body == "next");
}

// Guards against a request in the queue that is reported as possibly sent.
BOOST_AUTO_TEST_CASE(timeoutInTheQueueIsConnectFailed)
{
    raw_listener listener;
    client_fixture f(listener.port(), 1);
    auto first = sendAsync(f.client, get);
    raw_socket socket(listener.acceptor);
    socket.receiveUntil("\r\n\r\n");
    BOOST_TEST((sendAsync(f.client, get, 50ms).get().kind == http_result_kind::connect_failed));
    socket.send(okResponse);
    BOOST_TEST((first.get().kind == http_result_kind::answered));
}

// Guards against a request that fails because the server closed the kept connection meanwhile.
BOOST_AUTO_TEST_CASE(closedKeptConnectionIsReplaced)
{
    raw_listener listener;
    client_fixture f(listener.port(), 1);
    for (int i = 0; i < 20; ++i) {
        auto result = sendAsync(f.client, get);
        raw_socket socket(listener.acceptor);
        socket.receiveUntil("\r\n\r\n");
        socket.send(okResponse);
        BOOST_TEST((result.get().kind == http_result_kind::answered));
        socket.close();
    }
}

// Guards against a response without a length that is cut off or never completed.
BOOST_AUTO_TEST_CASE(responseUntilCloseIsWhole)
{
    raw_listener listener;
    client_fixture f(listener.port());
    auto result = sendAsync(f.client, get);
    raw_socket socket(listener.acceptor);
    socket.receiveUntil("\r\n\r\n");
    socket.send("HTTP/1.1 200 OK\r\n\r\nall of it");
    socket.close();
    BOOST_TEST(result.get().response.body == "all of it");
}

// Guards against calls and connections that refer to each other and are never freed: programs that
// stop while a call is on its way ended with a leak report.
BOOST_AUTO_TEST_CASE(aCallOnItsWayIsFreedWithTheClient)
{
    raw_listener listener;
    const auto token = std::make_shared<int>();
    const std::weak_ptr<int> left = token;
    {
        client_fixture f(listener.port());
        f.client.send(get, 60s, [held = token](const http_result & /*result*/) {});
        raw_socket socket(listener.acceptor);
        socket.receiveUntil("\r\n\r\n");
        BOOST_TEST(left.use_count() == 2);
    }
    BOOST_TEST(left.use_count() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
