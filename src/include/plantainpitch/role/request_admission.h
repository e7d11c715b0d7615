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
    std::size_t historyLimit = 4096; ///< finished dispatches and tombstones
    duration historyMaxAge = std::chrono::seconds(60);
    /// Total body size of the stored answers; the memory of the whole agent is limited to 128 MB.
    std::size_t historyByteLimit = 16U << 20U;
    /// Called after each service call with the time from the call to its answer or failure.
    std::function<void(duration)> onServiceTime;
    /// Default: queue_admission.
    std::function<std::unique_ptr<admission_policy>()> makeAdmissionPolicy;
};

/// Admits dispatched requests on an agent: refuses, queues and starts them. Not thread-safe.
class request_admission
{
public:
    explicit request_admission(request_admission_options options);
    ~request_admission();

    /// Called when an entry has connected. Answers to its requests are sent on the new connection.
    void onEntryConnected(instant now, connection_id connection, std::uint64_t entryIncarnation);
    void onEntryDisconnected(instant now, connection_id connection);

    void onDispatch(instant now, connection_id from, const dispatch &request);
    void onCancel(instant now, connection_id from, const cancel &request);
    void onServiceResult(instant now, const service_result &result);
    void onLimits(std::uint32_t slots, std::uint32_t queueLimit);
    void tick(instant now);

    /// Refuses new dispatches; queued and running requests are completed.
    void drain(instant now);
    [[nodiscard]] bool draining() const;
    /// True if no request is queued or running.
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t queued() const;

    action_list takeActions();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch
