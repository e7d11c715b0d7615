#include "plantainpitch/sched/headroom_filter.h"

#include <algorithm>
#include <cmath>

namespace plantainpitch::sched {

namespace {

using seconds = std::chrono::duration<double>;

/// Assumed of a pair that was never seen: between images that hardly disturb (below 1) and those
/// that do (10 and more).
constexpr double unknownLoss = 6;
constexpr double unknownLossVariance = 36;
constexpr double largestLoss = 60;
/// Standard deviations by which a loss is taken to be above its estimate.
constexpr double deviationsAbove = 0.5;
/// Variance that a loss gains in a second, because the amounts change.
constexpr double lossDrift = 0.05;

constexpr double levelVariance = 0.25;
constexpr double trendVariance = 0.1;
/// Variance that a trend gains in a second: load that doubles within ten seconds is followed.
constexpr double trendDrift = 0.03;
/// Standard deviation of a sample: a part of it, and a constant part.
constexpr double relativeNoise = 0.06;
constexpr double constantNoise = 0.1;

/// Samples further off are left out: a VM that is slow or stands still says nothing about images.
constexpr double outlierDeviations = 4;
/// That many outliers in a row mean that the load has jumped.
constexpr std::uint32_t outliersBeforeReset = 12;
/// A job that was silent for that long is taken up anew.
constexpr seconds longestGap{ 4 };

} // namespace

double headroom_filter::loss(const std::string &filling) const
{
    const auto found = m_losses.find(filling);
    if (found == m_losses.end())
        return unknownLoss + deviationsAbove * std::sqrt(unknownLossVariance);
    const Eigen::Index index = found->second;
    const double estimate = std::max(0.0, m_state[index]);
    return std::min(
            largestLoss,
            estimate + deviationsAbove * std::sqrt(std::max(0.0, m_covariance(index, index))));
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

Eigen::Index headroom_filter::indexOf(const std::string &filling)
{
    const auto known = m_losses.find(filling);
    if (known != m_losses.end())
        return known->second;
    const Eigen::Index index = addState(unknownLoss, unknownLossVariance);
    m_losses[filling] = index;
    return index;
}

/// Forgets what is known of the job's own load.
void headroom_filter::reset(const job_state &job, double headroom)
{
    for (const Eigen::Index index : { job.level, job.trend }) {
        m_covariance.row(index).setZero();
        m_covariance.col(index).setZero();
    }
    m_state[job.level] = headroom;
    m_state[job.trend] = 0;
    m_covariance(job.level, job.level) = unknownLossVariance;
    m_covariance(job.trend, job.trend) = trendVariance;
}

headroom_filter::job_state &headroom_filter::jobAt(const headroom_sample &sample)
{
    const auto known = m_jobs.find(sample.job);
    if (known != m_jobs.end())
        return known->second;
    // The states of a job that has ended are used again.
    const auto old = std::find_if(m_jobs.begin(), m_jobs.end(), [&sample](const auto &each) {
        return sample.at - each.second.at > longestGap;
    });
    job_state added;
    if (old != m_jobs.end()) {
        added = old->second;
        m_jobs.erase(old);
    } else {
        added.level = addState(sample.headroom, levelVariance);
        added.trend = addState(0, trendVariance);
    }
    added.at = sample.at - std::chrono::duration_cast<duration>(2 * longestGap);
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
    m_covariance(job.level, job.level) += trendDrift * gap * gap * gap / 3;
    m_covariance(job.level, job.trend) += trendDrift * gap * gap / 2;
    m_covariance(job.trend, job.level) += trendDrift * gap * gap / 2;
    m_covariance(job.trend, job.trend) += trendDrift * gap;
}

void headroom_filter::observe(const headroom_sample &sample)
{
    for (const auto &[image, share] : sample.filling)
        indexOf(image);
    job_state &job = jobAt(sample);
    if (sample.at - job.at > longestGap) {
        reset(job, sample.headroom);
        job.at = sample.at;
        job.outliers = 0;
    }
    predict(job, sample.at);

    Eigen::VectorXd inputs = Eigen::VectorXd::Zero(m_state.size());
    inputs[job.level] = 1;
    for (const auto &[image, share] : sample.filling) {
        const Eigen::Index index = indexOf(image);
        inputs[index] = -share;
        m_covariance(index, index) += lossDrift * share;
    }
    const double deviation = relativeNoise * sample.headroom + constantNoise;
    const Eigen::VectorXd spread = m_covariance * inputs;
    const double variance = inputs.dot(spread) + deviation * deviation;
    const double error = sample.headroom - inputs.dot(m_state);
    if (error * error > outlierDeviations * outlierDeviations * variance) {
        if (++job.outliers >= outliersBeforeReset)
            job.at = sample.at - std::chrono::duration_cast<duration>(2 * longestGap);
        return;
    }
    job.outliers = 0;
    m_state += spread * (error / variance);
    m_covariance -= spread * spread.transpose() / variance;
}

} // namespace plantainpitch::sched
