#pragma once

#include "plantainpitch/runtime/http_handler.h"
#include "worker_state.h"

#include <boost/asio/steady_timer.hpp>

namespace plantainpitch::standin {

/// HTTP interface of the platform's worker (docs/design.md, section 9) over a worker_state.
class worker_service : public runtime::http_handler
{
public:
    worker_service(boost::asio::io_context &context, worker_options options);

    void onRequest(std::uint64_t number, runtime::http_request request,
                   runtime::http_responder respond) override;
    void onClientGone(std::uint64_t /*number*/) override {}

private:
    runtime::http_response answer(const runtime::http_request &request);
    boost::json::object handle(const runtime::http_request &request);
    void tick();

    worker_state m_state;
    boost::asio::steady_timer m_timer;
};

} // namespace plantainpitch::standin
