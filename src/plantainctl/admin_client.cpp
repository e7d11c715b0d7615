#include "admin_client.h"

#include "command_failure.h"
#include "plantainpitch/runtime/http_client.h"

#include <boost/json/parse.hpp>

#include <cctype>

namespace plantainpitch::ctl {

namespace json = boost::json;
using runtime::http_response;
using runtime::http_result;
using runtime::http_result_kind;

namespace {

std::string textOf(const json::object &object, const char *name)
{
    const auto *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

exit_code exitCodeOf(const std::string &kind)
{
    if (kind == "revision_conflict")
        return exit_code::revision_conflict;
    // The entry does not know yet whether the log has the change.
    return kind == "timeout" ? exit_code::no_answer : exit_code::refused;
}

[[noreturn]] void throwServerError(unsigned status, const json::object &body)
{
    const auto *fault = body.if_contains("error");
    if (!fault || !fault->is_object())
        throw command_failure(exit_code::refused, "protocol_error",
                              "the server answered with status " + std::to_string(status),
                              "check that --server is the administration port of an entry");
    const auto &details = fault->get_object();
    const auto kind = textOf(details, "kind");
    throw command_failure(exitCodeOf(kind), kind, textOf(details, "message"),
                          textOf(details, "remedy"));
}

} // namespace

admin_client::admin_client(std::string address, std::uint16_t port,
                           std::chrono::milliseconds timeout)
    : m_address(std::move(address))
    , m_port(port)
    , m_timeout(timeout)
{}

json::object admin_client::call(const std::string &method, const std::string &target,
                                const std::string &body) const
{
    runtime::http_request request{ .method = method, .target = target, .body = body };
    if (!body.empty())
        request.headers.emplace_back("Content-Type", "application/json");
    const auto response = send(std::move(request));
    boost::system::error_code code;
    const auto value = json::parse(response.body, code);
    auto object = !code && value.is_object() ? value.get_object() : json::object();
    if (response.status >= 300)
        throwServerError(response.status, object);
    if (code || !value.is_object())
        throw command_failure(exit_code::no_answer, "protocol_error",
                              "the server's answer is not a JSON object",
                              "check that --server is the administration port of an entry");
    return object;
}

http_response admin_client::send(runtime::http_request request) const
{
    boost::asio::io_context context;
    http_result result;
    {
        runtime::http_client client(context, { .address = m_address, .port = m_port });
        client.send(std::move(request), m_timeout,
                    [&result](http_result received) { result = std::move(received); });
    }
    context.run();
    const auto server = m_address + ':' + std::to_string(m_port);
    if (result.kind == http_result_kind::connect_failed)
        throw command_failure(exit_code::unreachable, "unreachable", "cannot reach " + server,
                              "give the administration port of a running entry with --server or "
                              "PLANTAIN_SERVER");
    if (result.kind != http_result_kind::answered)
        throw command_failure(exit_code::no_answer, "no_answer",
                              "no answer from " + server + "; the call may have taken effect",
                              "look at the present state before you repeat the call");
    return result.response;
}

std::string encodePath(const std::string &name)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : name) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string("-._~/").find(c) != std::string::npos)
            result += c;
        else
            result.append({ '%', digits[byte >> 4U], digits[byte & 15U] });
    }
    return result;
}

} // namespace plantainpitch::ctl
