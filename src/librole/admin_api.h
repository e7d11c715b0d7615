#pragma once

#include "admin_target.h"
#include "plantainpitch/log/fold_result.h"
#include "plantainpitch/log/log_record.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/entry_event.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace plantainpitch::detail {

class entry_control;

/// Serves operators' requests on the control shard of an entry.
class admin_api
{
public:
    admin_api(entry_control &control, std::uint64_t seed)
        : m_control(control)
        , m_random(seed)
    {}

    void onRequest(instant now, const admin_request &request);
    /// The record of a pending request was folded.
    void onFolded(std::uint64_t adminId, const log_record &record, const fold_result &result);
    /// Answers requests whose record was not read back in time.
    void tick(instant now);

private:
    void route(instant now, const admin_request &request, const admin_target &target);
    void routeJobs(instant now, const admin_request &request, const admin_target &target);
    void putTemplate(instant now, const admin_request &request, const admin_target &target);
    void putParameters(instant now, const admin_request &request, const admin_target &target);
    void removeEntity(instant now, const admin_request &request, const admin_target &target);
    void submitChange(instant now, const admin_request &request, const admin_target &target,
                      config_change change);
    void getEntity(const admin_request &request, config_kind kind, const std::string &name);
    void submitJob(instant now, const admin_request &request);
    void cancelJob(instant now, const admin_request &request, const std::string &job);
    void getJob(std::uint64_t adminId, const std::string &job, std::uint32_t status);
    void getStatus(const admin_request &request);
    void drainVm(const admin_request &request, const std::string &vm);
    void explain(const admin_request &request, const admin_target &target);
    void explainTask(std::uint64_t adminId, const admin_target &target);
    void answer(action item);

    entry_control &m_control;
    std::mt19937_64 m_random;
    std::map<std::uint64_t, instant> m_pending; ///< deadline by adminId
};

} // namespace plantainpitch::detail
