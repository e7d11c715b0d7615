#pragma once

#include "world.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::matrix {

/// Callers and operators: requests, jobs and configuration changes, and the checks of what they
/// get.
class workload
{
public:
    explicit workload(world &target);

    /// Publishes the templates and starts the load.
    void start();
    /// No new requests, jobs or changes.
    void stop() { m_stopped = true; }
    /// Exempts a process from the configuration deadline until \a until: it is down or cut off.
    void exempt(const std::string &process, instant until);
    /// Submits a burst of jobs and cancels them at once.
    void cancelBurst();
    /// Two operators change the same template at the same time.
    void raceOperators();
    /// A job that no VM is large enough for.
    void submitImpossible();
    /// Checks that every accepted job has ended and every caller got an answer.
    void finish();

    [[nodiscard]] std::uint64_t requests() const { return m_nextNumber - 1; }

private:
    void publish(const std::string &target, const std::string &body);
    void onPublished(const std::string &target, const answer_admin &answered);
    void checkApplied(std::uint64_t revision, instant published);
    [[nodiscard]] bool isExempt(const node &target, instant since) const;
    void requestLoop();
    void sendRequest(std::uint64_t number, int attempt);
    void onOutcome(std::uint64_t number, int attempt, const std::string &path,
                   const answer_caller &answered);
    void jobLoop();
    void submitJob(const std::string &id, const std::string &templateName);
    void cancelJob(const std::string &id);
    void configLoop();
    void checkJob(const std::string &id);

    world &m_world;
    bool m_stopped = false;
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_nextChange = 1;
    std::map<std::string, std::uint64_t> m_revisions; ///< known by the operator
    std::map<std::string, instant> m_exemptUntil;
    std::set<std::string> m_acceptedJobs;
    std::set<std::string> m_cancelledJobs;
    std::set<std::uint64_t> m_openRequests;
};

} // namespace plantainpitch::matrix
