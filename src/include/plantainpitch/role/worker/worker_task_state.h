#pragma once

namespace plantainpitch {

enum class worker_task_state { running, finished, failed, stopped, lease_expired };

} // namespace plantainpitch
