#include "plantainpitch/sched/worker_candidates.h"

#include <algorithm>
#include <utility>

namespace plantainpitch::sched {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds questionRetryInterval{ 150 };
/// A worker announces itself every few seconds at most, so one that is there is announced again.
constexpr milliseconds candidateValidity{ 5'000 };
/// Bounds the questions that announcements of other writers lead to.
constexpr std::size_t maxCandidates = 8;

} // namespace

bool worker_candidates::add(const worker_announcement &announced,
                            const std::set<std::string> &services, duration claimValidity,
                            instant now)
{
    const worker_key key = announced.key();
    const auto found = std::find_if(m_candidates.begin(), m_candidates.end(),
                                    [&](const entry &each) { return each.announced.key == key; });
    const bool isNew = found == m_candidates.end();
    entry updated{ .announced = { .key = key, .claims = worker_claims(claimValidity) } };
    if (!isNew) {
        updated = std::move(*found);
        m_candidates.erase(found);
    }
    updated.announced.claims.add(announced.info, services, now);
    updated.announcedAt = now;
    if (m_candidates.size() >= maxCandidates)
        m_candidates.erase(m_candidates.begin());
    m_candidates.push_back(std::move(updated));
    return isNew;
}

std::vector<worker_candidates::question> worker_candidates::takeQuestions(instant now)
{
    std::vector<question> due;
    for (entry &each : m_candidates) {
        if (each.question != 0 || now < each.nextQuestion)
            continue;
        each.question = ++m_lastQuestion;
        due.push_back({ .number = each.question, .workerId = each.announced.key.id });
    }
    return due;
}

std::optional<worker_candidates::candidate> worker_candidates::find(std::uint64_t question) const
{
    const auto found = std::find_if(m_candidates.begin(), m_candidates.end(),
                                    [&](const entry &each) { return each.question == question; });
    if (question == 0 || found == m_candidates.end())
        return std::nullopt;
    return found->announced;
}

void worker_candidates::onInconclusiveAnswer(std::uint64_t question, instant now)
{
    for (entry &each : m_candidates) {
        if (each.question != question)
            continue;
        each.question = 0;
        each.nextQuestion = now + questionRetryInterval;
    }
}

std::optional<worker_candidates::candidate> worker_candidates::take(const worker_key &key)
{
    const auto found = std::find_if(m_candidates.begin(), m_candidates.end(),
                                    [&](const entry &each) { return each.announced.key == key; });
    if (found == m_candidates.end())
        return std::nullopt;
    candidate result = std::move(found->announced);
    m_candidates.erase(found);
    return result;
}

void worker_candidates::removeExpired(instant now)
{
    std::erase_if(m_candidates,
                  [now](const entry &each) { return now - each.announcedAt > candidateValidity; });
}

} // namespace plantainpitch::sched
