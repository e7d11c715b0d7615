#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/sched/client_call_kind.h"
#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/route_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// What a client is told.
enum class gateway_status : std::uint8_t {
    done,
    unknown_job,
    not_accepted, ///< the call was not carried out and never will be
    unknown, ///< the call may have been carried out
};

struct gateway_answer
{
    std::uint64_t number = 0;
    gateway_status status = gateway_status::unknown;
    std::uint32_t retryAfterMs = 0;
    client_answer content;
};

/// Passes clients' calls to the owner of the jobs and its answers back. Calls are idempotent by
/// their job's id, so a call whose owner was lost is sent to the next one. It has no sockets and no
/// clock.
class gateway
{
public:
    /// Longest time that a call waits while no owner is connected. A takeover takes about two
    /// seconds; a client that is told to come back sooner than that would be told so again.
    static constexpr std::chrono::milliseconds longestWithoutOwner{ 1'000 };
    static constexpr std::uint32_t retryAfterMs = 1'000;

    /// Returns false if a later owner is known.
    bool ownerOpened(const owner_hello &hello, instant now);
    void ownerClosed(instant now);

    /// \a call.number identifies the call; the answer is due at \a deadline.
    void call(client_call call, instant deadline, instant now);
    void onAnswer(const client_answer &answer);
    /// To be called every 100 ms or so.
    void tick(instant now);

    std::vector<message> takeMessages();
    std::vector<gateway_answer> takeAnswers();
    std::vector<write_log> takeLogLines();

    [[nodiscard]] std::size_t openCalls() const { return m_calls.size(); }
    [[nodiscard]] bool hasOwner() const { return m_connected; }

private:
    struct open_call
    {
        client_call content;
        instant received{};
        instant deadline{};
        bool sent = false; ///< to some owner
        bool waiting = true; ///< for an owner
    };

    void send(open_call &entry);
    void finish(const open_call &entry, gateway_status status, const client_answer &content);
    void log(log_level level, const char *event,
             std::vector<std::pair<std::string, std::string>> fields);

    std::uint64_t m_epoch = 0;
    bool m_connected = false;
    std::map<std::uint64_t, open_call> m_calls;
    std::vector<message> m_messages;
    std::vector<gateway_answer> m_answers;
    std::vector<write_log> m_logLines;
};

} // namespace plantainpitch::sched
