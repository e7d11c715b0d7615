#pragma once

namespace plantainpitch {

/// What a deployment values most when services and batch work compete.
enum class weighting {
    tail_latency, ///< keeps a larger distance from the latency target
    batch_throughput, ///< uses the room up to the target
};

/// Share of the latency target up to which batch work may push a service. The rest absorbs what
/// changes within the lag of the measurements.
constexpr double latencyGoal(weighting value)
{
    return value == weighting::tail_latency ? 0.86 : 0.90;
}

} // namespace plantainpitch
