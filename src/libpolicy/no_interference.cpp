#include "plantainpitch/policy/no_interference.h"

namespace plantainpitch {

double no_interference::latencyRatioWithoutBatch(const std::string &service, double load) const
{
    (void)service;
    (void)load;
    return 0;
}

double no_interference::addedLatencyRatio(const std::string &service, double load,
                                          const template_counts &batch) const
{
    (void)service;
    (void)load;
    (void)batch;
    return 0;
}

} // namespace plantainpitch
