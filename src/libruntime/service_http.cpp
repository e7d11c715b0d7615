#include "plantainpitch/runtime/service_http.h"

#include <algorithm>

namespace plantainpitch::runtime {

http_request toHttpRequest(const service_call &call)
{
    http_request request{ .method = call.request.method,
                          .target = call.request.path,
                          .headers = { { "X-Request-Id", call.id.toString() },
                                       { "X-Plantain-Account", call.request.account } },
                          .body = call.request.body };
    if (!call.request.contentType.empty())
        request.headers.emplace_back("Content-Type", call.request.contentType);
    return request;
}

std::chrono::milliseconds timeoutOf(const service_call &call)
{
    const auto timeout =
            std::chrono::ceil<std::chrono::milliseconds>(std::chrono::microseconds(call.timeoutUs));
    return std::max(timeout, std::chrono::milliseconds(1));
}

service_result toServiceResult(std::uint64_t callId, http_result result)
{
    service_result answer{ .callId = callId };
    if (result.kind == http_result_kind::connect_failed)
        answer.kind = service_result_kind::connect_failed;
    if (result.kind == http_result_kind::answered) {
        answer.kind = service_result_kind::answered;
        answer.content = { .status = result.response.status,
                           .contentType = std::move(result.response.contentType),
                           .body = std::move(result.response.body) };
    }
    return answer;
}

} // namespace plantainpitch::runtime
