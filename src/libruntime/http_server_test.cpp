#include "http_test_support.h"
#include "plantainpitch/model/error.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>

using namespace plantainpitch;
using namespace plantainpitch::runtime;
using namespace plantainpitch::runtime::test;
using namespace std::chrono_literals;

namespace {

struct server_fixture
{
    explicit server_fixture(http_server_options options = {})
        : server(running.context, std::move(options), handler)
    {
        server.start();
    }

    echo_handler handler;
    running_context running;
    http_server server;
};

/// Answers and stops the server within the same call.
class stopping_handler : public http_handler
{
public:
    void onRequest(std::uint64_t /*number*/, http_request /*request*/,
                   http_responder respond) override
    {
        respond({});
        server->stopAccepting();
    }

    void onClientGone(std::uint64_t /*number*/) override {}

    http_server *server = nullptr;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const std::string plainGet = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_tests)

// Guards against a connection that serves one request only, and against a lost or mixed-up
// response when the client sends several requests at once.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredInOrder)
{
    server_fixture f;
    raw_socket socket(f.server.port());
    socket.send("POST /one HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" + plainGet
                + "GET /two HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto text = socket.receiveAll();
    const auto first = text.find("POST /one abc");
    const auto second = text.find("GET /a ");
    const auto third = text.find("GET /two ");
    BOOST_TEST(first < second);
    BOOST_TEST(second < third);
    BOOST_TEST(third != std::string::npos);
    BOOST_TEST(contains(text, "Connection: close"));
}

// Guards against a header that exhausts memory.
BOOST_AUTO_TEST_CASE(largeHeaderIsRefused)
{
    server_fixture f({ .maxHeaderBytes = 1024 });
    raw_socket socket(f.server.port());
    socket.send("GET / HTTP/1.1\r\nX: " + std::string(4096, 'a'));
    const auto text = socket.receiveAll();
    BOOST_TEST(contains(text, "431"));
    BOOST_TEST(contains(text, R"("kind":"too_large")"));
    BOOST_TEST(f.handler.requests() == 0U);
}

// Guards against a body that exhausts memory, with a declared length and in chunks.
BOOST_AUTO_TEST_CASE(largeBodyIsRefused)
{
    server_fixture f({ .maxBodyBytes = 1024 });
    for (const std::string head :
         { "Content-Length: 2000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n7D0\r\n" }) {
        raw_socket socket(f.server.port());
        socket.send("POST / HTTP/1.1\r\nHost: x\r\n" + head + std::string(2000, 'b'));
        const auto text = socket.receiveAll();
        BOOST_TEST(contains(text, "413"));
        BOOST_TEST(contains(text, R"("remedy":"send a smaller body")"));
    }
    BOOST_TEST(f.handler.requests() == 0U);
}

// Guards against bytes that are not HTTP reaching the handler.
BOOST_AUTO_TEST_CASE(malformedRequestIsRefused)
{
    server_fixture f;
    raw_socket socket(f.server.port());
    socket.send("no http at all\r\n\r\n");
    const auto text = socket.receiveAll();
    BOOST_TEST(contains(text, " 400 "));
    BOOST_TEST(contains(text, R"("kind":"protocol_error")"));
}

// Guards against a slow client that holds a connection for ever.
BOOST_AUTO_TEST_CASE(slowRequestTimesOut)
{
    server_fixture f({ .readTimeout = 50ms });
    raw_socket socket(f.server.port());
    socket.send("GET / HT");
    const auto text = socket.receiveAll();
    BOOST_TEST(contains(text, "408"));
    BOOST_TEST(contains(text, R"("kind":"timeout")"));
}

// Guards against idle connections that are never closed.
BOOST_AUTO_TEST_CASE(idleConnectionIsClosed)
{
    server_fixture f({ .idleTimeout = 50ms });
    raw_socket socket(f.server.port());
    BOOST_TEST(socket.receiveAll().empty());
}

// Guards against more connections than the limit, and against a refusal without a reason.
BOOST_AUTO_TEST_CASE(tooManyConnectionsAreRefused)
{
    server_fixture f({ .maxConnections = 1, .minWaitBeforeEviction = 1h });
    raw_socket first(f.server.port());
    first.send(plainGet);
    BOOST_TEST(contains(first.receiveUntil("GET /a "), "200"));
    raw_socket second(f.server.port());
    const auto text = second.receiveAll();
    BOOST_TEST(contains(text, "503"));
    BOOST_TEST(contains(text, R"("kind":"not_ready")"));
}

// Guards against a process without room for others because a connection is kept and not used.
BOOST_AUTO_TEST_CASE(theConnectionThatHasWaitedLongestGivesWay)
{
    server_fixture f({ .maxConnections = 2, .minWaitBeforeEviction = 0ms });
    raw_socket holding(f.server.port());
    holding.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(f.handler.waitHeld(1));
    raw_socket idle(f.server.port());
    idle.send(plainGet);
    BOOST_TEST(contains(idle.receiveUntil("GET /a "), "200"));
    raw_socket next(f.server.port());
    next.send(plainGet);
    BOOST_TEST(contains(next.receiveUntil("GET /a "), "200"));
    BOOST_TEST(idle.receiveAll().empty());
    // A request that is handled is never broken off.
    f.handler.release();
    BOOST_TEST(contains(holding.receiveUntil("GET /hold "), "200"));
}

// Guards against trailers and chunk extensions that grow in memory for as long as they are sent.
BOOST_AUTO_TEST_CASE(trailersAndChunkExtensionsAreLimitedLikeHeaders)
{
    server_fixture f({ .maxHeaderBytes = 1024 });
    for (const std::string &rest :
         { "0\r\nX: " + std::string(4096, 'a'), "5;" + std::string(4096, 'a') }) {
        raw_socket socket(f.server.port());
        socket.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + rest);
        BOOST_TEST(contains(socket.receiveAll(), "431"));
    }
    BOOST_TEST(f.handler.requests() == 0U);
}

// Guards against a limit that also rejects trailers within it.
BOOST_AUTO_TEST_CASE(trailersWithinTheLimitAreAccepted)
{
    server_fixture f({ .maxHeaderBytes = 1024 });
    raw_socket socket(f.server.port());
    socket.send("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3;name=value\r\nabc\r\n0\r\nX: "
                + std::string(500, 't') + "\r\n\r\n");
    BOOST_TEST(contains(socket.receiveUntil("POST /a abc"), "200"));
}

// Guards against many incomplete requests that together exhaust memory, each within the limits.
BOOST_AUTO_TEST_CASE(theLargestIncompleteRequestGivesWayWhenTooMuchIsHeld)
{
    std::atomic<int> reached{ 0 };
    server_fixture f({ .maxHeldBytes = 4096, .limitReached = [&reached](const char *reason) {
                          reached += std::string(reason) == "held_bytes" ? 1 : 0;
                      } });
    const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: ";
    raw_socket large(f.server.port());
    large.send(head + "5000\r\n\r\n" + std::string(3000, 'x'));
    raw_socket small(f.server.port());
    small.send(head + "2000\r\n\r\n" + std::string(1500, 'y'));
    const auto text = large.receiveAll();
    BOOST_TEST(contains(text, "503"));
    BOOST_TEST(contains(text, "Retry-After: 1"));
    small.send(std::string(500, 'y'));
    BOOST_TEST(contains(small.receiveUntil("POST /a " + std::string(1500, 'y')), "200"));
    BOOST_TEST(reached.load() == 1);
}

// Guards against work that goes on for a client that has gone.
BOOST_AUTO_TEST_CASE(goneClientIsReported)
{
    server_fixture f;
    raw_socket socket(f.server.port());
    socket.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(f.handler.waitHeld(1));
    BOOST_TEST(f.server.openRequests() == 1U);
    socket.close();
    BOOST_TEST(f.handler.waitGone(1));
    BOOST_TEST(f.server.openRequests() == 0U);
}

// Guards against a planned stop that cuts a request: the one in flight and one that was already
// on its way in the listen queue are answered, and the idle connection is closed.
BOOST_AUTO_TEST_CASE(stopAcceptingAnswersRequestsInFlight)
{
    server_fixture f({ .firstRequestTime = std::chrono::seconds(60) });
    raw_socket held(f.server.port());
    held.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(f.handler.waitHeld(1));
    raw_socket idle(f.server.port());
    idle.send(plainGet);
    idle.receiveUntil("GET /a ");
    raw_socket fresh(f.server.port());
    f.server.stopAccepting();
    BOOST_TEST(idle.receiveAll().empty());
    fresh.send(plainGet);
    BOOST_TEST(contains(fresh.receiveAll(), "GET /a "));
    f.handler.release();
    const auto text = held.receiveAll();
    BOOST_TEST(contains(text, "GET /hold"));
    BOOST_TEST(contains(text, "Connection: close"));
    BOOST_CHECK_THROW(raw_socket(f.server.port()), boost::system::system_error);
}

// Guards against a connection that stays open for the idle timeout because the stop came between
// the writing of a response and its completion. A handler that stops the server hits that moment.
BOOST_AUTO_TEST_CASE(stopDuringTheWritingOfAResponseClosesTheConnection)
{
    stopping_handler handler;
    running_context running;
    http_server server(running.context, {}, handler);
    handler.server = &server;
    server.start();
    raw_socket socket(server.port());
    socket.send(plainGet);
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(contains(socket.receiveAll(), "HTTP/1.1 200"));
    BOOST_TEST((std::chrono::steady_clock::now() - begin < 5s));
}

// Guards against a stop that cuts a request whose bytes were read, but not handled yet. The context
// is polled by hand, so that the read and the stop are always in the same round.
BOOST_AUTO_TEST_CASE(stopAnswersARequestThatHasJustBeenRead)
{
    echo_handler handler;
    boost::asio::io_context context;
    http_server server(context, {}, handler);
    server.start();
    raw_socket socket(server.port());
    const auto pollUntil = [&context](const std::function<bool()> &condition) {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.poll();
    };
    socket.send(plainGet);
    pollUntil([&handler] { return handler.requests() == 1; });
    context.poll();
    socket.receiveUntil("GET /a ");
    socket.send(plainGet);
    std::this_thread::sleep_for(50ms); // loopback delivers before the stop
    server.stopAccepting();
    pollUntil([&handler] { return handler.requests() == 2; });
    BOOST_TEST(handler.requests() == 2U);
    pollUntil([&server] { return server.openRequests() == 0; });
    BOOST_TEST(contains(socket.receiveUntil("GET /a "), "Connection: close"));
}

// Guards against an exception that ends the process or leaves the caller without a response.
BOOST_AUTO_TEST_CASE(throwingHandlerIsAnsweredWithAnError)
{
    server_fixture f;
    raw_socket socket(f.server.port());
    socket.send("GET /throw HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    BOOST_TEST(contains(socket.receiveAll(), R"("kind":"internal_error")"));
}

// Guards against a client that waits for the interim response before it sends the body.
BOOST_AUTO_TEST_CASE(expectContinueIsAnswered)
{
    server_fixture f;
    raw_socket socket(f.server.port());
    socket.send("POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
                "Connection: close\r\nContent-Length: 2\r\n\r\n");
    BOOST_TEST(contains(socket.receiveUntil("\r\n\r\n"), "100 Continue"));
    socket.send("hi");
    BOOST_TEST(contains(socket.receiveAll(), "POST /a hi"));
}

// Guards against a start that goes on without its port.
BOOST_AUTO_TEST_CASE(occupiedPortIsATypedError)
{
    server_fixture f;
    BOOST_CHECK_EXCEPTION(http_server(f.running.context, { .port = f.server.port() }, f.handler),
                          error,
                          [](const error &e) { return e.kind() == error_kind::invalid_argument; });
}

BOOST_AUTO_TEST_SUITE_END()
