#pragma once

#include "plantainpitch/model/instant.h"

#include <Eigen/Core>

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch::sched {

/// Headroom of one job's serving tasks on one VM, and the filling tasks that ran beside them.
struct headroom_sample
{
    std::string job;
    std::string image; ///< of the serving tasks
    double headroom = 0; ///< latency target / latency, mean of the tasks; 1: at the target
    std::map<std::string, double> filling; ///< share of the VM's processors in use, by image
    instant at{};
};

/// Kalman filter for one serving image. Its state holds, for each job, the headroom under the job's
/// own load and its trend, and for each filling image the headroom that it takes. A job's load is
/// spread over all its VMs, so VMs without filling tasks show the effect of the load alone.
///
/// Headroom is used instead of latency because it falls linearly with the load of a queueing
/// server, and the losses caused by several filling tasks add up.
class headroom_filter
{
public:
    void observe(const headroom_sample &sample);

    /// Returns the headroom lost if \a filling used all processors of a VM. An uncertain estimate
    /// is raised, so that unknown images start with few tasks.
    [[nodiscard]] double loss(const std::string &filling) const;
    /// Returns the change of the job's headroom per second caused by its own load.
    [[nodiscard]] double trend(const std::string &job) const;

private:
    /// Indices of a job's headroom and of its trend in the state.
    struct job_state
    {
        Eigen::Index level = 0;
        Eigen::Index trend = 0;
        instant at{};
        std::uint32_t outliers = 0; ///< consecutive
    };

    Eigen::Index addState(double value, double variance);
    Eigen::Index lossIndex(const std::string &filling);
    job_state &findOrAddJob(const headroom_sample &sample);
    void predict(job_state &job, instant now);
    void reset(const job_state &job, double headroom);

    Eigen::VectorXd m_state;
    Eigen::MatrixXd m_covariance;
    std::map<std::string, Eigen::Index> m_losses; ///< by filling image
    std::map<std::string, job_state> m_jobs;
};

} // namespace plantainpitch::sched
