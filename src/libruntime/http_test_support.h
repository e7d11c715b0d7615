#pragma once

#include "plantainpitch/runtime/http_client.h"
#include "plantainpitch/runtime/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plantainpitch::runtime::test {

/// An io_context on several threads, as in the programs.
class running_context
{
public:
    running_context()
        : m_guard(boost::asio::make_work_guard(context))
    {
        for (int i = 0; i < 4; ++i)
            m_threads.emplace_back([this] { context.run(); });
    }

    ~running_context()
    {
        m_guard.reset();
        context.stop();
        for (auto &thread : m_threads)
            thread.join();
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::vector<std::thread> m_threads;
};

/// Answers every request with its method, target and body; requests to /hold wait for release().
class echo_handler : public http_handler
{
public:
    void onRequest(std::uint64_t number, http_request request, http_responder respond) override
    {
        http_response response;
        response.contentType = "text/plain";
        response.body = request.method + ' ' + request.target + ' ' + request.body;
        if (request.target == "/throw")
            throw std::runtime_error("handler fault");
        {
            const std::lock_guard lock(m_mutex);
            ++m_requests;
            if (request.target == "/hold") {
                m_held.emplace(number, std::pair(respond, response));
                m_changed.notify_all();
                return;
            }
        }
        respond(std::move(response));
    }

    void onClientGone(std::uint64_t number) override
    {
        const std::lock_guard lock(m_mutex);
        m_gone += m_held.erase(number);
        m_changed.notify_all();
    }

    bool waitHeld(std::size_t count)
    {
        return wait([this, count] { return m_held.size() >= count; });
    }

    bool waitGone(std::size_t count)
    {
        return wait([this, count] { return m_gone >= count; });
    }

    void release()
    {
        decltype(m_held) held;
        {
            const std::lock_guard lock(m_mutex);
            held.swap(m_held);
        }
        for (auto &[number, answer] : held)
            answer.first(answer.second);
    }

    std::size_t requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    template <typename Condition>
    bool wait(Condition condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(10), condition);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::uint64_t, std::pair<http_responder, http_response>> m_held;
    std::size_t m_gone = 0;
    std::size_t m_requests = 0;
};

/// A blocking socket that sends and receives plain bytes.
class raw_socket
{
public:
    explicit raw_socket(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }

    explicit raw_socket(boost::asio::ip::tcp::acceptor &acceptor)
        : m_socket(m_context)
    {
        acceptor.accept(m_socket);
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    /// Everything up to and including \a end, or up to the end of the stream.
    std::string receiveUntil(const std::string &end)
    {
        std::string text;
        char byte = 0;
        boost::system::error_code code;
        while (text.find(end) == std::string::npos
               && m_socket.read_some(boost::asio::buffer(&byte, 1), code) == 1)
            text.push_back(byte);
        return text;
    }

    std::string receiveAll() { return receiveUntil("\1never sent\1"); }

    void close() { m_socket.close(); }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

/// Sends one request and waits for its result.
inline std::future<http_result>
sendAsync(http_client &client, http_request request,
          std::chrono::milliseconds timeout = std::chrono::seconds(10))
{
    auto promise = std::make_shared<std::promise<http_result>>();
    client.send(std::move(request), timeout,
                [promise](http_result result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

} // namespace plantainpitch::runtime::test
