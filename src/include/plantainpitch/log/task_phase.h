#pragma once

namespace plantainpitch {

enum class task_phase { pending, claimed, revoking, finished, failed, cancelled };

/// Name as it appears in the administration API, e.g. "claimed".
const char *toString(task_phase phase);

constexpr bool isFinal(task_phase phase)
{
    return phase == task_phase::finished || phase == task_phase::failed
           || phase == task_phase::cancelled;
}

/// True if a VM has a claim on the task.
constexpr bool isHeld(task_phase phase)
{
    return phase == task_phase::claimed || phase == task_phase::revoking;
}

/// True if the task may be claimed.
constexpr bool isUnplaced(task_phase phase)
{
    return phase == task_phase::pending || phase == task_phase::revoking;
}

} // namespace plantainpitch
