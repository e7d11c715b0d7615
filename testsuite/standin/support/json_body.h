#pragma once

#include "plantainpitch/runtime/http_response.h"

#include <boost/json.hpp>

#include <cstdint>
#include <string>

namespace plantainpitch::standin {

/// Parses a JSON object. Throws error(invalid_argument) if it is none.
boost::json::object parseObject(const std::string &body);

/// Members of an object; \a fallback if the member is absent or of another type.
std::int64_t number(const boost::json::object &object, const char *name, std::int64_t fallback);
std::string text(const boost::json::object &object, const char *name);
bool flag(const boost::json::object &object, const char *name, bool fallback);

/// Response with status 200 and the object as its body.
runtime::http_response jsonResponse(const boost::json::object &object);

} // namespace plantainpitch::standin
