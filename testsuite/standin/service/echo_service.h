#pragma once

#include "plantainpitch/runtime/http_handler.h"
#include "support/journal.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace plantainpitch::standin {

struct echo_service_options
{
    std::int64_t serviceMs = 5;
    std::string vm; ///< shown in answers and in the journal
    std::string journalPath;
};

/// Stand-in for a customer's service. Each answer has the content of its own request, so that a
/// caller can tell whether it got the right one.
class echo_service : public runtime::http_handler
{
public:
    echo_service(boost::asio::io_context &context, echo_service_options options);

    void onRequest(std::uint64_t number, runtime::http_request request,
                   runtime::http_responder respond) override;
    void onClientGone(std::uint64_t /*number*/) override {}

private:
    void control(const runtime::http_request &request, const runtime::http_responder &respond);
    void answer(const runtime::http_request &request, std::int64_t counter,
                const runtime::http_responder &respond);

    boost::asio::io_context &m_context;
    const echo_service_options m_options;
    journal m_journal;
    std::atomic<std::int64_t> m_serviceMs;
    std::atomic<bool> m_fail{ false };
    std::atomic<std::int64_t> m_truncateNext{ 0 };
    std::atomic<std::int64_t> m_counter{ 0 };
};

} // namespace plantainpitch::standin
