#include "plantainpitch/runtime/caller_http.h"

#include "plantainpitch/runtime/error_response.h"

#include <boost/algorithm/string/predicate.hpp>

#include <charconv>
#include <optional>

namespace plantainpitch::runtime {

namespace {

constexpr std::size_t maxKeyBytes = 256;
constexpr std::int64_t maxTimeoutMs = 24L * 3600 * 1000;

struct bad_request
{
    unsigned status;
    std::string kind;
    std::string message;
    std::string remedy;
};

[[noreturn]] void reject(const std::string &message, const std::string &remedy)
{
    throw bad_request{ 400, "invalid_argument", message, remedy };
}

template <typename Number>
std::optional<Number> numberIn(const std::string &text)
{
    Number number{};
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, number);
    if (status != std::errc() || rest != end)
        return std::nullopt;
    return number;
}

/// Removes and returns the path segment at the start of \a path, up to a slash or a query.
std::string takeSegment(std::string &path)
{
    const std::size_t end = std::min(path.find_first_of("/?"), path.size());
    std::string segment = path.substr(0, end);
    path.erase(0, end);
    return segment;
}

void readTarget(std::string path, service_request &request)
{
    const auto takePrefix = [&path](const std::string &prefix) {
        if (!boost::algorithm::starts_with(path, prefix))
            return false;
        path.erase(0, prefix.size());
        return true;
    };
    bool found = takePrefix("/v1/accounts/");
    if (found) {
        request.account = takeSegment(path);
        found = takePrefix("/services/");
    }
    if (found)
        request.templateName = takeSegment(path);
    if (!found || request.account.empty() || request.templateName.empty()) {
        throw bad_request{ 404, "not_found", "there is no such path on the callers' port",
                           "use /v1/accounts/{account}/services/{template}/{path}" };
    }
    if (request.account.find('%') != std::string::npos
        || request.templateName.find('%') != std::string::npos)
        reject("account and template names contain no encoded characters", "use plain names");
    request.path = boost::algorithm::starts_with(path, "/") ? path : '/' + path;
}

std::int64_t readTimeout(const std::string &text)
{
    if (text.empty())
        return 0;
    const auto number = numberIn<std::int64_t>(text);
    if (!number || *number < 1 || *number > maxTimeoutMs) {
        reject("X-Request-Timeout-Ms is not a number of milliseconds from 1 to "
                       + std::to_string(maxTimeoutMs),
               "correct the header or leave it out");
    }
    return *number;
}

/// The task of the system that makes the request, as its two headers say.
std::optional<held_task> readOrigin(const std::string &task, const std::string &attempt)
{
    if (task.empty() && attempt.empty())
        return std::nullopt;
    const std::size_t slash = task.rfind('/');
    const auto index = slash == std::string::npos || slash == 0
                               ? std::nullopt
                               : numberIn<std::uint32_t>(task.substr(slash + 1));
    const auto number = numberIn<std::uint64_t>(attempt);
    if (!index || !number) {
        reject("X-Plantain-Task and X-Plantain-Attempt do not name a task and its attempt",
               "send both, as the worker gave them to the task");
    }
    return held_task{ .task = { .job = task.substr(0, slash), .index = *index },
                      .attempt = { .value = *number } };
}

caller_request parse(std::uint64_t callerId, http_request &request, std::int64_t nowMs)
{
    caller_request result{ .callerId = callerId,
                           .idempotencyKey = request.header("Idempotency-Key"),
                           .timeoutMs = readTimeout(request.header("X-Request-Timeout-Ms")),
                           .nowMs = nowMs };
    if (result.idempotencyKey.size() > maxKeyBytes) {
        reject("Idempotency-Key is longer than " + std::to_string(maxKeyBytes) + " bytes",
               "use a shorter key");
    }
    readTarget(request.target, result.request);
    result.request.origin =
            readOrigin(request.header("X-Plantain-Task"), request.header("X-Plantain-Attempt"));
    result.request.contentType = request.header("Content-Type");
    result.request.method = std::move(request.method);
    result.request.body = std::move(request.body);
    return result;
}

} // namespace

std::variant<caller_request, http_response>
parseCallerRequest(std::uint64_t callerId, http_request request, std::int64_t nowMs)
{
    try {
        return parse(callerId, request, nowMs);
    } catch (const bad_request &bad) {
        http_response response = errorResponse(bad.status, bad.kind, bad.message, bad.remedy);
        response.headers = { { "X-Plantain-Outcome", "not-run" },
                             { "X-Plantain-Reason", bad.kind } };
        return response;
    }
}

http_response toHttpResponse(const answer_caller &answer)
{
    http_response response;
    if (answer.outcome == outcome_kind::answered) {
        response.status = answer.content.status;
        response.contentType = answer.content.contentType;
        response.body = answer.content.body;
    } else {
        const std::string message = answer.outcome == outcome_kind::not_run
                                            ? "the request did not run: "
                                            : "the request may have run: ";
        response =
                errorResponse(answer.status, answer.reason, message + answer.reason, answer.remedy);
        response.headers.emplace_back("X-Plantain-Reason", answer.reason);
    }
    response.headers.emplace_back("X-Plantain-Outcome", toString(answer.outcome));
    response.headers.emplace_back("X-Request-Id", answer.requestId);
    return response;
}

} // namespace plantainpitch::runtime
