#pragma once

#include "plantainpitch/role/action/answer_caller.h"
#include "plantainpitch/role/entry_event.h"
#include "plantainpitch/runtime/clock.h"
#include "plantainpitch/runtime/http_handler.h"
#include "plantainpitch/runtime/pending_responses.h"

#include <functional>

namespace plantainpitch::entry {

/// Turns requests on the callers' port into events, and answers into responses.
class caller_handler : public runtime::http_handler
{
public:
    using deliver = std::function<void(const entry_event &)>;

    caller_handler(const runtime::clock &time, deliver deliverEvent);

    void onRequest(std::uint64_t requestNumber, runtime::http_request request,
                   runtime::http_responder respond) override;
    void onClientGone(std::uint64_t requestNumber) override;

    void answer(const answer_caller &answer);

private:
    const runtime::clock &m_time;
    deliver m_deliver;
    runtime::pending_responses m_pending;
};

} // namespace plantainpitch::entry
