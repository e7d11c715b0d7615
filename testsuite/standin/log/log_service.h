#pragma once

#include "log_faults.h"
#include "log_store.h"
#include "plantainpitch/runtime/http_handler.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace plantainpitch::standin {

struct log_service_options
{
    std::size_t retentionBatches = 1'000'000;
    std::int64_t appendDelayMs = 0;
    std::int64_t maxAppendsPerSecond = 0; ///< 0: no limit
};

/// HTTP interface of the platform's log (docs/design.md, section 9) over a log_store.
class log_service : public runtime::http_handler
{
public:
    log_service(boost::asio::io_context &context, log_service_options options);

    void onRequest(std::uint64_t number, runtime::http_request request,
                   runtime::http_responder respond) override;
    void onClientGone(std::uint64_t /*number*/) override {}

private:
    void control(const runtime::http_request &request, const runtime::http_responder &respond);
    void append(const std::string &stream, runtime::http_request request,
                runtime::http_responder respond);
    void read(const std::string &stream, std::uint64_t from, std::size_t max,
              runtime::http_responder respond);
    [[nodiscard]] runtime::http_response readNow(const std::string &stream, std::uint64_t from,
                                                 std::size_t max);
    log_faults faults();
    bool takeLostAnswer();
    std::int64_t appendWaitMs(std::int64_t delayMs);
    void after(std::int64_t delayMs, std::function<void()> action);

    boost::asio::io_context &m_context;
    const log_service_options m_options;
    log_store m_store;
    std::mutex m_mutex;
    log_faults m_faults; ///< guarded by m_mutex
    std::int64_t m_nextAppendUs = 0; ///< guarded by m_mutex; earliest time of the next append
};

} // namespace plantainpitch::standin
