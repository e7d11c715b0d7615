#pragma once

#include "load_options.h"
#include "load_report.h"
#include "plantainpitch/runtime/host_port.h"
#include "plantainpitch/runtime/http_client.h"
#include "server_choice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace plantainpitch::load {

/// Open-loop load: requests leave at random times with the given mean rate, whether or not earlier
/// ones were answered. Latency counts from the planned time, so that a slow server cannot hide it.
/// The io_context must run on one thread.
class load_generator
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    load_generator(boost::asio::io_context &context, load_options options,
                   const std::vector<runtime::host_port> &servers);

    /// Schedules all requests. SIGINT or SIGTERM ends the sending early. The io_context ends when
    /// each request has its outcome.
    void start();
    load_report &report() { return m_report; }

private:
    struct planned_request;
    using request_pointer = std::shared_ptr<planned_request>;

    void scheduleNext();
    void sendDue();
    request_pointer makeRequest();
    void send(const request_pointer &planned);
    void onResult(const request_pointer &planned, std::size_t server,
                  const runtime::http_result &result);
    void stopSending();
    void closeAfterLast();
    [[nodiscard]] outcome outcomeOf(const planned_request &planned,
                                    const runtime::http_result &result) const;

    const load_options m_options;
    const std::string m_target; ///< before the path
    std::vector<std::unique_ptr<runtime::http_client>> m_clients;
    server_choice m_choice;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gapSeconds;
    time_point m_next;
    time_point m_end;
    std::uint64_t m_number = 0;
    std::uint64_t m_open = 0; ///< requests without an outcome
    bool m_allSent = false;
    load_report m_report;
};

} // namespace plantainpitch::load
