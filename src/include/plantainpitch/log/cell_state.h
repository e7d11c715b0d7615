#pragma once

#include "plantainpitch/log/fold_result.h"
#include "plantainpitch/log/job_state.h"
#include "plantainpitch/log/key_table.h"
#include "plantainpitch/log/producer_window.h"
#include "plantainpitch/log/stored_batch.h"
#include "plantainpitch/model/task_id.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace plantainpitch {

/// Deterministic fold of the stream of one cell: jobs, tasks, claims, idempotency keys.
class cell_state
{
public:
    cell_state() = default;
    ~cell_state() = default;
    cell_state(const cell_state &other);
    cell_state(cell_state &&other) noexcept = default;
    cell_state &operator=(const cell_state &other);
    cell_state &operator=(cell_state &&other) noexcept = default;

    /// Folds a batch; batches must come in offset order. Returns one result per record; empty for
    /// a batch that was already folded (same producer and sequence, or an old offset) or that is
    /// too late to be folded (see producer_window).
    std::vector<fold_result> apply(const stored_batch &stored);

    [[nodiscard]] const job_state *findJob(const std::string &job) const;
    [[nodiscard]] const task_state *findTask(const task_id &task) const;
    [[nodiscard]] const key_state *findKey(const std::string &account,
                                           const std::string &key) const;

    /// Tasks in the phase pending or revoking, ordered by id.
    [[nodiscard]] const std::set<task_id> &unplacedTasks() const { return m_unplaced; }
    /// Tasks in the phase claimed or revoking whose holder is this VM.
    [[nodiscard]] std::vector<task_id> tasksHeldBy(const std::string &vm) const;
    [[nodiscard]] const std::unordered_map<std::string, job_state> &jobs() const { return m_jobs; }

    [[nodiscard]] std::uint64_t nextOffset() const { return m_nextOffset; }
    /// The same on every process that folded the same records.
    [[nodiscard]] std::uint64_t digest() const;

    /// Whole state as bytes, and back. loadSnapshot() throws error(invalid_document) for bytes
    /// that cannot be read and leaves the state unchanged.
    [[nodiscard]] std::string saveSnapshot() const;
    void loadSnapshot(const std::string &data, std::uint64_t through);

private:
    /// A task that a record names, with its job; both null if unknown. Stays valid: jobs are never
    /// removed, and their tasks never change their number.
    struct found_task
    {
        job_state *job = nullptr;
        task_state *task = nullptr;
    };

    fold_result fold(const job_submitted &record, log_position at);
    fold_result fold(const job_cancelled &record, log_position at);
    fold_result fold(const task_claimed &record, found_task found, log_position at);
    fold_result fold(const task_adopted &record, found_task found, log_position at);
    fold_result fold(const task_released &record, found_task found, log_position at);
    fold_result fold(const task_finished &record, found_task found, log_position at);
    fold_result fold(const task_failed &record, found_task found, log_position at);
    fold_result fold(const task_revoked &record, found_task found, log_position at);
    fold_result fold(const key_claimed &record, log_position at);
    fold_result fold(const key_finished &record, log_position at);
    fold_result fold(const key_released &record, log_position at);
    fold_result fold(const snapshot_part &record, log_position at);
    fold_result fold(const read_marker &record, log_position at);
    fold_result fold(const config_change &record, log_position at);

    found_task find(const task_id &id);
    /// Looks up the task that the record names, if it names one, and loads it into the cache.
    found_task locate(const log_record &record);
    fold_result fold(const log_record &record, found_task found, log_position at);
    /// Names a task without a copy of its job's id. Jobs keep their address when the map grows or
    /// the state is moved.
    struct held_task
    {
        const job_state *job = nullptr;
        std::uint32_t index = 0;

        bool operator==(const held_task &) const = default;
    };

    void setPhase(const task_id &id, found_task found, task_phase phase, log_position at);
    void addHeld(const std::string &vm, held_task task);
    void removeHeld(const std::string &vm, held_task task);
    void rebuildIndexes();

    std::unordered_map<std::string, job_state> m_jobs;
    key_table m_keys;
    std::unordered_map<std::string, std::vector<held_task>> m_heldByVm;
    std::set<task_id> m_unplaced;
    producer_window m_producers;
    std::uint64_t m_producer = 0; ///< of the batch that is being folded
    std::uint64_t m_nextOffset = 0;
};

} // namespace plantainpitch
