#pragma once

#include "plantainpitch/role/action/answer_admin.h"
#include "plantainpitch/role/entry_event.h"
#include "plantainpitch/runtime/http_handler.h"
#include "plantainpitch/runtime/metrics.h"
#include "plantainpitch/runtime/pending_responses.h"

#include <functional>

namespace plantainpitch::entry {

/// Answers /healthz, /readyz and /metrics, and turns the other requests on the administration
/// port into events.
class admin_handler : public runtime::http_handler
{
public:
    using deliver = std::function<void(const entry_event &)>;

    admin_handler(const runtime::metrics &counters, std::function<bool()> ready,
                  deliver deliverEvent);

    void onRequest(std::uint64_t requestNumber, runtime::http_request request,
                   runtime::http_responder respond) override;
    void onClientGone(std::uint64_t requestNumber) override;

    void answer(const answer_admin &answer);

private:
    const runtime::metrics &m_metrics;
    std::function<bool()> m_ready;
    deliver m_deliver;
    runtime::pending_responses m_pending;
};

} // namespace plantainpitch::entry
