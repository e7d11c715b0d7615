#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>

namespace plantainpitch {

struct two_choice_options
{
    double newSampleWeight = 0.1; ///< in the moving average of the latency
    /// An endpoint is slow if its average service time is above this multiple of the median of all
    /// endpoints. The service time is used, since the latency depends on the distance as well.
    double slowFactor = 1.7;
    /// Samples are cut off at this multiple of the median, so that one outlier does not eject an
    /// endpoint.
    double outlierFactor = 10;
    /// Share of used slots of a local candidate from which it is compared with a remote one.
    double spillSlotShare = 1.0;
    /// Multiple of the median service time above which a local candidate is compared with a remote
    /// one although it has a free slot.
    double spillFactor = 1.5;
    std::uint32_t minSamples = 8; ///< before an endpoint can be ejected as slow
    std::uint32_t failuresBeforeEjection = 5; ///< in a row
    double maxEjectedShare = 0.3;
    duration initialEjectionTime = std::chrono::seconds(1);
    /// The ejection time doubles up to this maximum, after each failed probe and when an endpoint
    /// is ejected again within this time after its last ejection has ended.
    duration maxEjectionTime = std::chrono::seconds(30);
    std::uint32_t probesBeforeRecovery = 3; ///< passed in a row
    duration refreshInterval = std::chrono::milliseconds(100); ///< of the median and the ejections
    /// Half-life of the load of other entries in a report. It is several service times, after which
    /// most of the reported requests have ended.
    duration reportHalfLife = std::chrono::milliseconds(100);
};

} // namespace plantainpitch
