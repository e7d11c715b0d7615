#pragma once

#include "agent_table.h"
#include "plantainpitch/log/config_entity.h"
#include "plantainpitch/log/job_state.h"
#include "plantainpitch/model/error.h"
#include "plantainpitch/role/action/answer_admin.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>

namespace plantainpitch::detail {

boost::json::object toJson(const job_state &job);
boost::json::object toJson(const config_entity &entity);
boost::json::object toJson(const known_agent &agent);

answer_admin makeAdminAnswer(std::uint64_t adminId, std::uint32_t status,
                             const boost::json::object &body);
/// Body {"error":{"kind","message","remedy"}} plus \a details, with the HTTP status of the kind.
answer_admin makeAdminError(std::uint64_t adminId, const error &problem,
                            const boost::json::object &details = {});

} // namespace plantainpitch::detail
