#include "plantainpitch/log/record/release_reason.h"

namespace plantainpitch {

const char *toString(release_reason reason)
{
    switch (reason) {
    case release_reason::evicted:
        return "evicted";
    case release_reason::drained:
        return "drained";
    case release_reason::authority_lapsed:
        return "authority_lapsed";
    case release_reason::start_failed:
        return "start_failed";
    case release_reason::task_failed:
        return "task_failed";
    case release_reason::worker_rebooted:
        return "worker_rebooted";
    case release_reason::revoked:
        return "revoked";
    case release_reason::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace plantainpitch
