#pragma once

#include "plantainpitch/runtime/http_handler.h"
#include "plantainpitch/runtime/metrics.h"

#include <functional>
#include <string>

namespace plantainpitch::agent {

/// Answers /healthz, /metrics and /status of an agent.
class status_handler : public runtime::http_handler
{
public:
    status_handler(const runtime::metrics &counters, std::function<std::string()> status);

    void onRequest(std::uint64_t requestNumber, runtime::http_request request,
                   runtime::http_responder respond) override;
    void onClientGone(std::uint64_t requestNumber) override;

private:
    const runtime::metrics &m_metrics;
    std::function<std::string()> m_status;
};

} // namespace plantainpitch::agent
