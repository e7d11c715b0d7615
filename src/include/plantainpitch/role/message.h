#pragma once

#include "plantainpitch/role/message/announce.h"
#include "plantainpitch/role/message/answer.h"
#include "plantainpitch/role/message/authority_grant.h"
#include "plantainpitch/role/message/authority_request.h"
#include "plantainpitch/role/message/cancel.h"
#include "plantainpitch/role/message/cancel_result.h"
#include "plantainpitch/role/message/config_update.h"
#include "plantainpitch/role/message/dispatch.h"
#include "plantainpitch/role/message/drain_request.h"
#include "plantainpitch/role/message/heartbeat.h"
#include "plantainpitch/role/message/hello.h"
#include "plantainpitch/role/message/peer_digest.h"
#include "plantainpitch/role/message/peer_pull.h"
#include "plantainpitch/role/message/peer_records.h"
#include "plantainpitch/role/message/proposal_refused.h"
#include "plantainpitch/role/message/record_settled.h"
#include "plantainpitch/role/message/record_submit.h"
#include "plantainpitch/role/message/refusal.h"
#include "plantainpitch/role/message/task_proposal.h"

#include <variant>

namespace plantainpitch {

/// Any message that entries and agents send to each other.
using message = std::variant<hello, announce, heartbeat, config_update, dispatch, cancel, answer,
                             refusal, cancel_result, task_proposal, proposal_refused, record_submit,
                             record_settled, authority_request, authority_grant, drain_request,
                             peer_digest, peer_pull, peer_records>;

} // namespace plantainpitch
