#pragma once

#include "plantainpitch/model/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainpitch {

struct log_pipeline_options
{
    std::string stream;
    std::uint64_t producer = 0; ///< incarnation of this process
    /// Records are collected this long before an append: the log takes several hundred appends a
    /// second for all processes together.
    duration batchDelay = std::chrono::milliseconds(100);
    std::size_t maxBatchRecords = 500;
    std::size_t maxBatchBytes = std::size_t(256) * 1024;
    duration pollInterval = std::chrono::milliseconds(200);
    duration callTimeout = std::chrono::seconds(2);
    duration minBackoff = std::chrono::milliseconds(50);
    duration maxBackoff = std::chrono::seconds(2);
    std::uint32_t maxReadBatches = 1000;
    std::size_t maxWaitingRecords = 20'000; ///< submit() refuses more
};

} // namespace plantainpitch
