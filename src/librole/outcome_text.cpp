#include "outcome_text.h"

#include <algorithm>
#include <array>

namespace plantainpitch::detail {

namespace {

struct reason_text
{
    std::string_view reason;
    outcome_text text;
};

constexpr std::string_view retryLater = "send the request again after a short wait";
constexpr std::string_view retryLonger =
        "send the request again with a longer timeout or after the load has dropped";

constexpr std::array notRunTexts{
    reason_text{ "unknown_service", { 404, "check the service name in the path" } },
    reason_text{ "invalid_timeout", { 400, "send a positive X-Request-Timeout-Ms" } },
    reason_text{ "key_digest_mismatch",
                 { 422, "use a new Idempotency-Key for a request with other content" } },
    reason_text{ "entry_overloaded", { 429, retryLater } },
    reason_text{ "queue_full", { 429, retryLater } },
    reason_text{ "deadline_unreachable", { 429, retryLonger } },
    reason_text{ "expired", { 503, retryLonger } },
    reason_text{ "deadline_passed", { 503, retryLonger } },
    reason_text{ "no_endpoint",
                 { 503, "send the request again when the service has endpoints; see /v1/status" } },
    reason_text{ "log_unavailable",
                 { 503, "send the request again with the same key when the log is available" } },
};

constexpr std::array unknownTexts{
    reason_text{ "deadline_passed",
                 { 504, "check the effect before repeating the request, or repeat it with its "
                        "Idempotency-Key" } },
    reason_text{ "key_held",
                 { 504, "repeat the request with the same key later; check its effect if "
                        "the answer stays the same" } },
    reason_text{ "answer_not_stored",
                 { 502, "the request ran; read its result from the service" } },
};

template <std::size_t size>
outcome_text findText(const std::array<reason_text, size> &texts, std::string_view reason,
                      outcome_text fallback)
{
    const auto *found =
            std::find_if(texts.begin(), texts.end(), [reason](const reason_text &candidate) {
                return candidate.reason == reason;
            });
    return found == texts.end() ? fallback : found->text;
}

} // namespace

outcome_text outcomeText(outcome_kind kind, std::string_view reason)
{
    if (kind == outcome_kind::not_run)
        return findText(notRunTexts, reason, { 503, retryLater });
    return findText(unknownTexts, reason,
                    { 502, "check the effect before repeating the request, or repeat it with its "
                           "Idempotency-Key" });
}

} // namespace plantainpitch::detail
