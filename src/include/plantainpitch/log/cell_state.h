#pragma once

#include "plantainpitch/log/fold_result.h"
#include "plantainpitch/log/job_state.h"
#include "plantainpitch/log/key_state.h"
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
    /// Folds a batch; batches must come in offset order. Returns one result per record; empty for
    /// a batch that was already folded (same producer and sequence, or an old offset).
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
    std::unordered_map<std::string, job_state> m_jobs;
    std::unordered_map<std::string, key_state> m_keys; ///< by account + '\n' + key
    std::unordered_map<std::string, std::set<task_id>> m_heldByVm;
    std::set<task_id> m_unplaced;
    std::unordered_map<std::uint64_t, std::uint64_t> m_lastSequence; ///< by producer
    std::uint64_t m_nextOffset = 0;
};

} // namespace plantainpitch
