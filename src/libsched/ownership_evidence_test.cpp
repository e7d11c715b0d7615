#include "plantainpitch/sched/ownership_evidence.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using sched::requested_knowledge;

namespace {

constexpr std::chrono::milliseconds staleOwner{ 1'200 };
constexpr instant begin{ std::chrono::seconds(100) };

struct evidence_fixture
{
    sched::ownership_evidence evidence{ staleOwner, begin };

    [[nodiscard]] bool answers(requested_knowledge requested, duration age) const
    {
        return evidence.mayAnswer(requested, begin + age);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ownership_evidences, evidence_fixture)

// Guards against an owner that refuses calls right after its epoch has begun.
BOOST_AUTO_TEST_CASE(anOwnerThatTheStoreHasJustConfirmedAnswersEverything)
{
    evidence.setContact({ .all = false });
    for (const auto each : { requested_knowledge::ended_job, requested_knowledge::open_job,
                             requested_knowledge::pending_jobs, requested_knowledge::unknown_job })
        BOOST_TEST(answers(each, staleOwner));
    BOOST_TEST(!evidence.mayBeReplaced(begin + staleOwner));
}

// Guards against states and counts of an earlier owner that are shown as those of now.
BOOST_AUTO_TEST_CASE(anOwnerThatMayBeReplacedAnswersOnlyWithWhatIsFinal)
{
    evidence.setContact({ .all = false });
    const duration late = staleOwner + std::chrono::milliseconds(1);
    BOOST_TEST(answers(requested_knowledge::ended_job, late));
    BOOST_TEST(!answers(requested_knowledge::open_job, late));
    BOOST_TEST(!answers(requested_knowledge::pending_jobs, late));
    BOOST_TEST(!answers(requested_knowledge::unknown_job, late));
    BOOST_TEST(evidence.mayBeReplaced(begin + late));
    evidence.confirm(begin + late);
    BOOST_TEST(answers(requested_knowledge::unknown_job, late));
}

// Guards against an accepted job that is said not to exist: members that have all been restarted
// keep to any owner, also to one that has been replaced.
BOOST_AUTO_TEST_CASE(membersAloneDoNotShowThatAJobDoesNotExist)
{
    evidence.setContact({ .all = true });
    const duration late = staleOwner + std::chrono::milliseconds(1);
    BOOST_TEST(answers(requested_knowledge::open_job, late));
    BOOST_TEST(answers(requested_knowledge::pending_jobs, late));
    BOOST_TEST(!answers(requested_knowledge::unknown_job, late));
}

// Guards against a late answer that takes back a newer confirmation.
BOOST_AUTO_TEST_CASE(anOlderConfirmationChangesNothing)
{
    evidence.confirm(begin - std::chrono::seconds(10));
    BOOST_TEST((evidence.confirmed() == begin));
}

BOOST_AUTO_TEST_SUITE_END()
