#include "plantainpitch/model/error_kind.h"

namespace plantainpitch {

const char *toString(error_kind kind)
{
    switch (kind) {
    case error_kind::invalid_argument:
        return "invalid_argument";
    case error_kind::invalid_document:
        return "invalid_document";
    case error_kind::not_found:
        return "not_found";
    case error_kind::revision_conflict:
        return "revision_conflict";
    case error_kind::already_exists:
        return "already_exists";
    case error_kind::quota_exceeded:
        return "quota_exceeded";
    case error_kind::log_unavailable:
        return "log_unavailable";
    case error_kind::not_ready:
        return "not_ready";
    case error_kind::protocol_error:
        return "protocol_error";
    case error_kind::too_large:
        return "too_large";
    case error_kind::timeout:
        return "timeout";
    case error_kind::internal_error:
        return "internal_error";
    }
    return "internal_error";
}

} // namespace plantainpitch
