#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/worker_announcement.h"
#include "plantainpitch/sched/worker_claims.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace plantainpitch::sched {

/// Announced incarnations that the worker at an agent's address has not confirmed. Each leads to
/// questions to the worker, until it has answered or no announcement has come for a while.
class worker_candidates
{
public:
    struct question
    {
        std::uint64_t number = 0;
        std::string workerId;

        bool operator==(const question &) const = default;
    };

    struct candidate
    {
        worker_key key;
        worker_claims claims;

        bool operator==(const candidate &) const = default;
    };

    /// Adds an announced incarnation, or what another announcement of it says. Returns whether it
    /// is new. See worker_claims for the other parameters.
    bool add(const worker_announcement &announced, const std::set<std::string> &services,
             duration claimValidity, instant now);
    /// Returns the questions that are due, which then count as asked.
    std::vector<question> takeQuestions(instant now);
    /// Returns the incarnation that the question is about; none if it is no longer a candidate.
    [[nodiscard]] std::optional<candidate> find(std::uint64_t question) const;
    /// Handles a question to which the answer says nothing; it is asked again.
    void onInconclusiveAnswer(std::uint64_t question, instant now);
    /// Returns and removes a candidate.
    std::optional<candidate> take(const worker_key &key);
    /// Answers to earlier questions are ignored from then on.
    void clear() { m_candidates.clear(); }
    /// Removes those that have not been announced for a while.
    void removeExpired(instant now);
    [[nodiscard]] bool empty() const { return m_candidates.empty(); }

private:
    struct entry
    {
        candidate announced;
        instant announcedAt{}; ///< last announcement
        std::uint64_t question = 0; ///< waiting for an answer; 0: none
        instant nextQuestion{};
    };

    std::vector<entry> m_candidates; ///< the latest announced one last
    std::uint64_t m_lastQuestion = 0;
};

} // namespace plantainpitch::sched
