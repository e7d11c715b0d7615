#include "support/json_body.h"

#include "plantainpitch/model/error.h"

namespace plantainpitch::standin {

namespace json = boost::json;

json::object parseObject(const std::string &body)
{
    boost::system::error_code code;
    auto value = json::parse(body.empty() ? "{}" : body, code);
    if (code || !value.is_object())
        throw error(error_kind::invalid_argument, "the body is not a JSON object",
                    "send a JSON object");
    return value.as_object();
}

std::int64_t number(const json::object &object, const char *name, std::int64_t fallback)
{
    const auto *value = object.if_contains(name);
    boost::system::error_code code;
    const auto result = value ? value->to_number<std::int64_t>(code) : fallback;
    return code ? fallback : result;
}

std::string text(const json::object &object, const char *name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool flag(const json::object &object, const char *name, bool fallback)
{
    const auto *value = object.if_contains(name);
    return value && value->is_bool() ? value->get_bool() : fallback;
}

runtime::http_response jsonResponse(const json::object &object)
{
    runtime::http_response response;
    response.body = json::serialize(object);
    return response;
}

} // namespace plantainpitch::standin
