#include "fleet_model.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::call_kind;
using sched::call_outcome;
using test::fleet_model;
using test::requireNoViolations;

namespace {

/// An owner that has loaded a job of an earlier one and has no configuration yet.
struct unconfigured_owner
{
    unconfigured_owner()
    {
        model.run(1'000);
        model.send(model.submission("known", 1));
        model.run(300);
        BOOST_REQUIRE(model.shown("known").has_value());
        model.config = {};
        model.newOwner();
    }

    /// Sends the call and returns the outcome of its answer.
    call_outcome outcomeOf(sched::client_call call)
    {
        call.number = ++lastCall;
        model.send(call);
        model.run(200);
        BOOST_REQUIRE(model.answers.count(lastCall) == 1U);
        return static_cast<call_outcome>(model.answers[lastCall].outcome);
    }

    call_outcome outcomeOf(call_kind kind, const std::string &job)
    {
        sched::client_call call;
        call.kind = static_cast<std::uint8_t>(kind);
        call.job = job;
        return outcomeOf(std::move(call));
    }

    fleet_model model{ 2 };
    std::uint64_t lastCall = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(scheduler_calls)

// Guards against a job that runs although its client was told that it never will: an owner without
// a configuration refused each repeat of a submission that an earlier owner had stored, review/8.
BOOST_AUTO_TEST_CASE(anOwnerWithoutConfigurationAnswersCallsAboutJobsThatItHasLoaded)
{
    unconfigured_owner owner;
    BOOST_TEST((owner.outcomeOf(owner.model.submission("known", 1)) == call_outcome::done));
    BOOST_TEST((owner.outcomeOf(call_kind::query, "known") == call_outcome::done));
    BOOST_TEST((owner.outcomeOf(call_kind::cancel, "known") == call_outcome::done));
    requireNoViolations(owner.model);
}

// Guards against a new job whose queue, and so its service, is not known.
BOOST_AUTO_TEST_CASE(anOwnerWithoutConfigurationRefusesNewJobs)
{
    unconfigured_owner owner;
    BOOST_TEST((owner.outcomeOf(owner.model.submission("new", 1)) == call_outcome::unavailable));
    BOOST_TEST(owner.model.owner->findJob("new") == nullptr);
}

// Guards against a repeat that is rejected for good although its job is stored: the limits of the
// owner that stored it differed, or the repeat does not have the same content.
BOOST_AUTO_TEST_CASE(aRepeatOfAStoredJobIsNotRejectedForItsContent)
{
    unconfigured_owner owner;
    auto repeat = owner.model.submission("known", 1);
    repeat.submitted->spec->steps.clear();
    const call_outcome outcome = owner.outcomeOf(std::move(repeat));
    BOOST_TEST((outcome == call_outcome::done));
}

// Guards against a job that exists and is said not to: an owner that the store does not reach asks
// neither it nor its successor, which may have accepted the job. Members may have been restarted
// since they were connected to the successor, so that all of them may keep to this owner again.
BOOST_AUTO_TEST_CASE(anOwnerThatMayBeReplacedDoesNotSayThatAJobDoesNotExist)
{
    unconfigured_owner owner;
    owner.model.storeUp = false;
    owner.model.run(3'000);
    BOOST_TEST((owner.outcomeOf(call_kind::query, "new") == call_outcome::unavailable));
    owner.model.nodes[0].partitioned = true;
    owner.model.run(3'000);
    BOOST_TEST((owner.outcomeOf(call_kind::query, "new") == call_outcome::unavailable));
    BOOST_TEST((owner.outcomeOf(call_kind::cancel, "new") == call_outcome::unavailable));
    owner.model.storeUp = true;
    owner.model.run(100);
    BOOST_TEST((owner.outcomeOf(call_kind::query, "new") == call_outcome::unknown_job));
    BOOST_TEST((owner.outcomeOf(call_kind::cancel, "new") == call_outcome::unknown_job));
}

// Guards against a state or a count of an owner that has been replaced, shown as that of now: a job
// that its successor has cancelled would run on for the client.
BOOST_AUTO_TEST_CASE(anOwnerThatMayBeReplacedShowsOnlyStatesThatNoLaterOneChanges)
{
    unconfigured_owner owner;
    owner.model.storeUp = false;
    owner.model.run(3'000);
    BOOST_TEST((owner.outcomeOf(call_kind::query, "known") == call_outcome::done));
    BOOST_TEST((owner.outcomeOf(call_kind::count_pending, "") == call_outcome::done));
    owner.model.nodes[0].partitioned = true;
    owner.model.run(3'000);
    BOOST_TEST((owner.outcomeOf(call_kind::query, "known") == call_outcome::unavailable));
    BOOST_TEST((owner.outcomeOf(call_kind::count_pending, "") == call_outcome::unavailable));
    owner.model.storeUp = true;
    owner.model.run(100);
    BOOST_TEST((owner.outcomeOf(call_kind::query, "known") == call_outcome::done));
    BOOST_TEST((owner.outcomeOf(call_kind::cancel, "known") == call_outcome::done));
    owner.model.storeUp = false;
    owner.model.run(3'000);
    BOOST_TEST((owner.outcomeOf(call_kind::query, "known") == call_outcome::done));
}

BOOST_AUTO_TEST_SUITE_END()
