#include "plantainpitch/log/task_phase.h"

namespace plantainpitch {

const char *toString(task_phase phase)
{
    switch (phase) {
    case task_phase::pending:
        return "pending";
    case task_phase::claimed:
        return "claimed";
    case task_phase::revoking:
        return "revoking";
    case task_phase::finished:
        return "finished";
    case task_phase::failed:
        return "failed";
    case task_phase::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace plantainpitch
