#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action/write_log.h"
#include "plantainpitch/sched/client_call_kind.h"
#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/route_table.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// Result of a call as reported to the client.
enum class gateway_status : std::uint8_t {
    done,
    unknown_job,
    not_accepted, ///< the call was not carried out and never will be; another may be
    rejected, ///< the same, and another one with this content would not be either
    unknown, ///< the call may have been carried out
};

struct gateway_answer
{
    std::uint64_t number = 0;
    gateway_status status = gateway_status::unknown;
    std::uint32_t retryAfterMs = 0;
    client_answer content;
};

/// Forwards clients' calls to the owner of the jobs and returns its answers. Calls are idempotent
/// by job id, so a call whose owner was lost is sent to the next one. Does no I/O and reads no
/// clock.
class gateway
{
public:
    /// A call fails after this time if no owner is connected. A takeover takes about two seconds,
    /// so a client that retries earlier would be rejected again.
    static constexpr std::chrono::milliseconds maxWaitForOwner{ 1'000 };
    static constexpr std::uint32_t defaultRetryAfterMs = 1'000;
    /// Bounds of the calls that wait for an answer, also for clients that have gone. A gateway has
    /// a connection for each waiting client, and no more of these than the default of its limit.
    static constexpr std::size_t maxOpenCalls = 4'096;
    static constexpr std::size_t maxOpenBytes = 16UL * 1024 * 1024; ///< of submissions
    /// Clients repeat a submission within seconds.
    static constexpr std::chrono::seconds openOutcomesKept{ 60 };

    /// Returns false if an owner of a later epoch is known.
    bool ownerOpened(const owner_hello &hello, instant now);
    void ownerClosed(instant now);

    /// \a call.number identifies the call; the answer is due at \a deadline.
    void call(client_call call, instant deadline, instant now);
    void onAnswer(const client_answer &answer);
    /// Must be called about every 100 ms.
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
        std::size_t bytes = 0; ///< of the submission
    };

    void send(open_call &entry);
    [[nodiscard]] bool hasRoomFor(const open_call &entry) const;
    void remove(std::map<std::uint64_t, open_call>::iterator entry);
    void expire(const open_call &entry, instant now);
    void finish(const open_call &entry, gateway_status status, const client_answer &content);
    void log(log_level level, const char *event,
             std::vector<std::pair<std::string, std::string>> fields);

    std::uint64_t m_epoch = 0;
    bool m_connected = false;
    std::map<std::uint64_t, open_call> m_calls;
    std::size_t m_openBytes = 0; ///< of the submissions in m_calls
    /// Jobs whose submission reached an owner and was not answered, with the time of giving up. No
    /// repeat is told that the job never runs before an owner has said so.
    std::map<std::string, instant> m_openOutcomes;
    std::vector<message> m_messages;
    std::vector<gateway_answer> m_answers;
    std::vector<write_log> m_logLines;
};

} // namespace plantainpitch::sched
