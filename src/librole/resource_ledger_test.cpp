#include "plantainpitch/role/resource_ledger.h"

#include "plantainpitch/model/invariant_violation.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

const task_id first{ .job = "a", .index = 0 };
const task_id second{ .job = "b", .index = 0 };

resources processors(std::int64_t milli)
{
    return { .processorsMilli = milli, .memoryBytes = 1 };
}

} // namespace

// Guards against reserving more than the capacity of the VM minus the amount withheld for the
// service.
BOOST_AUTO_TEST_CASE(ledgerRefusesWhatDoesNotFit)
{
    resource_ledger ledger(processors(1000));
    BOOST_TEST(!ledger.reserve(first, processors(1))); // no capacity known yet
    ledger.setCapacity({ .processorsMilli = 4000, .memoryBytes = 10 });
    BOOST_TEST(ledger.reserve(first, processors(3000)));
    BOOST_TEST(!ledger.reserve(second, processors(1)));
    BOOST_TEST(!ledger.reserve(first, processors(0))); // one reservation per task
    ledger.release(first);
    BOOST_TEST(ledger.reserve(second, processors(3000)));
}

// Guards against a negative reservation that increases the available resources.
BOOST_AUTO_TEST_CASE(ledgerRefusesNegativeAmounts)
{
    resource_ledger ledger;
    ledger.setCapacity(processors(1000));
    BOOST_TEST(!ledger.reserve(first, processors(-500)));
}

// Guards against offering resources that are used by a task beyond its reservation or by an
// unknown task.
BOOST_AUTO_TEST_CASE(ledgerCountsWhatTheWorkerReports)
{
    resource_ledger ledger;
    ledger.setCapacity({ .processorsMilli = 4000, .memoryBytes = 10 });
    BOOST_TEST(ledger.reserve(first, processors(1000)));
    ledger.observe(first, processors(3000));
    ledger.observe(second, processors(2000));
    BOOST_TEST(ledger.available().processorsMilli == 0);
    ledger.forgetAllObserved();
    BOOST_TEST(ledger.available().processorsMilli == 3000);
}

// Guards against a false violation after a worker restarted with less capacity, and against a
// violation whose text lacks the state of the ledger.
BOOST_AUTO_TEST_CASE(ledgerReportsTheStateOfAViolation)
{
    resource_ledger ledger;
    ledger.setCapacity({ .processorsMilli = 4000, .memoryBytes = 10 });
    BOOST_TEST(ledger.reserve(first, processors(3000)));
    ledger.setCapacity({ .processorsMilli = 2000, .memoryBytes = 10 });
    BOOST_CHECK_NO_THROW(ledger.check()); // the reservation is older than the capacity
    BOOST_TEST(!ledger.reserve(second, processors(1)));
    BOOST_TEST(ledger.available().processorsMilli == 0);
    const invariant_violation violation(1, "too much", "capacity=1");
    BOOST_TEST(violation.invariant() == 1);
    BOOST_TEST(std::string(violation.what()).find("capacity=1") != std::string::npos);
}
