#pragma once

namespace plantainpitch {

/// What a template describes.
enum class task_kind {
    service, ///< latency-critical, answers requests
    batch, ///< runs to its end before a deadline
    watcher, ///< runs until it is cancelled
};

} // namespace plantainpitch
