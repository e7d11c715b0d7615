#pragma once

#include "plantainpitch/log/append_call.h"
#include "plantainpitch/log/read_call.h"
#include "plantainpitch/role/action/answer_admin.h"
#include "plantainpitch/role/action/answer_caller.h"
#include "plantainpitch/role/action/close_connection.h"
#include "plantainpitch/role/action/count_metric.h"
#include "plantainpitch/role/action/exit_process.h"
#include "plantainpitch/role/action/observe_latency.h"
#include "plantainpitch/role/action/send_message.h"
#include "plantainpitch/role/action/service_call.h"
#include "plantainpitch/role/action/submit_record.h"
#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/role/worker/worker_call.h"

#include <variant>
#include <vector>

namespace plantainpitch {

/// A side effect that a role, or one of its components, requests from its owner.
using action = std::variant<send_message, close_connection, answer_caller, answer_admin,
                            append_call, read_call, submit_record, worker_call, service_call,
                            count_metric, observe_latency, write_log, exit_process>;

using action_list = std::vector<action>;

} // namespace plantainpitch
