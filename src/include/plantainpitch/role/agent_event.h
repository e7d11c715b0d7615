#pragma once

#include "plantainpitch/role/entry_event.h"
#include "plantainpitch/role/service_result.h"
#include "plantainpitch/role/worker/worker_answer.h"

#include <variant>

namespace plantainpitch {

using agent_event = std::variant<connection_opened, connection_closed, message_received,
                                 worker_answer, service_result, timer_tick, stop_requested>;

} // namespace plantainpitch
