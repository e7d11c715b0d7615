#pragma once

#include "plantainpitch/model/instant.h"

#include <Eigen/Core>

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch::sched {

/// What the serving tasks of one job on one VM reported, and what filled beside them meanwhile.
struct headroom_sample
{
    std::string job;
    std::string image; ///< of the serving tasks
    double headroom = 0; ///< latency target / latency, mean of the tasks; 1: at the target
    std::map<std::string, double> filling; ///< share of the VM's processors in use, by image
    instant at{};
};

/// Estimates, for one serving image, the headroom that each job has by its own load, with its
/// trend, and the headroom that each filling image takes: a Kalman filter over all of them. The
/// tasks of a job share its load on all VMs, so VMs without filling tasks tell what the load alone
/// does.
///
/// Headroom is used instead of latency because it falls linearly with the load of a queueing
/// server, and so do the losses by several filling tasks.
class headroom_filter
{
public:
    void observe(const headroom_sample &sample);

    /// Headroom lost if \a filling used all processors of a VM: somewhat above the
    /// estimate if that is uncertain, so that unknown images are tried with few tasks.
    [[nodiscard]] double loss(const std::string &filling) const;
    /// Change of the job's headroom per second by its own load.
    [[nodiscard]] double trend(const std::string &job) const;

private:
    /// Indices of a job's headroom and of its trend in the state.
    struct job_state
    {
        Eigen::Index level = 0;
        Eigen::Index trend = 0;
        instant at{};
        std::uint32_t outliers = 0; ///< in a row
    };

    Eigen::Index addState(double value, double variance);
    Eigen::Index indexOf(const std::string &filling);
    job_state &jobAt(const headroom_sample &sample);
    void predict(job_state &job, instant now);
    void reset(const job_state &job, double headroom);

    Eigen::VectorXd m_state;
    Eigen::MatrixXd m_covariance;
    std::map<std::string, Eigen::Index> m_losses; ///< by filling image
    std::map<std::string, job_state> m_jobs;
};

} // namespace plantainpitch::sched
