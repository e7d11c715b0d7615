#pragma once

#include "plantainpitch/model/resources.h"
#include "plantainpitch/role/worker/worker_answer.h"

#include <boost/json/object.hpp>

#include <string>

namespace plantainpitch::runtime::detail {

boost::json::object toJson(const resources &amount);

/// Fills \a answer from a successful response. The result stays no_answer if the body is not what
/// the worker interface describes: the call may have taken effect.
void parseWorkerBody(const std::string &body, worker_answer &answer);

/// Fills \a answer from an error response.
void parseWorkerProblem(const std::string &body, worker_answer &answer);

} // namespace plantainpitch::runtime::detail
