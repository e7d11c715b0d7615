#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/policy/admission_policy.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/message/cancel.h"
#include "plantainpitch/role/message/dispatch.h"
#include "plantainpitch/role/service_result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace plantainpitch {

struct request_admission_options
{
    std::string templateName;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t queueLimit = 32;
    std::size_t rememberedRequests = 4096; ///< ended requests and tombstones
    duration rememberedFor = std::chrono::seconds(60);
    /// Bodies of remembered answers; the agent's whole memory is bounded at 128 MB.
    std::size_t rememberedBytes = 16U << 20U;
    /// Called with the time from each call of the service to its answer or failure.
    std::function<void(duration)> onServiceTime;
    /// Nothing: queue_admission.
    std::function<std::unique_ptr<admission_policy>()> makeAdmissionPolicy;
};

/// Decides which dispatched requests run on the endpoint, and when. Not thread-safe.
class request_admission
{
public:
    explicit request_admission(request_admission_options options);
    ~request_admission();

    /// A connection to an entry is up; answers of that entry's requests go there from now on.
    void onEntryConnected(instant now, connection_id connection, std::uint64_t entryIncarnation);
    void onEntryGone(instant now, connection_id connection);

    void onDispatch(instant now, connection_id from, const dispatch &request);
    void onCancel(instant now, connection_id from, const cancel &request);
    void onServiceResult(instant now, const service_result &result);
    void onLimits(std::uint32_t slots, std::uint32_t queueLimit);
    void tick(instant now);

    /// Refuses everything from now on; what is queued or running is finished.
    void drain(instant now);
    [[nodiscard]] bool draining() const;
    /// True if nothing is queued or running.
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t queued() const;

    action_list takeActions();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch
