#pragma once

#include "plantainpitch/log/stored_batch.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace plantainpitch {

/// Writes the stream of a busy cell, with names as long as they are in operation. A task is named
/// by its job and index; a job has ten tasks.
class fold_stream
{
public:
    static constexpr std::uint32_t tasksPerJob = 10;

    /// \a vms is the number of VMs that claim tasks.
    explicit fold_stream(std::uint64_t vms)
        : m_vms(vms)
    {}

    /// Submits \a jobs new jobs; their tasks are to be claimed by claim().
    std::vector<stored_batch> submit(std::uint64_t jobs);
    /// Claims all tasks that were submitted and not yet claimed.
    std::vector<stored_batch> claim();
    /// Releases random claimed tasks and claims them again on other VMs.
    std::vector<stored_batch> move(std::uint64_t tasks);
    /// Ends the oldest open tasks.
    std::vector<stored_batch> finish(std::uint64_t tasks);
    /// Claims keys and stores their answers.
    std::vector<stored_batch> useKeys(std::uint64_t keys);

private:
    log_position add(log_record record);
    std::vector<stored_batch> take();
    [[nodiscard]] static task_id taskOf(std::uint64_t number);
    log_position addClaim(std::uint64_t number, log_position base);

    std::uint64_t m_vms;
    std::mt19937_64 m_random{ 1 };
    std::uint64_t m_offset = 0;
    std::uint64_t m_keys = 0;
    std::uint64_t m_firstOpen = 0; ///< tasks before this one have ended
    std::vector<stored_batch> m_batches;
    std::vector<log_position> m_lastChange; ///< by task number; for claimed tasks the attempt
    std::uint64_t m_firstPending = 0; ///< tasks before this one were claimed
};

} // namespace plantainpitch
