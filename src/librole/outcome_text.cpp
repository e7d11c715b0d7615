#include "outcome_text.h"

#include <algorithm>
#include <array>

namespace plantainpitch::detail {

namespace {

struct text_row
{
    std::string_view reason;
    outcome_text text;
};

constexpr std::string_view retryLater = "send the request again after a short wait";
constexpr std::string_view retryLonger =
        "send the request again with a longer timeout or after the load has dropped";

constexpr std::array notRunRows{
    text_row{ "unknown_service", { 404, "check the service name in the path" } },
    text_row{ "invalid_timeout", { 400, "send a positive X-Request-Timeout-Ms" } },
    text_row{ "key_digest_mismatch",
              { 422, "use a new Idempotency-Key for a request with other content" } },
    text_row{ "entry_overloaded", { 429, retryLater } },
    text_row{ "queue_full", { 429, retryLater } },
    text_row{ "deadline_unreachable", { 429, retryLonger } },
    text_row{ "expired", { 503, retryLonger } },
    text_row{ "deadline_passed", { 503, retryLonger } },
    text_row{ "no_endpoint",
              { 503, "send the request again when the service has endpoints; see /v1/status" } },
    text_row{ "log_unavailable",
              { 503, "send the request again with the same key when the log is available" } },
};

constexpr std::array unknownRows{
    text_row{ "deadline_passed",
              { 504, "check the effect before repeating the request, or repeat it with its "
                     "Idempotency-Key" } },
    text_row{ "key_held",
              { 504, "repeat the request with the same key later; check its effect if "
                     "the answer stays the same" } },
    text_row{ "answer_not_stored", { 502, "the request ran; read its result from the service" } },
};

template <std::size_t size>
outcome_text findRow(const std::array<text_row, size> &rows, std::string_view reason,
                     outcome_text other)
{
    const auto *found = std::find_if(rows.begin(), rows.end(), [reason](const text_row &row) {
        return row.reason == reason;
    });
    return found == rows.end() ? other : found->text;
}

} // namespace

outcome_text outcomeText(outcome_kind kind, std::string_view reason)
{
    if (kind == outcome_kind::not_run)
        return findRow(notRunRows, reason, { 503, retryLater });
    return findRow(unknownRows, reason,
                   { 502, "check the effect before repeating the request, or repeat it with its "
                          "Idempotency-Key" });
}

} // namespace plantainpitch::detail
