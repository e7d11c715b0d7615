#include "key_tracker.h"

#include <string_view>
#include <utility>

namespace plantainpitch::detail {

namespace {

constexpr std::size_t maxStoredBodyBytes = 2048;
/// Limits memory use during a long outage of the log. If a record is dropped, its key stays held
/// and repeated requests are answered as unknown.
constexpr std::size_t maxRejectedRecords = 10'000;
/// Agents keep answers for 60 s.
constexpr duration unsettledKeyMaxAge = std::chrono::seconds(60);
constexpr std::size_t maxUnsettledKeys = 10'000;
constexpr duration resubmitInterval = std::chrono::seconds(1);
/// The log takes several hundred appends per second from all processes together, in batches of up
/// to 500.
constexpr std::size_t maxResubmittedAtOnce = 200;

void addToHash(std::uint64_t &hash, std::string_view text)
{
    // FNV-1a. Hashing the length as well distinguishes "ab" + "c" from "a" + "bc".
    const auto addByte = [&hash](std::uint64_t byte) { hash = (hash ^ byte) * 0x100000001B3ULL; };
    for (unsigned shift = 0; shift < 64; shift += 8)
        addByte((static_cast<std::uint64_t>(text.size()) >> shift) & 0xFFU);
    for (const char c : text)
        addByte(static_cast<unsigned char>(c));
}

} // namespace

std::uint64_t requestDigest(const service_request &request)
{
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    addToHash(hash, request.templateName);
    addToHash(hash, request.method);
    addToHash(hash, request.path);
    addToHash(hash, request.body);
    return hash;
}

key_tracker::key_tracker(std::uint64_t entry, std::uint64_t firstToken, std::uint64_t step)
    : m_entry(entry)
    , m_nextToken(firstToken)
    , m_tokenStep(step)
{}

void key_tracker::submitClaim(std::uint64_t number, const caller_request &caller,
                              action_list &actions)
{
    const claim wanted{ .number = number,
                        .account = caller.request.account,
                        .key = caller.idempotencyKey,
                        .digest = requestDigest(caller.request) };
    const std::uint64_t token = takeToken();
    m_claims.emplace(token, wanted);
    actions.emplace_back(submit_record{ .token = token,
                                        .record = key_claimed{ .account = wanted.account,
                                                               .key = wanted.key,
                                                               .entry = m_entry,
                                                               .request = number,
                                                               .digest = wanted.digest,
                                                               .claimedMs = caller.nowMs } });
}

std::optional<key_tracker::claim> key_tracker::takeClaim(std::uint64_t token)
{
    const auto found = m_claims.find(token);
    if (found == m_claims.end())
        return std::nullopt;
    std::optional<claim> result = std::move(found->second);
    m_claims.erase(found);
    return result;
}

void key_tracker::submitFinished(std::uint64_t number, const std::string &account,
                                 const std::string &key, const service_answer &content,
                                 action_list &actions)
{
    const bool isStored = content.body.size() <= maxStoredBodyBytes;
    submit(key_finished{ .account = account,
                         .key = key,
                         .entry = m_entry,
                         .request = number,
                         .status = content.status,
                         .body = isStored ? content.body : std::string(),
                         .bodyStored = isStored },
           actions);
}

void key_tracker::submitReleased(std::uint64_t number, const std::string &account,
                                 const std::string &key, action_list &actions)
{
    submit(key_released{ .account = account, .key = key, .entry = m_entry, .request = number },
           actions);
}

void key_tracker::onRecordOutcome(const record_outcome &outcome, action_list &actions)
{
    const auto found = m_submitted.find(outcome.token);
    if (found == m_submitted.end())
        return;
    if (!outcome.appended) {
        actions.emplace_back(count_metric{ .name = "key_records_not_taken_total" });
        if (m_rejected.size() < maxRejectedRecords)
            m_rejected.push_back(std::move(found->second));
    }
    m_submitted.erase(found);
}

void key_tracker::keepUnsettled(instant now, std::uint64_t number, std::uint32_t attempt,
                                const caller_request &caller)
{
    if (m_unsettled.size() >= maxUnsettledKeys)
        return;
    m_unsettled[number] = { .attempt = attempt,
                            .account = caller.request.account,
                            .key = caller.idempotencyKey,
                            .expiresAt = now + unsettledKeyMaxAge };
}

std::optional<key_tracker::unsettled_key> key_tracker::takeUnsettled(std::uint64_t number,
                                                                     std::uint32_t attempt)
{
    // Only the last attempt matters: the earlier ones were proven not to have run before it was
    // sent.
    const auto found = m_unsettled.find(number);
    if (found == m_unsettled.end() || found->second.attempt != attempt)
        return std::nullopt;
    std::optional<unsettled_key> result = std::move(found->second);
    m_unsettled.erase(found);
    return result;
}

void key_tracker::onLateAnswer(std::uint64_t number, std::uint32_t attempt,
                               const service_answer &content, action_list &actions)
{
    if (const auto unsettled = takeUnsettled(number, attempt))
        submitFinished(number, unsettled->account, unsettled->key, content, actions);
}

void key_tracker::onLateNotRun(std::uint64_t number, std::uint32_t attempt, action_list &actions)
{
    if (const auto unsettled = takeUnsettled(number, attempt))
        submitReleased(number, unsettled->account, unsettled->key, actions);
}

void key_tracker::tick(instant now, action_list &actions)
{
    if (now < m_nextResubmit)
        return;
    m_nextResubmit = now + resubmitInterval;
    std::erase_if(m_unsettled, [now](const auto &key) { return key.second.expiresAt < now; });
    for (std::size_t i = 0; i < maxResubmittedAtOnce && !m_rejected.empty(); ++i) {
        submit(std::move(m_rejected.front()), actions);
        m_rejected.pop_front();
    }
}

void key_tracker::submit(log_record record, action_list &actions)
{
    const std::uint64_t token = takeToken();
    actions.emplace_back(submit_record{ .token = token, .record = record });
    m_submitted.emplace(token, std::move(record));
}

std::uint64_t key_tracker::takeToken()
{
    return std::exchange(m_nextToken, m_nextToken + m_tokenStep);
}

} // namespace plantainpitch::detail
