#pragma once

#include "plantainpitch/sched/evacuation_list.h"
#include "plantainpitch/sched/fleet_config.h"

#include <sched_generated.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainpitch::sched {

// Message and record types; src/libsched/sched.fbs describes their fields.
using step_spec = fb::step_specT;
using job_spec = fb::job_specT;
using submission = fb::submissionT;
using task_progress = fb::task_progressT;
using progress = fb::progressT;
using queue_record = fb::queue_recordT;
using member = fb::memberT;
using run_ref = fb::run_refT;
using worker_info = fb::worker_infoT;
using run_status = fb::run_statusT;
using run_end = fb::run_endT;
using run_refusal = fb::run_refusalT;
using crashed_run = fb::crashed_runT;
using worker_crash = fb::worker_crashT;
using owner_hello = fb::owner_helloT;
using member_hello = fb::member_helloT;
using agent_report = fb::agent_reportT;
using advice_request = fb::advice_requestT;
using worker_ticket = fb::worker_ticketT;
using advice = fb::adviceT;
using start_order = fb::start_orderT;
using agent_orders = fb::agent_ordersT;
using client_call = fb::client_callT;
using client_answer = fb::client_answerT;
using config_document = fb::config_documentT;
using evacuations = fb::evacuationsT;
using message = fb::messageT;

/// Wraps the content of a message.
template <typename Content>
message makeMessage(Content content)
{
    message result;
    result.content.Set(std::move(content));
    return result;
}

std::string encodeMessage(const message &content);
/// Throws error(protocol_error) if the bytes are not a message.
message decodeMessage(std::string_view bytes);

evacuations encodeEvacuations(const evacuation_list &list);
evacuation_list decodeEvacuations(const evacuations &content);

std::string encodeSubmission(const submission &record);
/// Throws error(protocol_error), or error(invalid_document) if it is no job that can run.
submission decodeSubmission(std::string_view bytes);

std::string encodeProgress(const progress &record);
/// Throws error(protocol_error).
progress decodeProgress(std::string_view bytes);

queue_record toRecord(const queue_config &queue);
/// Throws error(invalid_document) if no job can run by these settings.
queue_config fromRecord(const queue_record &record);
std::string encodeQueue(const queue_config &queue);
/// Throws error(protocol_error), or error(invalid_document) if no job can run by these settings.
queue_config decodeQueue(std::string_view bytes);

std::string encodeMember(const member &record);
/// Throws error(protocol_error).
member decodeMember(std::string_view bytes);

} // namespace plantainpitch::sched
