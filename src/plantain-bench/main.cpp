#include "bench_report.h"
#include "capacity_bench.h"
#include "colocation_bench.h"
#include "fold_bench.h"
#include "routing_bench.h"

#include <gflags/gflags.h>

#include <iostream>
#include <ostream>

DEFINE_string(only, "",
              "run one benchmark: fold, routing, colocation or capacity; empty: all "
              "but capacity");
DEFINE_bool(details, false, "print what the table does not show on standard error");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the policies against their baselines, and the cost of the "
                            "decisions; prints measure, baseline, policy, target and verdict");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_only == "capacity") {
        plantainpitch::runCapacityBench(std::cout);
        return 0;
    }
    std::ostream nothing(nullptr);
    plantainpitch::bench_report report(FLAGS_details ? std::cerr : nothing);
    const auto wanted = [](const char *name) { return FLAGS_only.empty() || FLAGS_only == name; };
    if (wanted("fold"))
        plantainpitch::runFoldBench(report);
    if (wanted("routing"))
        plantainpitch::runRoutingBench(report);
    if (wanted("colocation"))
        plantainpitch::runColocationBench(report);
    report.print(std::cout);
    return 0;
}
