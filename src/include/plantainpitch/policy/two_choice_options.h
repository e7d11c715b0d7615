#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>

namespace plantainpitch {

struct two_choice_options
{
    double averageWeight = 0.1; ///< of a new latency sample in the average
    /// An endpoint is slow if its average service time is above this multiple of the median of all
    /// endpoints. The service time is used, since the latency depends on the distance as well.
    double slowFactor = 1.7;
    /// Samples are cut off at this multiple of the median, so that one outlier ejects nobody.
    double outlierFactor = 10;
    /// Part of the slots of a local candidate in use above which a remote one may be chosen.
    double spillShare = 1.0;
    /// Multiple of the median service time above which a local candidate is compared with a remote
    /// one although it has a free slot.
    double spillFactor = 1.5;
    std::uint32_t minSamples = 8; ///< before an endpoint can be called slow
    std::uint32_t failuresInARow = 5; ///< after which an endpoint is ejected
    double maxEjectedShare = 0.3;
    duration firstEjection = std::chrono::seconds(1);
    duration longestEjection = std::chrono::seconds(30); ///< it doubles after each failed probe
    std::uint32_t goodProbes = 3; ///< in a row that bring an endpoint back
    duration refreshInterval = std::chrono::milliseconds(100); ///< of the median and the ejections
    /// Age at which the share of other entries in a reported load counts half. Several service
    /// times: by then most of the requests in the report have ended.
    duration reportHalfLife = std::chrono::milliseconds(100);
};

} // namespace plantainpitch
