#include "plantainpitch/sched/headroom_filter.h"

#include <algorithm>
#include <cmath>

namespace plantainpitch::sched {

namespace {

using seconds = std::chrono::duration<double>;

/// Initial estimate for a filling image, between those of images that hardly disturb (below 1) and
/// images that do (10 and more).
constexpr double initialLoss = 6;
constexpr double initialLossVariance = 36;
constexpr double maxLoss = 60;
/// Standard deviations added to the estimate of a loss.
constexpr double lossMarginDeviations = 0.5;
/// Variance added to a loss by each sample, times the share in use, because losses change over
/// time.
constexpr double lossProcessNoise = 0.05;

constexpr double initialLevelVariance = 0.25;
constexpr double initialTrendVariance = 0.1;
/// Variance added to a trend per second; tracks load that doubles within ten seconds.
constexpr double trendProcessNoise = 0.03;
// Standard deviation of a sample: proportional part and constant part.
constexpr double relativeNoise = 0.06;
constexpr double constantNoise = 0.1;

/// Samples further off are rejected: a slow or stalled VM tells nothing about images.
constexpr double outlierDeviations = 4;
/// This many consecutive outliers indicate a jump of the load.
constexpr std::uint32_t outliersBeforeReset = 12;
/// The state of a job without samples for longer than this is reset.
constexpr seconds maxSampleGap{ 4 };

} // namespace

double headroom_filter::loss(const std::string &filling) const
{
    const auto found = m_losses.find(filling);
    if (found == m_losses.end())
        return initialLoss + lossMarginDeviations * std::sqrt(initialLossVariance);
    const Eigen::Index index = found->second;
    const double estimate = std::max(0.0, m_state[index]);
    return std::min(
            maxLoss,
            estimate + lossMarginDeviations * std::sqrt(std::max(0.0, m_covariance(index, index))));
}

double headroom_filter::trend(const std::string &job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : m_state[found->second.trend];
}

Eigen::Index headroom_filter::addState(double value, double variance)
{
    const Eigen::Index index = m_state.size();
    m_state.conservativeResize(index + 1);
    m_covariance.conservativeResize(index + 1, index + 1);
    m_covariance.row(index).setZero();
    m_covariance.col(index).setZero();
    m_state[index] = value;
    m_covariance(index, index) = variance;
    return index;
}

Eigen::Index headroom_filter::lossIndex(const std::string &filling)
{
    const auto known = m_losses.find(filling);
    if (known != m_losses.end())
        return known->second;
    const Eigen::Index index = addState(initialLoss, initialLossVariance);
    m_losses[filling] = index;
    return index;
}

/// Resets the estimates of the job's own load.
void headroom_filter::reset(const job_state &job, double headroom)
{
    for (const Eigen::Index index : { job.level, job.trend }) {
        m_covariance.row(index).setZero();
        m_covariance.col(index).setZero();
    }
    m_state[job.level] = headroom;
    m_state[job.trend] = 0;
    m_covariance(job.level, job.level) = initialLossVariance;
    m_covariance(job.trend, job.trend) = initialTrendVariance;
}

headroom_filter::job_state &headroom_filter::findOrAddJob(const headroom_sample &sample)
{
    const auto known = m_jobs.find(sample.job);
    if (known != m_jobs.end())
        return known->second;
    // Reuse the state entries of a job that has ended.
    const auto inactive = std::find_if(m_jobs.begin(), m_jobs.end(), [&sample](const auto &each) {
        return sample.at - each.second.at > maxSampleGap;
    });
    job_state added;
    if (inactive != m_jobs.end()) {
        added = inactive->second;
        m_jobs.erase(inactive);
    } else {
        added.level = addState(sample.headroom, initialLevelVariance);
        added.trend = addState(0, initialTrendVariance);
    }
    added.at = sample.at - std::chrono::duration_cast<duration>(2 * maxSampleGap);
    return m_jobs[sample.job] = added;
}

void headroom_filter::predict(job_state &job, instant now)
{
    const double gap = seconds(now - job.at).count();
    job.at = std::max(job.at, now);
    if (gap <= 0)
        return;
    m_state[job.level] += gap * m_state[job.trend];
    m_covariance.row(job.level) += gap * m_covariance.row(job.trend);
    m_covariance.col(job.level) += gap * m_covariance.col(job.trend);
    m_covariance(job.level, job.level) += trendProcessNoise * gap * gap * gap / 3;
    m_covariance(job.level, job.trend) += trendProcessNoise * gap * gap / 2;
    m_covariance(job.trend, job.level) += trendProcessNoise * gap * gap / 2;
    m_covariance(job.trend, job.trend) += trendProcessNoise * gap;
}

void headroom_filter::observe(const headroom_sample &sample)
{
    for (const auto &[image, share] : sample.filling)
        lossIndex(image);
    job_state &job = findOrAddJob(sample);
    if (sample.at - job.at > maxSampleGap) {
        reset(job, sample.headroom);
        job.at = sample.at;
        job.outliers = 0;
    }
    predict(job, sample.at);

    Eigen::VectorXd observation = Eigen::VectorXd::Zero(m_state.size());
    observation[job.level] = 1;
    for (const auto &[image, share] : sample.filling) {
        const Eigen::Index index = lossIndex(image);
        observation[index] = -share;
        m_covariance(index, index) += lossProcessNoise * share;
    }
    const double deviation = relativeNoise * sample.headroom + constantNoise;
    const Eigen::VectorXd crossCovariance = m_covariance * observation;
    const double variance = observation.dot(crossCovariance) + deviation * deviation;
    const double innovation = sample.headroom - observation.dot(m_state);
    if (innovation * innovation > outlierDeviations * outlierDeviations * variance) {
        if (++job.outliers >= outliersBeforeReset)
            job.at = sample.at - std::chrono::duration_cast<duration>(2 * maxSampleGap);
        return;
    }
    job.outliers = 0;
    m_state += crossCovariance * (innovation / variance);
    m_covariance -= crossCovariance * crossCovariance.transpose() / variance;
}

} // namespace plantainpitch::sched
