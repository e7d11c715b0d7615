#include "test_batch.h"

#include "plantainpitch/log/config_state.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;

namespace {

std::string templateDocument(int slots, const std::string &name = "gift-pooling")
{
    return R"({"version":1,"name":")" + name + R"(","kind":"service","slots":)"
           + std::to_string(slots) + "}";
}

struct config_stream
{
    config_state state;
    std::uint64_t offset = 0;

    fold_result put(const config_change &change)
    {
        return state.apply(test::batchAt(offset++, { change })).at(0);
    }

    fold_result publish(int slots, log_position base)
    {
        return put({ {}, "gift-pooling", base, templateDocument(slots) });
    }
};

} // namespace

// Guards against an operator who overwrites a change of another that he has not seen.
BOOST_AUTO_TEST_CASE(losingWriterLearnsTheCurrentRevision)
{
    config_stream stream;
    const fold_result created = stream.publish(1, {});
    const fold_result winner = stream.publish(2, created.position);
    const fold_result loser = stream.publish(3, created.position);
    BOOST_TEST(winner.accepted);
    BOOST_TEST(!loser.accepted);
    BOOST_TEST((loser.current == winner.position));
    BOOST_TEST(!stream.publish(4, {}).accepted);
    BOOST_TEST(stream.state.findTemplate("gift-pooling")->slots == 2U);
    BOOST_TEST((stream.state.revision() == winner.position));
}

// Guards against a document that is in force though it cannot be read, or under a wrong name.
BOOST_AUTO_TEST_CASE(invalidDocumentChangesNothing)
{
    config_stream stream;
    const log_position base = stream.publish(1, {}).position;
    BOOST_TEST(!stream.publish(0, base).accepted);
    BOOST_TEST(!stream.put({ .name = "other", .document = templateDocument(1) }).accepted);
    const fold_result bad = stream.put({ {}, "gift-pooling", base, "{" });
    BOOST_TEST(bad.reason.find("not JSON") != std::string::npos);
    BOOST_TEST(stream.state.findTemplate("gift-pooling")->slots == 1U);
    const config_change parameters{
        .kind = config_kind::parameters,
        .name = "acc/gift-pooling",
        .document = R"({"version":1,"account":"acc","template":"gift-pooling","task_count":3})"
    };
    BOOST_TEST(stream.put(parameters).accepted);
    BOOST_TEST(stream.state.findParameters("acc", "gift-pooling")->taskCount == 3U);
}

// Guards against a removed entity that returns when the request that created it is repeated.
BOOST_AUTO_TEST_CASE(removalIsNotUndoneByARepeatedCreation)
{
    config_stream stream;
    const log_position created = stream.publish(1, {}).position;
    const config_change removal{ .name = "gift-pooling", .baseRevision = created, .removed = true };
    const log_position removed = stream.put(removal).position;
    BOOST_TEST(stream.state.findTemplate("gift-pooling") == nullptr);
    BOOST_TEST(stream.state.findEntity(config_kind::work_template, "gift-pooling")->removed);
    BOOST_TEST(!stream.publish(1, {}).accepted);
    BOOST_TEST(!stream.put({ {}, "gift-pooling", removed, "", true }).accepted);
    BOOST_TEST(!stream.put({ .name = "never", .removed = true }).accepted);
    BOOST_TEST(stream.publish(2, removed).accepted);
}

// Guards against an agent that goes back to an older revision when updates arrive out of order.
BOOST_AUTO_TEST_CASE(agentsApplyOnlyHigherRevisions)
{
    config_stream stream;
    const log_position created = stream.publish(1, {}).position;
    const std::vector<config_entity> old = stream.state.changedSince({});
    stream.publish(2, created);
    const std::vector<config_entity> changed = stream.state.changedSince(created);
    BOOST_TEST(changed.size() == 1U);
    config_state agent;
    BOOST_TEST(agent.applyEntity(changed.at(0)));
    BOOST_TEST(!agent.applyEntity(old.at(0)));
    BOOST_TEST(!agent.applyEntity(changed.at(0)));
    BOOST_TEST(agent.findTemplate("gift-pooling")->slots == 2U);
    BOOST_TEST((agent.revision() == stream.state.revision()));
    config_entity damaged = changed.at(0);
    damaged.revision.value += 1;
    damaged.document = "{}";
    BOOST_TEST(!agent.applyEntity(damaged));
    BOOST_TEST(agent.findTemplate("gift-pooling")->slots == 2U);
}
