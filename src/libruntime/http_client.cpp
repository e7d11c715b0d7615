#include "plantainpitch/runtime/http_client.h"

#include "http_client_pool.h"

namespace plantainpitch::runtime {

struct http_client::state
{
    state(boost::asio::io_context &ioContext, http_client_options options)
        : context(ioContext)
        , pool(std::make_shared<detail::http_client_pool>(ioContext, std::move(options)))
    {}

    boost::asio::io_context &context;
    std::shared_ptr<detail::http_client_pool> pool;
};

http_client::http_client(boost::asio::io_context &context, http_client_options options)
    : m_state(std::make_shared<state>(context, std::move(options)))
{}

http_client::~http_client()
{
    m_state->pool->shutDown();
}

void http_client::send(http_request request, std::chrono::milliseconds timeout,
                       std::function<void(http_result)> done)
{
    m_state->pool->send(std::make_shared<detail::http_client_call>(
                                m_state->context, std::move(request), std::move(done)),
                        timeout);
}

http_send sendThrough(http_client &client)
{
    return [&client](http_request request, std::chrono::milliseconds timeout,
                     std::function<void(http_result)> done) {
        client.send(std::move(request), timeout, std::move(done));
    };
}

} // namespace plantainpitch::runtime
