#include "capacity_bench.h"
#include "fold_bench.h"
#include "routing_bench.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(only, "", "run one benchmark: fold, routing or capacity; empty: all");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the policies against their baselines, and the cost of the "
                            "decisions; each line: measure, baseline, policy, target, verdict");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_only.empty() || FLAGS_only == "fold")
        plantainpitch::runFoldBench(std::cout);
    if (FLAGS_only.empty() || FLAGS_only == "routing")
        plantainpitch::runRoutingBench(std::cout);
    if (FLAGS_only.empty() || FLAGS_only == "capacity")
        plantainpitch::runCapacityBench(std::cout);
    return 0;
}
