#pragma once

#include "plantainpitch/log/record/config_change.h"
#include "plantainpitch/log/record/job_cancelled.h"
#include "plantainpitch/log/record/job_submitted.h"
#include "plantainpitch/log/record/key_claimed.h"
#include "plantainpitch/log/record/key_finished.h"
#include "plantainpitch/log/record/key_released.h"
#include "plantainpitch/log/record/read_marker.h"
#include "plantainpitch/log/record/snapshot_part.h"
#include "plantainpitch/log/record/task_adopted.h"
#include "plantainpitch/log/record/task_claimed.h"
#include "plantainpitch/log/record/task_failed.h"
#include "plantainpitch/log/record/task_finished.h"
#include "plantainpitch/log/record/task_released.h"
#include "plantainpitch/log/record/task_revoked.h"

#include <variant>

namespace plantainpitch {

/// Everything that the system writes to the log.
using log_record =
        std::variant<config_change, job_submitted, job_cancelled, task_claimed, task_adopted,
                     task_released, task_finished, task_failed, task_revoked, key_claimed,
                     key_finished, key_released, snapshot_part, read_marker>;

} // namespace plantainpitch
