#include "plantainpitch/role/message/refusal_reason.h"

namespace plantainpitch {

const char *toString(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::deadline_unreachable:
        return "deadline_unreachable";
    case refusal_reason::expired:
        return "expired";
    case refusal_reason::cancelled:
        return "cancelled";
    case refusal_reason::duplicate:
        return "duplicate";
    case refusal_reason::unknown_template:
        return "unknown_template";
    case refusal_reason::connect_failed:
        return "connect_failed";
    case refusal_reason::service_broken:
        return "service_broken";
    }
    return "service_broken";
}

} // namespace plantainpitch
