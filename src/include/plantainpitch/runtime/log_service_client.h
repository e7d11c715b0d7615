#pragma once

#include "plantainpitch/log/append_answer.h"
#include "plantainpitch/log/append_call.h"
#include "plantainpitch/log/read_answer.h"
#include "plantainpitch/log/read_call.h"
#include "plantainpitch/runtime/http_send.h"
#include "plantainpitch/runtime/metrics.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace plantainpitch::runtime {

/// Makes a role's calls to the platform's log service. Thread-safe. Must outlive its calls.
class log_service_client
{
public:
    log_service_client(http_send send, metrics &counters, std::chrono::milliseconds timeout);
    ~log_service_client();

    void append(const append_call &call, std::function<void(append_answer)> done);
    /// A blob that is not a batch of this system is answered as an empty batch, so that a foreign
    /// append cannot stop every reader of the stream.
    void read(const read_call &call, std::function<void(read_answer)> done);

private:
    std::uint32_t batchLimit(const read_call &call);
    void adaptBatchLimit(const std::string &stream, std::uint32_t asked, bool ok);
    [[nodiscard]] bool parseRead(const std::string &body, read_answer &answer);

    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch::runtime
